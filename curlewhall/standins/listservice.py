"""The list of nodes as a service: a stream of versions that lags behind, to every front that asks for it."""

from urllib.parse import parse_qsl, urlsplit

from curlewhall.records import Writer
from curlewhall.wire import forms
from curlewhall.wire.server import Exchange, Server, listen

from .model import unit

KEPT = 64  # versions that a front may be behind and still get changes alone


class ListService:
    """Knows of changes `lag` after they happen; `stale` more while it is told to lag further."""

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
        self.loop, self.timers, self.plan, self.records, self.links = loop, timers, plan, records, links
        self.rows, self.titles = {row.node: row for row in rows}, titles
        self.version, self.changes = 1, []  # (version, row), the latest KEPT
        self.streams: dict[str, Exchange] = {}
        self.stale, self.count, self.order = 0.0, 0, 0.0
        self.server: Server | None = None
        self.life, self.lives = "life-1", 1
        self.capacity, self.second, self.taken = 0.0, 0, 0  # whole lists a second; 0: no bound
        self.silent: list[Exchange] | None = None  # those who are over it and never hear; None: they get 503
        self.past: list[tuple[int, dict]] = []  # (version, rows) before the latest KEPT changes

    def start(self) -> None:
        self.open()
        self.tick()

    def open(self) -> None:
        where = self.plan["list_service"]
        self.server = Server(self.loop, self.timers, listen(where["address"], where["port"]), self.handle)
        if self.links is not None:
            self.links.up("list", True)

    def fault(self, kind: str, value: float) -> None:
        """`down` takes the service out of reach, `stale` makes it lag by so many seconds more, `capacity`
        bounds the whole lists that it sends in a second, and `silent` leaves those beyond it without an
        answer in place of 503. `life` gives it a new life: versions begin again. `older`: it comes back as it
        was so many changes ago, in the same life.
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
            self.lives += 1
            self.life, self.version, self.changes, self.past = f"life-{self.lives}", 1, [], []
            self.part()
        elif kind == "older" and self.past and value:
            back = self.past[-min(int(value), len(self.past)) :]
            self.version, self.rows = back[0][0], dict(back[0][1])
            del self.past[-len(back) :], self.changes[-len(back) :]
            self.part()
        elif kind == "down" and value and self.server is not None:
            server, self.server = self.server, None
            self.streams.clear()
            if self.links is not None:
                self.links.up("list", False)
            server.close()
        elif kind == "down" and not value and self.server is None:
            self.open()

    def part(self) -> None:
        for stream in list(self.streams.values()):
            stream.finish()
        self.streams.clear()

    def change(self, row: forms.Row) -> None:
        """Something happened to a node; the service hears of it later, in the order of happening."""
        self.count += 1
        low, high = self.plan["list_service"]["lag"]
        due = self.loop.time() + self.stale + low + (high - low) * unit("lag", self.count)
        self.order = max(self.order, due)
        self.timers.after(self.order - self.loop.time(), self.learn, row)

    def learn(self, row: forms.Row) -> None:
        self.past = [*self.past, (self.version, dict(self.rows))][-KEPT:]
        if row.state == "gone":
            self.rows.pop(row.node, None)
        else:
            self.rows[row.node] = row
        since, self.version = self.version, self.version + 1
        self.changes = [*self.changes, (self.version, row)][-KEPT:]
        for front in list(self.streams):
            self.send(front, forms.Listing("changes", self.version, since, [row], life=self.life))

    def handle(self, exchange: Exchange) -> None:
        url = urlsplit(exchange.request.target)
        query = dict(parse_qsl(url.query))
        front, have = query.get("front", ""), query.get("have", "0")
        if url.path != "/v1/list" or not front or not have.isdigit():
            exchange.reply(404)
            return
        missed = [(version, row) for version, row in self.changes if version > int(have)]
        known = int(have) and query.get("life", "") == self.life and len(missed) == self.version - int(have)
        self.records.write("list", "asked", front=front, have=int(have))
        if not known and self.full():
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
            self.send(front, forms.Listing("changes", self.version, self.version, life=self.life))
        elif known:
            for version, row in missed:
                self.send(front, forms.Listing("changes", version, version - 1, [row], life=self.life))
        else:
            self.send(
                front,
                forms.Listing("whole", self.version, 0, list(self.rows.values()), self.titles, self.life),
            )

    def full(self) -> bool:
        """Whether this second's whole lists are given out."""
        now = int(self.loop.time())
        if now != self.second:
            self.second, self.taken = now, 0
        self.taken += 1
        return 0 < self.capacity < self.taken

    def send(self, front: str, listing: forms.Listing) -> None:
        # where there are links, a front is told once it has come through
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
        for stream in self.streams.values():
            stream.write(forms.encode(forms.Listing("tick", self.version)) + b"\n")
        self.timers.after(1.0, self.tick)
