"""Notifications to a service manager: datagrams on a Unix socket, as in sd_notify(3)."""

import os
import socket


class Notify:
    """Sends notifications; does nothing without a service manager.

    `watchdog` is the interval in seconds that the service manager expects, or None.
    """

    def __init__(self, environ=os.environ) -> None:
        self.address = environ.get("NOTIFY_SOCKET", "")
        usec = environ.get("WATCHDOG_USEC", "")
        for_this_process = environ.get("WATCHDOG_PID", str(os.getpid())) == str(os.getpid())
        self.watchdog = int(usec) / 1e6 if usec.isdigit() and for_this_process else None

    def send(self, *lines: str) -> None:
        """Send lines such as "READY=1", "STOPPING=1", "WATCHDOG=1", "STATUS=...". Ignores socket errors."""
        if not self.address.startswith(("/", "@")):
            return
        address = "\0" + self.address[1:] if self.address.startswith("@") else self.address
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC) as sock:
                sock.setblocking(False)
                sock.sendto("\n".join(lines).encode(), address)
        except OSError:
            pass  # the front works without a service manager
