"""Stand-in for a playout node: an HTTP server that accepts set-ups, serves segments and reports to fronts.

Each node has an address of its own. Times are in seconds unless a name says otherwise.

Faults (`Node.fault`): `freeze_setups` accepts set-ups and never answers them; `freeze` answers nothing at
all; `reset` breaks off the answer to a set-up in its middle; `garbage` and `endless` answer with invalid
HTTP; `stranger` answers under another node's name; `die` kills the node, `start` restarts it cold; `slow`,
`neighbour` and `ageing` reduce the capacity of its link; `gap` suppresses its notes to fronts.
"""

import time
from urllib.parse import parse_qsl, urlsplit

from curlewhall.dash import cmcd, cmsd, tokens
from curlewhall.records import Writer
from curlewhall.wire import forms
from curlewhall.wire.server import Exchange, Server, listen

from .model import NodeModel, Rack, hash_fraction

SEGMENT_SEND_SHARE = 0.8  # of a segment's own length: the time to send it over an unloaded link
IDLE_TIMEOUT_S = 10.0  # a play ends after so long without a request from its viewer
ORPHAN_TIMEOUT_S = 12.0  # plays outlive their front's event stream so long: it may restart and reconnect
TICK_S = 1.0
SMOOTHING = 0.6  # weight of the newest value in the smoothed share delivered
SHORT_SHARE = 0.98  # below it fronts get a note of the share delivered
FROZEN_RETRY_S = 0.25  # how often a frozen node checks whether it may send the rest of a segment


class Play:
    """A set-up or a play on this node."""

    __slots__ = ("info", "front", "rate", "exchange", "timer", "playing", "requested_at", "segments")

    def __init__(self, info: forms.PlayInfo, front: str, exchange: Exchange, now: float) -> None:
        self.info = info
        self.front = front
        self.exchange = exchange  # the request for the set-up, until it is answered
        self.requested_at = now
        self.rate = 0.0  # kB per second
        self.timer = None
        self.playing = False
        self.segments = 0  # segments requested so far


