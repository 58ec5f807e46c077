"""Viewers' side: a GET for a title becomes a play; its one answer is a manifest or a problem document."""

import time
from collections import OrderedDict
from urllib.parse import parse_qsl, quote, unquote, urlencode, urlsplit

import msgspec

from curlewhall.dash import manifest, tokens
from curlewhall.errors import CurlewhallError
from curlewhall.wire.forms import PlayInfo, Title
from curlewhall.wire.server import Exchange

from . import problems
from .driver import ActivePlay, Driver
from .parting import Taking

SEGMENT = 1.0  # seconds; short segments let a changed rung be seen soon
MOVED = 10_000  # plays moved lately whose viewers have yet to come again


class RequestError(CurlewhallError):
    """A request that can't be taken; the text is for its sender."""

    remedy = "Correct the request: the detail names the parameter and what is expected."


class Viewers:
    """Answers requests. `titles` is kept up by the list's follower."""

    def __init__(
        self, driver: Driver, front: str, url: str, key: bytes, life: float, margin: int, boot: int
    ) -> None:
        self.url = url
        self.driver, self.front, self.key, self.life, self.margin = driver, front, key, life, margin
        self.boot, self.count = boot, 0
        self.titles: dict[str, Title] = {}
        self.products = {p["name"]: (i, p) for i, p in enumerate(driver.start_settings["products"])}
        self.away: OrderedDict[str, str] = OrderedDict()  # play moved -> its viewer
        self.successors: OrderedDict[str, ActivePlay] = OrderedDict()  # play moved -> what goes on with it
        # (viewer, title, product) -> resumed
        self.found: OrderedDict[tuple, list[ActivePlay]] = OrderedDict()
        self.open, self.follower, self.taking, self.lender = True, None, Taking(self), None

    def handle(self, exchange: Exchange) -> None:
        url = urlsplit(exchange.request.target)
        if url.path == "/v1/drain" and exchange.request.method == "POST":
            self.drain(exchange, dict(parse_qsl(url.query)))
        elif url.path == "/v1/inventory" and exchange.request.method == "POST":
            self.confirm(exchange, dict(parse_qsl(url.query)))
        elif url.path == "/v1/offer" and exchange.request.method == "POST":
            self.taking.offered(exchange)
        elif exchange.request.method != "GET":
            problems.answer(exchange, 405, f"not {exchange.request.method}")
        elif url.path.startswith("/play/"):
            try:
                self.take(exchange, unquote(url.path[6:]), url.query)
            except RequestError as err:
                problems.answer(exchange, 400, err.detail, remedy=err.remedy)
        elif url.path == "/v1/health":
            ready = self.open and (self.follower is None or self.follower.ready)
            fields = {"content-type": "application/json", "cache-control": "no-store"}
            exchange.reply(200 if ready else 503, fields, msgspec.json.encode({"ready": ready}))
        elif url.path == "/v1/list" and self.lender is not None:
            self.lender.asked(exchange, url.query)
        elif url.path == "/v1/state":
            exchange.reply(200, {"content-type": "application/json"}, msgspec.json.encode(self.state()))
        elif url.path == "/v1/inventory" and self.follower.watcher is not None:
            exchange.reply(
                200, {"content-type": "application/json"}, msgspec.json.encode(self.follower.watcher.state())
            )
        elif url.path == "/v1/moves":
            exchange.reply(
                200, {"content-type": "application/json"}, msgspec.json.encode(self.driver.moves.progress())
            )
        else:
            problems.answer(exchange, 404, "viewers ask for /play/TITLE")

    def here(self, exchange: Exchange) -> bool:
        return exchange.line.peer[0].startswith("127.") or exchange.line.peer[0] == "::1"

    def confirm(self, exchange: Exchange, given: dict[str, str]) -> None:
        """A person's word for a change of the inventory that waits; from this machine only."""
        watcher = self.follower.watcher
        if not self.here(exchange):
            problems.answer(exchange, 403, "changes are confirmed from this machine")
        elif watcher is None:
            problems.answer(exchange, 404, "this front has no inventory")
        elif why := watcher.confirm(given.get("confirm", "")):
            problems.answer(exchange, 409, why)
        else:
            if self.follower.spread is not None:
                self.follower.spread("confirm", given.get("confirm", ""))
            exchange.reply(200, {"content-type": "application/json"}, msgspec.json.encode(watcher.state()))

    def drain(self, exchange: Exchange, given: dict[str, str]) -> None:
        """An operator's drain of a node at this front, or its calling back; from this machine only."""
        if not self.here(exchange):
            problems.answer(exchange, 403, "drains are told from this machine")
        elif given.get("node", "") not in self.driver.nodes.nodes:
            problems.answer(exchange, 404, f"node {given.get('node', '')!r} is not in the list")
        else:
            self.follower.drain(given["node"], back=given.get("back", "0") == "1")
            exchange.reply(
                200, {"content-type": "application/json"}, msgspec.json.encode(self.driver.moves.progress())
            )

    def take(self, exchange: Exchange, name: str, query: str) -> None:
        given = dict(parse_qsl(query, keep_blank_values=True, max_num_fields=16))
        title = self.titles.get(name)
        if title is None and not self.titles:
            problems.answer(exchange, 503, "This front has just started and has no list yet", away=1000)
            return
        if title is None and self.follower is not None and self.follower.belief.list_unconfirmed:
            # Danger: a title newer than an old list would be denied for good.
            problems.answer(exchange, 503, "This front goes by an old list, which lacks the title", away=1000)
            return
        if title is None:
            problems.answer(exchange, 404, f"title {name!r} is not in the list")
            return
        product = given.get("product", "")
        if product not in self.products:
            raise RequestError(f"product: found {product!r}, expected one of {', '.join(self.products)}")
        index, terms = self.products[product]
        viewer = given.get("viewer", "")
        if not 1 <= len(viewer) <= 128:
            raise RequestError("viewer: expected 1 to 128 characters")
        start_settings = self.driver.start_settings
        top = number(given, "top", len(start_settings["specifics.rung_kb"]) - 1, 0, 1000)
        limit = 10 * number(given, "limit_ms", terms["time_limit"] // 10, 1, terms["time_limit"] // 10)
        moved = given.get("moved", "")
        if moved and self.come_for(exchange, moved, viewer):
            return
        if moved and self.away.pop(moved, None) != viewer:
            moved = ""
        if not self.open:
            problems.answer(exchange, 503, "This front is leaving", away=10_000)
            return
        if terms["idempotency"] != "pure" and self.adopt(exchange, viewer, name, product):
            return
        if self.driver.play_store.is_uncertain(viewer, name, product):
            problems.answer(exchange, 502, "An earlier set-up may have run; its node has not said yet")
            return
        self.count += 1
        now = self.driver.clock.now()
        floor = start_settings["specifics.floor_by_class"][index]
        # The play's top can't lie under its product's floor: such a viewer can't be served within the terms.
        if top < floor:
            raise RequestError(f"top: found {top}, expected {floor} at least for {product}")
        facts = PlayInfo(
            play=f"{self.front}-{self.boot:x}-{self.count:x}",
            number=0,
            product=product,
            customer=given.get("customer", ""),
            viewer=viewer,
            title=name,
            top=top,
            rung=floor,
            floor=floor,
        )
        # The answer has a way to go, and what is sent at the limit comes after it.
        active_play = ActivePlay(facts, title, exchange, now + max(0, limit - self.margin), now)
        exchange.gone = lambda: self.driver.viewer_left(active_play)
        self.driver.accept_request(
            active_play, again=given.get("again", "0") == "1" or bool(moved), moved=bool(moved)
        )

    def adopt(self, exchange: Exchange, viewer: str, title: str, product: str) -> bool:
        """Answer a viewer with the paid play that this front found at a node when it started anew.

        Danger: the process before was killed with the set-up done and the answer not yet given, or given and
        the viewer came again. A second set-up would be paid for twice.
        """
        for active_play in self.found.pop((viewer, title, product), ()):
            if (
                active_play.playing_number is not None
                and self.driver.plays.get(active_play.info.play) is active_play
            ):
                active_play.exchange = exchange
                self.driver.log.info("adopted", play=active_play.info.play, node=active_play.node)
                self.play(active_play, active_play.playing_number + active_play.number_offset)
                return True
        return False

    def resumed(self, active_play: ActivePlay) -> None:
        """A play found at a node: its viewer may come for it."""
        facts = active_play.info
        self.found.setdefault((facts.viewer, facts.title, facts.product), []).append(active_play)
        while len(self.found) > MOVED:
            self.found.popitem(last=False)

    def come_for(self, exchange: Exchange, old: str, viewer: str) -> bool:
        """Whether the viewer of a play that was moved is answered by what came of the move.

        It is not where nothing is known of one, or where the move came to nothing: then it asks like others.
        """
        active_play = self.successors.get(old)
        if active_play is None or active_play.info.viewer != viewer:
            return False
        del self.successors[old]
        if active_play.stored_answer is not None:
            if active_play.stored_answer[0] != 200 or active_play.playing_number is None:
                return False  # it came to nothing, or is over
            exchange.reply(*active_play.stored_answer)
            active_play.stored_answer = None
        else:
            active_play.exchange = exchange
            exchange.gone = lambda: self.driver.viewer_left(active_play)
        return True

    def next_facts(self, facts: PlayInfo) -> PlayInfo:
        """A moved play goes on under a new id, as a viewer that comes again does."""
        self.count += 1
        return msgspec.structs.replace(
            facts, play=f"{self.front}-{self.boot:x}-{self.count:x}", number=0, rung=facts.floor
        )

    def expect(self, old: str, active_play: ActivePlay, before: ActivePlay) -> None:
        """The viewer of `old` will come for the answer of `active_play`.

        It may have come to the try `before`.
        """
        if before.exchange is not None:
            active_play.exchange, before.exchange = before.exchange, None
            active_play.exchange.gone = lambda: self.driver.viewer_left(active_play)
            return
        self.successors[old] = active_play
        while len(self.successors) > MOVED:
            self.successors.popitem(last=False)

    def give(self, active_play: ActivePlay, answer: tuple[int, dict[str, str], bytes]) -> None:
        """Answer the viewer, or keep the answer until it comes."""
        exchange, active_play.exchange = active_play.exchange, None
        if exchange is not None:
            exchange.reply(*answer)
        else:
            active_play.stored_answer = answer

    def play(self, active_play: ActivePlay, number: int) -> None:
        """The manifest: the play's node, its token, the rungs that it may use."""
        start_settings, facts = self.driver.start_settings, active_play.info
        address = self.driver.nodes.address(active_play.node)
        index = self.products[facts.product][0]
        scale, ladder = start_settings["specifics.class_scale"][index], start_settings["specifics.rung_kb"]
        top = max(
            facts.floor, min(facts.top, start_settings["specifics.highest_rung"][index], len(ladder) - 1)
        )
        session = tokens.Session(facts.play, number, active_play.node, self.front, facts.title, facts.product)
        token = tokens.sign(session, self.key, time.time(), self.life)
        plan = manifest.Plan(
            f"http://{address}/s/{facts.play}/{number}/",
            token,
            [(rung, int(ladder[rung] * scale * 8000)) for rung in range(facts.floor, top + 1)],
            SEGMENT,
            active_play.title.length_s,
            location=self.location(facts),
        )
        self.give(
            active_play,
            (
                200,
                {
                    "content-type": "application/dash+xml",
                    "cache-control": "no-store",
                    "curlewhall-play": facts.play,
                },
                manifest.write(plan),
            ),
        )

    def location(self, facts: PlayInfo) -> str:
        """Where a player asks for the manifest anew, as it does when its node says that the play has gone."""
        query = {
            "product": facts.product,
            "viewer": facts.viewer,
            "customer": facts.customer,
            "top": facts.top,
            "moved": facts.play,
            "again": 1,
        }
        return f"{self.url}/play/{quote(facts.title, safe='')}?{urlencode(query)}"

    def decline(self, active_play: ActivePlay, away: int) -> None:
        self.give(
            active_play,
            problems.document(503, "No holder of the title has room", away, play=active_play.info.play),
        )

    def fail(self, active_play: ActivePlay, why: str) -> None:
        self.give(active_play, problems.document(502, why, play=active_play.info.play))

    def moved(self, active_play: ActivePlay) -> None:
        self.away[active_play.info.play] = active_play.info.viewer
        while len(self.away) > MOVED:
            self.away.popitem(last=False)

    def state(self) -> dict:
        driver = self.driver
        return {
            "front": self.front,
            "counts": driver.counts,
            "titles": len(self.titles),
            "held": sum(active_play.playing_number is not None for active_play in driver.plays.values()),
            "setting_up": sum(bool(active_play.pending) for active_play in driver.plays.values()),
            **({"members": driver.peers.members.state()} if driver.peers.members is not None else {}),
            **({"list": self.follower.state()} if self.follower is not None else {}),
            **driver.sites.state(),
            "nodes": driver.nodes.state(),
        }


def number(given: dict[str, str], name: str, plain: int, low: int, high: int) -> int:
    """A whole number of a request; `high` caps it, since a limit may be longer than a front can wait."""
    text = given.get(name)
    if text is None:
        return plain
    if not (text.isascii() and text.isdigit() and len(text) < 12) or int(text) < low:
        raise RequestError(f"{name}: found {text[:20]!r}, expected a whole number, {low} at least")
    return min(int(text), high)
