"""Messages to a service manager: the sd_notify protocol (sd_notify(3)), datagrams on a unix socket."""

import os
import socket


class Notify:
    """Says nothing where no service manager is listening."""

    def __init__(self, environ=os.environ) -> None:
        self.where = environ.get("NOTIFY_SOCKET", "")
        usec = environ.get("WATCHDOG_USEC", "")
        mine = environ.get("WATCHDOG_PID", str(os.getpid())) == str(os.getpid())
        self.watchdog = int(usec) / 1e6 if usec.isdigit() and mine else None  # seconds; None: not wanted

    def say(self, *lines: str) -> None:
        """Such as "READY=1", "STOPPING=1", "WATCHDOG=1", "STATUS=...". Never fails."""
        if not self.where.startswith(("/", "@")):
            return
        address = "\0" + self.where[1:] if self.where.startswith("@") else self.where
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC) as sock:
                sock.setblocking(False)
                sock.sendto("\n".join(lines).encode(), address)
        except OSError:
            pass  # a manager that does not listen is no reason to stop
