"""Stand-in for the list service: streams the versions of the node list, with a lag, to each front that asks.

Times are in seconds.
"""

from urllib.parse import parse_qsl, urlsplit

from curlewhall.records import Writer
from curlewhall.wire import forms
from curlewhall.wire.server import Exchange, Server, listen

from .model import hash_fraction

KEPT_CHANGES = 64  # a front that is more versions behind gets a whole list
TICK_S = 1.0


class ListService:
    """Publishes a change some time after it happens: the plan's lag, plus `stale` while that fault lasts."""

    def __init__(
        self,
        loop,
        timers,
        plan: dict,
        rows: list[forms.Row],
        titles: list[forms.Title],
        records: Writer,
        links=None,
    ) -> None:
        self.loop = loop
        self.timers = timers
        self.plan = plan
        self.records = records
        self.links = links
        self.rows = {row.node: row for row in rows}
        self.titles = titles
        self.version = 1
        self.changes: list[tuple[int, forms.Row]] = []  # (version, row), the latest KEPT_CHANGES
        self.streams: dict[str, Exchange] = {}  # by front
        self.stale = 0.0  # additional lag
        self.count = 0  # changes so far; the seed of each one's lag
        self.last_due = 0.0  # when the latest change is published
        self.server: Server | None = None
        self.incarnation = "life-1"
        self.incarnations = 1
        self.capacity = 0.0  # whole lists per second; 0: unlimited
        self.current_second = 0
        self.requests_this_second = 0  # requests for a whole list
        self.silent: list[Exchange] | None = None  # requests over capacity, unanswered; None: they get 503
        self.past: list[tuple[int, dict]] = []  # (version, rows) before each of the latest KEPT_CHANGES

    def start(self) -> None:
        """Open the port and start the ticks."""
        self.open()
        self.tick()

    def open(self) -> None:
        """Open the service's port."""
        where = self.plan["list_service"]
        self.server = Server(self.loop, self.timers, listen(where["address"], where["port"]), self.handle)
        if self.links is not None:
            self.links.destination_changed("list", True)

    def fault(self, kind: str, value: float) -> None:
        """Start or (value 0) end a fault.

        `down`: the port is closed. `stale`: changes are published `value` seconds later. `capacity`: at most
        `value` whole lists per second. `silent`: requests over capacity get no answer, in place of 503.
        `life`: the service starts a new incarnation, with versions from 1. `older`: within the same
        incarnation, it comes back as it was `value` changes ago.
        """
        self.records.write("list", "fault", kind=kind, value=value)
        if kind == "stale":
            self.stale = value
        elif kind == "capacity":
            self.capacity = value
        elif kind == "silent":
            waiting, self.silent = self.silent, [] if value else None
            for exchange in waiting or ():
                exchange.connection.close()
        elif kind == "life":
            self.incarnations += 1
            self.incarnation, self.version = f"life-{self.incarnations}", 1
            self.changes, self.past = [], []
            self.end_streams()
        elif kind == "older" and self.past and value:
            undone = self.past[-min(int(value), len(self.past)) :]
            self.version, self.rows = undone[0][0], dict(undone[0][1])
            del self.past[-len(undone) :], self.changes[-len(undone) :]
            self.end_streams()
        elif kind == "down" and value and self.server is not None:
            server, self.server = self.server, None
            self.streams.clear()
            if self.links is not None:
                self.links.destination_changed("list", False)
            server.close()
        elif kind == "down" and not value and self.server is None:
            self.open()

    def end_streams(self) -> None:
        """End every front's stream, so that each front asks anew."""
        for stream in list(self.streams.values()):
            stream.finish()
        self.streams.clear()

    def change(self, row: forms.Row) -> None:
        """A node has changed: publish it after the lag, and after all earlier changes."""
        self.count += 1
        low, high = self.plan["list_service"]["lag"]
        due = self.loop.time() + self.stale + low + (high - low) * hash_fraction("lag", self.count)
        self.last_due = max(self.last_due, due)
        self.timers.after(self.last_due - self.loop.time(), self.publish, row)

    def publish(self, row: forms.Row) -> None:
        """Make a new version of the list and send the change to every front."""
        self.past = [*self.past, (self.version, dict(self.rows))][-KEPT_CHANGES:]
        if row.state == "gone":
            self.rows.pop(row.node, None)
        else:
            self.rows[row.node] = row
        since, self.version = self.version, self.version + 1
        self.changes = [*self.changes, (self.version, row)][-KEPT_CHANGES:]
        for front in list(self.streams):
            self.send(front, forms.Listing("changes", self.version, since, [row], life=self.incarnation))

    def handle(self, exchange: Exchange) -> None:
        """Answer GET /v1/list with a stream that begins with the changes a front missed, or a whole list."""
        url = urlsplit(exchange.request.target)
        query = dict(parse_qsl(url.query))
        front, have = query.get("front", ""), query.get("have", "0")
        if url.path != "/v1/list" or not front or not have.isdigit():
            exchange.reply(404)
            return
        missed = [(version, row) for version, row in self.changes if version > int(have)]
        known = (
            int(have)
            and query.get("life", "") == self.incarnation
            and len(missed) == self.version - int(have)
        )
        self.records.write("list", "asked", front=front, have=int(have))
        if not known and self.over_capacity():
            self.records.write("list", "shed", front=front)
            if self.silent is not None:
                self.silent.append(exchange)
            else:
                exchange.reply(503, {"retry-after": "1"})
            return
        old = self.streams.pop(front, None)
        if old is not None:
            old.finish()
        self.streams[front] = exchange
        exchange.on_disconnect = lambda: self.streams.get(front) is exchange and self.streams.pop(front)
        exchange.start(200, {"content-type": "application/jsonl"})
        if known and not missed:
            self.send(front, forms.Listing("changes", self.version, self.version, life=self.incarnation))
        elif known:
            for version, row in missed:
                self.send(front, forms.Listing("changes", version, version - 1, [row], life=self.incarnation))
        else:
            self.send(
                front,
                forms.Listing(
                    "whole", self.version, 0, list(self.rows.values()), self.titles, self.incarnation
                ),
            )

    def over_capacity(self) -> bool:
        """Count a request for a whole list; returns whether it is over this second's capacity."""
        now = int(self.loop.time())
        if now != self.current_second:
            self.current_second, self.requests_this_second = now, 0
        self.requests_this_second += 1
        return 0 < self.capacity < self.requests_this_second

    def send(self, front: str, listing: forms.Listing) -> None:
        """Send a list to a front and record it, with the ports of the front's links where the plan has links.

        With links the record is "said" here; `links.ListRecorder` writes "told" once the list has passed the
        front's link.
        """
        if self.links is not None and listing.rows:
            port = self.links.port
            listing = forms.msgspec.structs.replace(
                listing,
                rows=[forms.msgspec.structs.replace(row, port=port(front, row.port)) for row in listing.rows],
            )
        data = forms.encode(listing) + b"\n"
        self.records.write(
            "list",
            "told" if self.links is None else "said",
            front=front,
            how=listing.how,
            version=listing.version,
            size=len(data),
            rows=[[row.node, row.state, row.started_ms] for row in listing.rows],
        )
        self.streams[front].write(data)

    def tick(self) -> None:
        """Send a tick to every front, once a second, so that a front notices a dead stream."""
        for stream in self.streams.values():
            stream.write(forms.encode(forms.Listing("tick", self.version)) + b"\n")
        self.timers.after(TICK_S, self.tick)
