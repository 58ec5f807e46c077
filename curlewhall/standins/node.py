"""A playout node on an address of its own: takes set-ups, plays segments at their pace, tells fronts of it.

Faults (`fault`): `freeze_setups` takes set-ups and never answers them; `freeze` answers nothing at all;
`reset` breaks a set-up's answer in its middle; `garbage` and `endless` answer what is not HTTP; `stranger`
answers under another name; `die` ends the process, `start` starts it anew, cold; `slow`, `neighbour` and
`ageing` take from its link; `gap` keeps its notes back.
"""

import time
from urllib.parse import parse_qsl, urlsplit

from curlewhall.dash import cmcd, cmsd, tokens
from curlewhall.records import Writer
from curlewhall.wire import forms
from curlewhall.wire.server import Exchange, Server, listen

from .model import Machine, Rack, unit

PACE = 0.8  # a segment takes so much of its own length where the link is wide enough
IDLE = 10.0  # seconds without a request of its viewer after which a play is over
ORPHAN = 12.0  # seconds that plays outlive the stream to their front: it may start anew and ask for them


class Play:
    """A session on this node."""

    __slots__ = ("facts", "front", "rate", "exchange", "timer", "playing", "asked_at", "segments")

    def __init__(self, facts: forms.PlayInfo, front: str, exchange: Exchange, now: float) -> None:
        self.facts, self.front, self.exchange, self.asked_at = facts, front, exchange, now
        self.rate, self.timer, self.playing, self.segments = 0.0, None, False, 0


