"""The ids of sessions that are over and may have run at a node. No I/O, no clock."""

from collections import OrderedDict

MAX_RECENT_SESSIONS = 4096  # a minute's set-ups of a busy front


class RecentSessions:
    """The latest ids, `limit` at most.

    Each set-up has an id of its own, so one that comes again under an id that may have run must not run
    again, whoever sends it.
    """

    def __init__(self, limit: int = MAX_RECENT_SESSIONS) -> None:
        self.limit = limit
        self.names: OrderedDict[str, None] = OrderedDict()  # the latest last

    def add(self, name: str) -> None:
        """A set-up under this id may have run."""
        self.names[name] = None
        self.names.move_to_end(name)
        if len(self.names) > self.limit:
            self.names.popitem(last=False)

    def __contains__(self, name: str) -> bool:
        return name in self.names
