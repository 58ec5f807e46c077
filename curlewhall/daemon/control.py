"""The other end of the control socket, for the command line. Only the daemon's owner can open it."""

import os
import socket
import tempfile
from pathlib import Path

import msgspec

from curlewhall.errors import CurlewhallError

PID, CONTROL = "pid", "control"


class DaemonNotRunningError(CurlewhallError):
    """No daemon answers."""

    remedy = "Start it with 'curlewhall start FILE', with the same FILE and as the same user."


def folder_of(file) -> Path:
    """Where a daemon keeps its pid and its control socket: the file says, or a folder of the user's own."""
    if file.daemon.folder:
        return Path(file.daemon.folder)
    base = os.environ.get("XDG_RUNTIME_DIR") or tempfile.gettempdir()
    return Path(base) / f"curlewhall-{os.getuid()}-{file.identity.name}"


def ask(folder: Path, what: str, patience: float = 150.0) -> dict:
    """Say a word to the daemon and read its answer; `DaemonNotRunningError` where none comes."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(patience)
        try:
            sock.connect(str(folder / CONTROL))
            sock.sendall(what.encode() + b"\n")
            said = b""
            while piece := sock.recv(1 << 16):
                said += piece
        except OSError as err:
            raise DaemonNotRunningError(
                f"no daemon answers at {folder / CONTROL}: {err.strerror or err}"
            ) from None
    try:
        return msgspec.json.decode(said)
    except msgspec.DecodeError:
        raise DaemonNotRunningError(f"the daemon at {folder / CONTROL} ended before it answered") from None
