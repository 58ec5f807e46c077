"""Client of a daemon's control socket, used by the command line. Only the daemon's owner can open it."""

import os
import socket
import tempfile
from pathlib import Path

import msgspec

from curlewhall.errors import CurlewhallError

PID_FILE = "pid"
CONTROL_SOCKET = "control"


class DaemonNotRunningError(CurlewhallError):
    """No daemon answers on the control socket."""

    remedy = "Start it with 'curlewhall start FILE', with the same FILE and as the same user."


def folder_of(file) -> Path:
    """The folder of a daemon's pid file and control socket: from the settings, else one of the user's own."""
    if file.daemon.folder:
        return Path(file.daemon.folder)
    base = os.environ.get("XDG_RUNTIME_DIR") or tempfile.gettempdir()
    return Path(base) / f"curlewhall-{os.getuid()}-{file.identity.name}"


def ask(folder: Path, command: str, timeout_s: float = 150.0) -> dict:
    """Send a command to the daemon and return its reply.

    Raises `DaemonNotRunningError` without a reply within the timeout.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(timeout_s)
        try:
            sock.connect(str(folder / CONTROL_SOCKET))
            sock.sendall(command.encode() + b"\n")
            reply = b""
            while chunk := sock.recv(1 << 16):
                reply += chunk
        except OSError as err:
            raise DaemonNotRunningError(
                f"no daemon answers at {folder / CONTROL_SOCKET}: {err.strerror or err}"
            ) from None
    try:
        return msgspec.json.decode(reply)
    except msgspec.DecodeError:
        raise DaemonNotRunningError(
            f"the daemon at {folder / CONTROL_SOCKET} ended before it answered"
        ) from None
