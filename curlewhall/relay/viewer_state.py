"""A viewers' connection and a session as the viewers' side of a relay keeps them."""

from collections import deque
from typing import TYPE_CHECKING

from curlewhall.codecs import messages
from curlewhall.front.driver import ActivePlay
from curlewhall.wire.transport import Transport

if TYPE_CHECKING:
    from .viewers import Viewers


class Session:
    """A play on the viewers' side, from its set-up until it is over: `ActivePlay.exchange` of the driver."""

    __slots__ = (
        "id",
        "viewers",
        "connection",
        "description",
        "answer",
        "active_play",
        "established",
        "unconfirmed_at",
        "presumed",
    )

    def __init__(
        self, name: str, viewers: "Viewers", connection: "Connection", description: bytes = b""
    ) -> None:
        self.id = name
        self.viewers = viewers
        self.connection: Connection | None = connection  # None once it has ended
        self.description = description  # of the request, for the node
        self.answer = b""  # the node's description, for the viewer
        self.active_play: ActivePlay | None = None
        self.established = False  # it was answered with success, and is not over
        self.unconfirmed_at = ""  # the node that it names and that has not reported it; "" for any other
        self.presumed = False  # its node's report may be lost: it counts on its viewer's word alone

    def client_disconnected(self) -> bool:
        """Whether its viewer has ended the connection or given up, even if that was not handled yet."""
        return self.connection is None or self.viewers.viewer_gone(self)


class Connection:
    """One connection from viewers. `closing`: it accepts no more set-ups, and is closed once nothing is owed
    on it; it is still read, so that a release, or its end, is noticed.
    """

    __slots__ = (
        "transport",
        "reader",
        "received",
        "handling",
        "rest_scheduled",
        "opened_at",
        "last_active",
        "partial_since",
        "open_set_ups",
        "sessions",
        "sound",
        "closing",
    )

    def __init__(self, now: float) -> None:
        self.transport: Transport | None = None
        self.reader = messages.Reader()
        self.received: deque[messages.Message] = deque()  # read, but not handled yet
        self.handling = False  # `handle_received` runs for it
        self.rest_scheduled = False  # `handle_rest` will run for it
        self.opened_at = self.last_active = now
        self.partial_since = 0.0  # since when an incomplete message waits for its rest; 0: there is none
        self.open_set_ups: dict[str, Session] = {}  # owed an answer
        self.sessions: dict[str, Session] = {}  # established
        self.sound = False  # a valid set-up or health check came on it
        self.closing = False