class Node:
    """The process of one node. `plan` is the fleet's plan, `spec` this node's part of it."""

    def __init__(self, loop, timers, plan: dict, spec: dict, rack: Rack, key: bytes, records: Writer) -> None:
        self.loop, self.timers, self.plan, self.spec, self.rack = loop, timers, plan, spec, rack
        self.key, self.records, self.name, self.at = key, records, spec["node"], f"node:{spec['node']}"
        self.faults: dict[str, float] = {}
        self.plays: dict[str, Play] = {}
        self.streams: dict[str, Exchange] = {}
        self.elsewhere: dict[str, str] = {}  # play given to another front -> its manifest there
        self.away: dict[str, Exchange] = {}  # front -> its last stream, while it has none
        self.server: Server | None = None
        self.count, self.smooth, self.short, self.life = 0, 1.0, False, 0
        self.reported: tuple[float, dict] = (float("-inf"), {})
        self.machine = self.make(warm=True)
        self.started_ms = 0
        self.fell = None  # called once when the node falls over
        self.links = None  # the ways of fronts to here, where a plan has such

    def make(self, warm: bool) -> Machine:
        now = self.loop.time()
        old = [m for m in self.rack.nodes if m.name == self.name]
        for machine in old:
            self.rack.nodes.remove(machine)
        return Machine(
            self.name, self.rack, self.spec["link"], self.spec["streams"], self.plan["rules"], now, warm
        )

    def start(self, warm: bool) -> None:
        """Open the socket; a start that is not the fleet's first is cold."""
        self.machine, self.life = self.make(warm), self.life + 1
        self.faults.clear()
        self.spec["draining"] = False
        self.started_ms = 0 if warm else int(time.time() * 1000)
        self.server = Server(
            self.loop, self.timers, listen(self.spec["address"], self.spec["port"]), self.handle
        )
        if self.links is not None:
            self.links.up(self.name, True)
        self.records.write(self.at, "start", cold=not warm, streams=self.spec["streams"])
        life = self.life
        self.timers.after(unit(self.name, "tick"), self.tick, life)
        if self.plan["reports"]["how"] == "inline":
            self.timers.after(self.plan["reports"]["told_every"], self.tell_load, life)

    def die(self, what: str = "die") -> None:
        """The process is gone: every connection is reset, the port refuses."""
        if self.server is None:
            return
        fronts = sorted(self.streams)
        self.records.write(self.at, what, plays=len(self.plays), fronts=fronts)
        server, self.server = self.server, None
        if self.links is not None:
            self.links.up(self.name, False)
        for play in list(self.plays.values()):
            self.close(play, "died")
        self.streams.clear()
        self.away.clear()
        server.stop()
        for line in list(server.connections):
            line.abort()

    # ---- requests

    def handle(self, exchange: Exchange) -> None:
        if "freeze" in self.faults:
            if exchange.request.method == "POST" and exchange.request.target == "/v1/plays":
                self.take(exchange)  # what was taken is known by its record; nothing is answered
            return
        url = urlsplit(exchange.request.target)
        parts, query = url.path.strip("/").split("/"), dict(parse_qsl(url.query))
        method = exchange.request.method
        if "garbage" in self.faults or "endless" in self.faults:
            self.spoil(exchange)
        elif method == "POST" and url.path == "/v1/plays":
            self.take(exchange)
        elif parts[0] == "s" and len(parts) >= 3:
            self.viewer(exchange, parts[1:], query.get("t", ""), url.query)
        elif method == "PUT" and parts[:2] == ["v1", "plays"] and parts[3:] == ["rung"]:
            self.set_rung(exchange, parts[2])
        elif method == "PUT" and parts[:2] == ["v1", "plays"] and parts[3:] == ["front"]:
            self.give(exchange, parts[2])
        elif method == "DELETE" and parts[:2] == ["v1", "plays"] and len(parts) == 3:
            play = self.plays.get(parts[2])
            found = play is not None and str(play.facts.number) == query.get("number")
            if found:
                self.close(play, query.get("why", "ended"))
            exchange.reply(204 if found else 404)
        elif url.path == "/v1/load":
            self.records.write(self.at, "probe")
            exchange.reply(200, {}, forms.encode(forms.Load(self.shown(), self.report())))
        elif url.path == "/v1/events":
            self.stream(exchange, query.get("front", ""))
        else:
            exchange.reply(404)

    def shown(self) -> str:
        return "another" if "stranger" in self.faults else self.name

    def spoil(self, exchange: Exchange) -> None:
        exchange.started = exchange.finished = True
        exchange.pieces.append(
            b"\x16\x03\x01 certainly not HTTP\r\n\r\n"
            if "garbage" in self.faults
            else b"HTTP/1.1 200 OK\r\n" + b"x-more: and more\r\n" * 4000
        )
        exchange.keep_alive = False
        exchange.connection.flush()

    def take(self, exchange: Exchange) -> None:
        now = self.loop.time()
        try:
            asked = forms.decode(forms.SetUp, exchange.request.body)
        except forms.DecodeError as err:
            exchange.reply(400, {}, str(err).encode())
            return
        facts = asked.facts
        told = {"play": facts.play, "number": facts.number, "front": asked.front}
        draining = self.spec.get("draining", False)
        if draining or len(self.plays) >= self.spec["streams"]:
            why = "draining" if draining else "full"
            self.records.write(self.at, "refused", why=why, **told)
            exchange.reply(
                503,
                {},
                forms.encode(forms.SetUpDone(self.shown(), facts.play, facts.number, self.report(), why)),
            )
            return
        self.records.write(
            self.at,
            "setup",
            product=facts.product,
            title=facts.title,
            rung=facts.rung,
            viewer=facts.viewer,
            customer=facts.customer,
            **told,
        )
        old = self.plays.get(facts.play)
        if old is not None:
            self.close(old, "replaced")
        play = self.plays[facts.play] = Play(facts, asked.front, exchange, now)
        exchange.on_disconnect = lambda: self.close(play, "cancelled")
        if self.machine.took(now):
            self.die("fall")
            if self.fell is not None:
                self.fell(self)
            return
        if "freeze" in self.faults or "freeze_setups" in self.faults:
            return
        self.count += 1
        low, high = self.plan["setup_ms"]
        span = (low + (high - low) * unit(self.name, self.count)) / 1000 / self.machine.warmth(now)
        span *= 1 + self.faults.get("ageing", 0.0) * 10
        play.timer = self.timers.after(span, self.first, play)

    def first(self, play: Play) -> None:
        """The set-up is done."""
        play.timer = None
        if "freeze" in self.faults or "freeze_setups" in self.faults:
            return
        facts, exchange = play.facts, play.exchange
        play.playing, play.exchange, exchange.on_disconnect = True, None, None
        self.weigh(play, facts.rung)
        self.records.write(self.at, "first", play=facts.play, number=facts.number, front=play.front)
        body = forms.encode(forms.SetUpDone(self.shown(), facts.play, facts.number, self.report()))
        if "reset" in self.faults:
            exchange.started = exchange.finished = True
            exchange.pieces.append(
                b"HTTP/1.1 201 Created\r\ncontent-length: %d\r\n\r\n" % len(body) + body[:9]
            )
            exchange.connection.flush()
            self.timers.after(0.01, exchange.connection.abort)
        else:
            exchange.reply(201, {"content-type": "application/json"}, body)
        play.timer = self.timers.after(IDLE, self.idle, play)

    def weigh(self, play: Play, rung: int) -> None:
        """What the play asks of the link: its ladder's rate, its product's scale, and its title's own."""
        vary = self.plan["vary"]
        scale = self.plan["scales"].get(play.facts.product, 1.0)
        truth = 1 + vary * (2 * unit(play.facts.title) - 1)
        old, play.rate = (
            play.rate,
            self.plan["rung_kb"][min(rung, len(self.plan["rung_kb"]) - 1)] * scale * truth,
        )
        self.machine.asked = max(0.0, self.machine.asked + play.rate - old)

    def set_rung(self, exchange: Exchange, name: str) -> None:
        play = self.plays.get(name)
        try:
            asked = forms.decode(forms.Rung, exchange.request.body)
        except forms.DecodeError as err:
            exchange.reply(400, {}, str(err).encode())
            return
        if play is None or play.facts.number != asked.number or not 0 <= asked.rung <= play.facts.top:
            exchange.reply(404 if play is None else 409)
            return
        play.facts = forms.msgspec.structs.replace(play.facts, rung=asked.rung)
        if play.playing:
            self.weigh(play, asked.rung)
        self.records.write(
            self.at,
            "rung",
            play=name,
            number=asked.number,
            rung=asked.rung,
            front=play.front,
            product=play.facts.product,
        )
        exchange.reply(204)

    def give(self, exchange: Exchange, name: str) -> None:
        """A play goes to another front, one that has a stream here."""
        play = self.plays.get(name)
        try:
            asked = forms.decode(forms.FrontChange, exchange.request.body)
        except forms.DecodeError as err:
            exchange.reply(400, {}, str(err).encode())
            return
        if play is None or not play.playing or play.facts.number != asked.number:
            exchange.reply(404)
        elif asked.front not in self.streams:
            exchange.reply(409)
        else:
            self.records.write(
                self.at, "given", play=name, number=asked.number, front=asked.front, was=play.front
            )
            play.front, self.elsewhere[name] = asked.front, asked.location
            exchange.reply(204)

    def viewer(self, exchange: Exchange, parts: list[str], token: str, query: str) -> None:
        """GET s/PLAY/NUMBER/seg/rR/N or POST s/PLAY/NUMBER/end, with the session's token."""
        try:
            session = tokens.check(token, self.key, self.name)
        except tokens.TokenError as err:
            self.records.write(self.at, "token", play=parts[0], why=str(err))
            exchange.reply(403, {}, b"the token is not taken\n")
            return
        play = self.plays.get(parts[0])
        if (session.play, str(session.number)) != (parts[0], parts[1]):
            exchange.reply(403)
        elif play is None or not play.playing or play.facts.number != session.number:
            where = self.elsewhere.get(parts[0])
            exchange.reply(410, {"location": where} if where else {})
        elif parts[2:] == ["end"]:
            exchange.reply(204)
            self.close(play, "ok")
        elif len(parts) == 5 and parts[2] == "seg" and parts[3][1:].isdigit() and parts[4].isdigit():
            self.hear(play, dict(parse_qsl(query)).get("CMCD", ""))
            self.segment(exchange, play, int(parts[3][1:]), int(parts[4]))
        else:
            exchange.reply(404)

    def hear(self, play: Play, told: str) -> None:
        """What the viewer has in hand (CMCD `bl`, CTA-5004, in milliseconds) goes on to its front."""
        seconds = cmcd.buffer_s(told)
        if seconds is not None:
            self.event(play.front, forms.Event("buffer", play.facts.play, play.facts.number, seconds))

    def segment(self, exchange: Exchange, play: Play, rung: int, number: int) -> None:
        """A segment, at the rung in force at most, over the time that the link's share makes of it."""
        play.timer.cancel()
        play.timer = self.timers.after(IDLE, self.idle, play)
        play.segments += 1
        rung = min(rung, play.facts.rung)
        kb = self.plan["rung_kb"][play.facts.rung] * self.plan["scales"].get(play.facts.product, 1.0)
        size = max(32, int(play.rate * 1000 * self.plan["segment"] * self.plan["byte_scale"]))
        body = b"%08d%08d" % (number, rung)
        body += b"\0" * (size - len(body))
        told = cmsd.dynamic_value(self.name, int(kb * 8))
        exchange.start(200, {"content-type": "video/mp4", "cmsd-dynamic": told}, len(body))
        half = len(body) // 2
        exchange.write(body[:half])
        span = self.plan["segment"] * PACE / self.machine.share(self.loop.time())
        self.timers.after(span, self.rest, exchange, body[half:])

    def rest(self, exchange: Exchange, body: bytes) -> None:
        if "freeze" in self.faults:
            self.timers.after(0.25, self.rest, exchange, body)  # it stands still, and may go on
        elif exchange.open:
            exchange.write(body)
            exchange.finish()

    def idle(self, play: Play) -> None:
        self.close(play, "ok")

    def close(self, play: Play, why: str) -> None:
        """A play or set-up is over; its front hears of it unless it said so itself."""
        if self.plays.get(play.facts.play) is not play:
            return
        del self.plays[play.facts.play]
        if play.timer is not None:
            play.timer.cancel()
        if play.playing:
            self.machine.asked = max(0.0, self.machine.asked - play.rate)
        facts = play.facts
        self.records.write(
            self.at,
            "end",
            play=facts.play,
            number=facts.number,
            front=play.front,
            why=why,
            playing=play.playing,
        )
        if play.playing and why in ("ok", "broken", "orphan"):
            self.event(play.front, forms.Event("ended", facts.play, facts.number, how="ok"))
            return
        exchange = play.exchange  # of a set-up that has no answer yet
        if exchange is not None and exchange.open and why != "died" and "freeze" not in self.faults:
            exchange.reply(409, {}, forms.encode(forms.SetUpDone(self.shown(), facts.play, facts.number)))

    # ---- what fronts are told

    def stream(self, exchange: Exchange, front: str) -> None:
        self.records.write(self.at, "stream", front=front)
        old = self.streams.pop(front, None)
        if old is not None:
            old.finish()
        self.streams[front] = exchange
        self.away.pop(front, None)
        exchange.on_disconnect = lambda: self.parted(front, exchange)
        exchange.start(200, {"content-type": "application/jsonl"})
        held = [play.facts for play in self.plays.values() if play.front == front and play.playing]
        exchange.write(forms.encode(forms.Event("hello", node=self.shown(), plays=held)) + b"\n")

    def parted(self, front: str, exchange: Exchange) -> None:
        if self.streams.get(front) is exchange:
            del self.streams[front]
            self.away[front] = exchange
            self.timers.after(ORPHAN, self.orphans, front, exchange)

    def orphans(self, front: str, exchange: Exchange) -> None:
        if self.away.get(front) is exchange:  # away all the time since that stream
            del self.away[front]
            for play in [p for p in self.plays.values() if p.front == front]:
                self.close(play, "orphan")

    def event(self, front: str, event: forms.Event) -> None:
        stream = self.streams.get(front)
        if stream is not None and "freeze" not in self.faults:
            stream.write(forms.encode(event) + b"\n")

    def report(self) -> dict[str, float]:
        """Refreshed every so often, as reports are."""
        reports, now = self.plan["reports"], self.loop.time()
        if reports["how"] == "off":
            return {}
        if now - self.reported[0] >= reports["period"]:
            self.count += 1
            self.reported = (
                now,
                self.machine.report(now, reports["fields"], reports["noise"], self.count, len(self.plays)),
            )
        return self.reported[1]

    def one_play(self, front: str) -> Play | None:
        return next((p for p in self.plays.values() if p.front == front and p.playing), None)

    def tick(self, life: int) -> None:
        """Once a second: the share delivered, smoothed, told late while it is short and once more after."""
        if life != self.life or self.server is None:
            return
        now = self.loop.time()
        self.smooth += 0.6 * ((0.0 if "freeze" in self.faults else self.machine.share(now)) - self.smooth)
        short = self.smooth < 0.98
        late = self.plan["reports"]["told_late"]
        if (short or self.short) and "gap" not in self.faults:
            for front in list(self.streams):
                self.timers.after(late, self.note, front, "delivered", self.smooth)
        self.short = short
        for front in list(self.streams):
            self.event(front, forms.Event("tick"))
        self.timers.after(1.0, self.tick, life)

    def tell_load(self, life: int) -> None:
        if life != self.life or self.server is None:
            return
        report, late = self.report(), self.plan["reports"]["told_late"]
        if "gap" not in self.faults:
            for front in list(self.streams):
                # as a note, the full is told also where reports give the capped share
                self.timers.after(late, self.note, front, "link_asked", self.machine.full(self.loop.time()))
                if "uplink_asked" in report:
                    self.timers.after(late, self.note, front, "uplink_asked", report["uplink_asked"])
        self.timers.after(self.plan["reports"]["told_every"], self.tell_load, life)

    def note(self, front: str, kind: str, value: float) -> None:
        play = self.one_play(front)
        if play is not None:
            self.event(front, forms.Event(kind, play.facts.play, play.facts.number, round(value, 4)))

    # ---- faults

    def fault(self, kind: str, value: float) -> None:
        """Take or (value 0) end a fault."""
        self.records.write(self.at, "fault", kind=kind, value=value)
        if kind == "die":
            self.die()
        elif kind == "start":
            if self.server is None:
                self.start(warm=False)
        elif kind == "drain":
            self.spec["draining"] = bool(value)
        elif kind == "slow":
            self.machine.slow = value or 1.0
        elif kind == "neighbour":
            self.machine.neighbour = value
        elif kind == "ageing":
            self.faults["ageing"] = value
            self.machine.slow = 1 + 3 * value
        elif value:
            self.faults[kind] = value
        else:
            self.faults.pop(kind, None)
            if kind in ("freeze", "freeze_setups"):
                # what was taken meanwhile is long given up: it is dropped, as a thawed process finds it
                for play in [p for p in self.plays.values() if not p.playing and p.timer is None]:
                    self.close(play, "dropped")