class Node:
    """One node. `plan` is the fleet's plan, `spec` this node's entry in it, `key` the tokens' signing key."""

    def __init__(self, loop, timers, plan: dict, spec: dict, rack: Rack, key: bytes, records: Writer) -> None:
        self.loop = loop
        self.timers = timers
        self.plan = plan
        self.spec = spec
        self.rack = rack
        self.key = key
        self.records = records
        self.name = spec["node"]
        self.at = f"node:{spec['node']}"  # the process that this node's records name
        self.faults: dict[str, float] = {}
        self.plays: dict[str, Play] = {}
        self.streams: dict[str, Exchange] = {}  # front -> its open event stream
        self.new_locations: dict[str, str] = {}  # play handed over to another front -> its manifest URL there
        self.closed_streams: dict[str, Exchange] = {}  # front without a stream -> the one that it had last
        self.server: Server | None = None
        self.count = 0  # set-ups and reports so far; the seed of their random values
        self.smoothed_share = 1.0  # of the plays' rates that the node delivers
        self.was_short = False  # whether `smoothed_share` was short at the last tick
        self.incarnation = 0  # timers of an earlier incarnation do nothing
        self.last_report: tuple[float, dict] = (float("-inf"), {})  # (when made, the report)
        self.model = self.make_model(warm=True)
        self.started_ms = 0
        self.on_crash = None  # called with the node when it crashes under overload
        self.links = None  # the proxied links by which fronts reach the node, where the plan has links

    def make_model(self, warm: bool) -> NodeModel:
        """A new capacity model, in place of this node's former one in its rack."""
        now = self.loop.time()
        former = [m for m in self.rack.nodes if m.name == self.name]
        for model in former:
            self.rack.nodes.remove(model)
        return NodeModel(
            self.name, self.rack, self.spec["link"], self.spec["streams"], self.plan["rules"], now, warm
        )

    def start(self, warm: bool) -> None:
        """Open the socket. `warm`: at full capacity, as at the start of the fleet; a restart is cold."""
        self.model, self.incarnation = self.make_model(warm), self.incarnation + 1
        self.faults.clear()
        self.spec["draining"] = False
        self.started_ms = 0 if warm else int(time.time() * 1000)
        self.server = Server(
            self.loop, self.timers, listen(self.spec["address"], self.spec["port"]), self.handle
        )
        if self.links is not None:
            self.links.destination_changed(self.name, True)
        self.records.write(self.at, "start", cold=not warm, streams=self.spec["streams"])
        incarnation = self.incarnation
        self.timers.after(hash_fraction(self.name, "tick"), self.tick, incarnation)
        if self.plan["reports"]["how"] == "inline":
            self.timers.after(self.plan["reports"]["told_every"], self.send_load, incarnation)

    def die(self, what: str = "die") -> None:
        """Stop as a killed process does: every connection is reset, the port refuses new ones.

        `what` is the kind of the record that is written.
        """
        if self.server is None:
            return
        fronts = sorted(self.streams)
        self.records.write(self.at, what, plays=len(self.plays), fronts=fronts)
        server, self.server = self.server, None
        if self.links is not None:
            self.links.destination_changed(self.name, False)
        for play in list(self.plays.values()):
            self.close(play, "died")
        self.streams.clear()
        self.closed_streams.clear()
        server.stop()
        for connection in list(server.connections):
            connection.abort()

    # ---- requests

    def handle(self, exchange: Exchange) -> None:
        """Answer one HTTP request, as the node's faults allow."""
        if "freeze" in self.faults:
            if exchange.request.method == "POST" and exchange.request.target == "/v1/plays":
                self.set_up(exchange)  # the set-up is recorded, but not answered
            return
        url = urlsplit(exchange.request.target)
        parts, query = url.path.strip("/").split("/"), dict(parse_qsl(url.query))
        method = exchange.request.method
        if "garbage" in self.faults or "endless" in self.faults:
            self.send_invalid_http(exchange)
        elif method == "POST" and url.path == "/v1/plays":
            self.set_up(exchange)
        elif parts[0] == "s" and len(parts) >= 3:
            self.handle_viewer(exchange, parts[1:], query.get("t", ""), url.query)
        elif method == "PUT" and parts[:2] == ["v1", "plays"] and parts[3:] == ["rung"]:
            self.set_rung(exchange, parts[2])
        elif method == "PUT" and parts[:2] == ["v1", "plays"] and parts[3:] == ["front"]:
            self.hand_over(exchange, parts[2])
        elif method == "DELETE" and parts[:2] == ["v1", "plays"] and len(parts) == 3:
            play = self.plays.get(parts[2])
            found = play is not None and str(play.info.number) == query.get("number")
            if found:
                self.close(play, query.get("why", "ended"))
            exchange.reply(204 if found else 404)
        elif url.path == "/v1/load":
            self.records.write(self.at, "probe")
            exchange.reply(200, {}, forms.encode(forms.Load(self.reported_name(), self.report())))
        elif url.path == "/v1/events":
            self.open_stream(exchange, query.get("front", ""))
        else:
            exchange.reply(404)

    def reported_name(self) -> str:
        """The name under which the node answers."""
        return "another" if "stranger" in self.faults else self.name

    def send_invalid_http(self, exchange: Exchange) -> None:
        """Answer a request with `garbage`, or with an `endless` head."""
        exchange.started = exchange.finished = True
        exchange.pieces.append(
            b"\x16\x03\x01 certainly not HTTP\r\n\r\n"
            if "garbage" in self.faults
            else b"HTTP/1.1 200 OK\r\n" + b"x-more: and more\r\n" * 4000
        )
        exchange.keep_alive = False
        exchange.connection.flush()

    def set_up(self, exchange: Exchange) -> None:
        """Start or refuse the set-up that a front requests; it may crash a node that is still warming up."""
        now = self.loop.time()
        try:
            request = forms.decode(forms.SetUp, exchange.request.body)
        except forms.DecodeError as err:
            exchange.reply(400, {}, str(err).encode())
            return
        info = request.facts
        identity = {"play": info.play, "number": info.number, "front": request.front}
        if request.node not in ("", self.name):
            self.records.write(self.at, "misdirected", meant=request.node, **identity)
            exchange.reply(421, {}, forms.encode(forms.SetUpDone(self.name, info.play, info.number)))
            return
        draining = self.spec.get("draining", False)
        if draining or len(self.plays) >= self.spec["streams"]:
            why = "draining" if draining else "full"
            self.records.write(self.at, "refused", why=why, **identity)
            exchange.reply(
                503,
                {},
                forms.encode(
                    forms.SetUpDone(self.reported_name(), info.play, info.number, self.report(), why)
                ),
            )
            return
        self.records.write(
            self.at,
            "setup",
            product=info.product,
            title=info.title,
            rung=info.rung,
            viewer=info.viewer,
            customer=info.customer,
            **identity,
        )
        old = self.plays.get(info.play)
        if old is not None:
            self.close(old, "replaced")
        play = self.plays[info.play] = Play(info, request.front, exchange, now)
        exchange.on_disconnect = lambda: self.close(play, "cancelled")
        if self.model.count_setup(now):
            self.die("fall")
            if self.on_crash is not None:
                self.on_crash(self)
            return
        if "freeze" in self.faults or "freeze_setups" in self.faults:
            return
        self.count += 1
        low, high = self.plan["setup_ms"]
        setup_s = (low + (high - low) * hash_fraction(self.name, self.count)) / 1000 / self.model.warmth(now)
        setup_s *= 1 + self.faults.get("ageing", 0.0) * 10
        play.timer = self.timers.after(setup_s, self.set_up_done, play)

    def set_up_done(self, play: Play) -> None:
        """The set-up is complete: answer it and start the play."""
        play.timer = None
        if "freeze" in self.faults or "freeze_setups" in self.faults:
            return
        info, exchange = play.info, play.exchange
        play.playing, play.exchange, exchange.on_disconnect = True, None, None
        self.update_rate(play, info.rung)
        self.records.write(self.at, "first", play=info.play, number=info.number, front=play.front)
        body = forms.encode(forms.SetUpDone(self.reported_name(), info.play, info.number, self.report()))
        if "reset" in self.faults:
            exchange.started = exchange.finished = True
            exchange.pieces.append(
                b"HTTP/1.1 201 Created\r\ncontent-length: %d\r\n\r\n" % len(body) + body[:9]
            )
            exchange.connection.flush()
            self.timers.after(0.01, exchange.connection.abort)
        else:
            exchange.reply(201, {"content-type": "application/json"}, body)
        play.timer = self.timers.after(IDLE_TIMEOUT_S, self.idle_timeout, play)

    def update_rate(self, play: Play, rung: int) -> None:
        """Set the play's rate: the rung's, times the product's scale and a random factor of the title."""
        vary = self.plan["vary"]
        scale = self.plan["scales"].get(play.info.product, 1.0)
        title_factor = 1 + vary * (2 * hash_fraction(play.info.title) - 1)
        old, play.rate = (
            play.rate,
            self.plan["rung_kb"][min(rung, len(self.plan["rung_kb"]) - 1)] * scale * title_factor,
        )
        self.model.demand = max(0.0, self.model.demand + play.rate - old)

    def set_rung(self, exchange: Exchange, name: str) -> None:
        """Change the rung of a play, as its front requests."""
        play = self.plays.get(name)
        try:
            request = forms.decode(forms.Rung, exchange.request.body)
        except forms.DecodeError as err:
            exchange.reply(400, {}, str(err).encode())
            return
        if play is None or play.info.number != request.number or not 0 <= request.rung <= play.info.top:
            exchange.reply(404 if play is None else 409)
            return
        play.info = forms.msgspec.structs.replace(play.info, rung=request.rung)
        if play.playing:
            self.update_rate(play, request.rung)
        self.records.write(
            self.at,
            "rung",
            play=name,
            number=request.number,
            rung=request.rung,
            front=play.front,
            product=play.info.product,
        )
        exchange.reply(204)

    def hand_over(self, exchange: Exchange, name: str) -> None:
        """Hand a play over to another front, which must have an event stream open here."""
        play = self.plays.get(name)
        try:
            request = forms.decode(forms.FrontChange, exchange.request.body)
        except forms.DecodeError as err:
            exchange.reply(400, {}, str(err).encode())
            return
        if play is None or not play.playing or play.info.number != request.number:
            exchange.reply(404)
        elif request.front not in self.streams:
            exchange.reply(409)
        else:
            self.records.write(
                self.at, "given", play=name, number=request.number, front=request.front, was=play.front
            )
            play.front, self.new_locations[name] = request.front, request.location
            exchange.reply(204)

    def handle_viewer(self, exchange: Exchange, parts: list[str], token: str, query: str) -> None:
        """Answer GET s/PLAY/NUMBER/seg/rR/N or POST s/PLAY/NUMBER/end, which carry the session's token."""
        try:
            session = tokens.check(token, self.key, self.name)
        except tokens.TokenError as err:
            self.records.write(self.at, "token", play=parts[0], why=str(err))
            exchange.reply(403, {}, b"the token is not accepted\n")
            return
        play = self.plays.get(parts[0])
        if (session.play, str(session.number)) != (parts[0], parts[1]):
            exchange.reply(403)
        elif play is None or not play.playing or play.info.number != session.number:
            location = self.new_locations.get(parts[0])
            exchange.reply(410, {"location": location} if location else {})
        elif parts[2:] == ["end"]:
            exchange.reply(204)
            self.close(play, "ok")
        elif len(parts) == 5 and parts[2] == "seg" and parts[3][1:].isdigit() and parts[4].isdigit():
            self.note_buffer(play, dict(parse_qsl(query)).get("CMCD", ""))
            self.send_segment(exchange, play, int(parts[3][1:]), int(parts[4]))
        else:
            exchange.reply(404)

    def note_buffer(self, play: Play, cmcd_data: str) -> None:
        """Report the viewer's buffer length (CMCD `bl`, CTA-5004, in milliseconds) to the play's front."""
        seconds = cmcd.buffer_s(cmcd_data)
        if seconds is not None:
            self.send_event(play.front, forms.Event("buffer", play.info.play, play.info.number, seconds))

    def send_segment(self, exchange: Exchange, play: Play, rung: int, number: int) -> None:
        """Send a segment at the play's rung or a lower one; it takes longer the smaller the play's share."""
        play.timer.cancel()
        play.timer = self.timers.after(IDLE_TIMEOUT_S, self.idle_timeout, play)
        play.segments += 1
        rung = min(rung, play.info.rung)
        kb = self.plan["rung_kb"][play.info.rung] * self.plan["scales"].get(play.info.product, 1.0)
        size = max(32, int(play.rate * 1000 * self.plan["segment"] * self.plan["byte_scale"]))
        body = b"%08d%08d" % (number, rung)
        body += b"\0" * (size - len(body))
        cmsd_dynamic = cmsd.dynamic_value(self.name, int(kb * 8))
        exchange.start(200, {"content-type": "video/mp4", "cmsd-dynamic": cmsd_dynamic}, len(body))
        half = len(body) // 2
        exchange.write(body[:half])
        send_s = self.plan["segment"] * SEGMENT_SEND_SHARE / self.model.share(self.loop.time())
        self.timers.after(send_s, self.send_rest, exchange, body[half:])

    def send_rest(self, exchange: Exchange, body: bytes) -> None:
        """Send the second half of a segment; a frozen node keeps it until it thaws."""
        if "freeze" in self.faults:
            self.timers.after(FROZEN_RETRY_S, self.send_rest, exchange, body)
        elif exchange.open:
            exchange.write(body)
            exchange.finish()

    def idle_timeout(self, play: Play) -> None:
        """End a play whose viewer has sent no request for `IDLE_TIMEOUT_S`."""
        self.close(play, "ok")

    def close(self, play: Play, why: str) -> None:
        """End a play or set-up; its front is told unless the front ended it itself."""
        if self.plays.get(play.info.play) is not play:
            return
        del self.plays[play.info.play]
        if play.timer is not None:
            play.timer.cancel()
        if play.playing:
            self.model.demand = max(0.0, self.model.demand - play.rate)
        info = play.info
        self.records.write(
            self.at,
            "end",
            play=info.play,
            number=info.number,
            front=play.front,
            why=why,
            playing=play.playing,
        )
        if play.playing and why in ("ok", "broken", "orphan"):
            self.send_event(play.front, forms.Event("ended", info.play, info.number, how="ok"))
            return
        exchange = play.exchange  # the request of a set-up that has no answer yet
        if exchange is not None and exchange.open and why != "died" and "freeze" not in self.faults:
            exchange.reply(
                409, {}, forms.encode(forms.SetUpDone(self.reported_name(), info.play, info.number))
            )

    # ---- event streams to fronts

    def open_stream(self, exchange: Exchange, front: str) -> None:
        """Open a front's event stream, in place of its former one; it begins with the front's plays here."""
        self.records.write(self.at, "stream", front=front)
        old = self.streams.pop(front, None)
        if old is not None:
            old.finish()
        self.streams[front] = exchange
        self.closed_streams.pop(front, None)
        exchange.on_disconnect = lambda: self.stream_closed(front, exchange)
        exchange.start(200, {"content-type": "application/jsonl"})
        plays = [play.info for play in self.plays.values() if play.front == front and play.playing]
        exchange.write(forms.encode(forms.Event("hello", node=self.reported_name(), plays=plays)) + b"\n")

    def stream_closed(self, front: str, exchange: Exchange) -> None:
        """A front's event stream has closed: its plays end here if it doesn't open another in time."""
        if self.streams.get(front) is exchange:
            del self.streams[front]
            self.closed_streams[front] = exchange
            self.timers.after(ORPHAN_TIMEOUT_S, self.end_orphans, front, exchange)

    def end_orphans(self, front: str, exchange: Exchange) -> None:
        """End the plays of a front that has opened no stream since `exchange` closed."""
        if self.closed_streams.get(front) is exchange:
            del self.closed_streams[front]
            for play in [p for p in self.plays.values() if p.front == front]:
                self.close(play, "orphan")

    def send_event(self, front: str, event: forms.Event) -> None:
        """Send an event to a front; it is dropped if the front has no stream or the node is frozen."""
        stream = self.streams.get(front)
        if stream is not None and "freeze" not in self.faults:
            stream.write(forms.encode(event) + b"\n")

    def report(self) -> dict[str, float]:
        """The current load report; a new one is made once per report period."""
        reports, now = self.plan["reports"], self.loop.time()
        if reports["how"] == "off":
            return {}
        if now - self.last_report[0] >= reports["period"]:
            self.count += 1
            self.last_report = (
                now,
                self.model.report(now, reports["fields"], reports["noise"], self.count, len(self.plays)),
            )
        return self.last_report[1]

    def any_play(self, front: str) -> Play | None:
        """Any running play of a front; notes about the node must name one."""
        return next((p for p in self.plays.values() if p.front == front and p.playing), None)

    def tick(self, incarnation: int) -> None:
        """Once a second: send a tick, and the smoothed share delivered while it is short and once after."""
        if incarnation != self.incarnation or self.server is None:
            return
        now = self.loop.time()
        self.smoothed_share += SMOOTHING * (
            (0.0 if "freeze" in self.faults else self.model.share(now)) - self.smoothed_share
        )
        short = self.smoothed_share < SHORT_SHARE
        delay = self.plan["reports"]["told_late"]
        if (short or self.was_short) and "gap" not in self.faults:
            for front in list(self.streams):
                self.timers.after(delay, self.send_note, front, "delivered", self.smoothed_share)
        self.was_short = short
        for front in list(self.streams):
            self.send_event(front, forms.Event("tick"))
        self.timers.after(TICK_S, self.tick, incarnation)

    def send_load(self, incarnation: int) -> None:
        """Send the load of the link and of the uplink to every front, late, and schedule the next time."""
        if incarnation != self.incarnation or self.server is None:
            return
        report, delay = self.report(), self.plan["reports"]["told_late"]
        if "gap" not in self.faults:
            for front in list(self.streams):
                # a note gives the uncapped load also where reports give the capped share
                self.timers.after(
                    delay, self.send_note, front, "link_asked", self.model.load(self.loop.time())
                )
                if "uplink_asked" in report:
                    self.timers.after(delay, self.send_note, front, "uplink_asked", report["uplink_asked"])
        self.timers.after(self.plan["reports"]["told_every"], self.send_load, incarnation)

    def send_note(self, front: str, kind: str, value: float) -> None:
        """Send a value of the node to a front, as a note about any of its plays; dropped without one."""
        play = self.any_play(front)
        if play is not None:
            self.send_event(front, forms.Event(kind, play.info.play, play.info.number, round(value, 4)))

    # ---- faults

    def fault(self, kind: str, value: float) -> None:
        """Start or (value 0) end a fault."""
        self.records.write(self.at, "fault", kind=kind, value=value)
        if kind == "die":
            self.die()
        elif kind == "start":
            if self.server is None:
                self.start(warm=False)
        elif kind == "drain":
            self.spec["draining"] = bool(value)
        elif kind == "slow":
            self.model.slow = value or 1.0
        elif kind == "neighbour":
            self.model.neighbour = value
        elif kind == "ageing":
            self.faults["ageing"] = value
            self.model.slow = 1 + 3 * value
        elif value:
            self.faults[kind] = value
        else:
            self.faults.pop(kind, None)
            if kind in ("freeze", "freeze_setups"):
                # Fronts gave up the set-ups that arrived meanwhile long ago, as a thawed process would find.
                for play in [p for p in self.plays.values() if not p.playing and p.timer is None]:
                    self.close(play, "dropped")
