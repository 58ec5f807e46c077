"""The viewers' side of a front: a GET for a title becomes a play, answered by a manifest or an error.

`Viewers.handle` is the front's HTTP handler; it also serves health, state, moves, drains, the inventory, and
the requests of peers. The driver calls `play`, `decline`, `fail`, `moved` and `resumed`.
"""

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
from .play_transfer import OfferReceiver

SEGMENT_DURATION_S = 1.0  # short, so that a changed rung takes effect soon
MAX_MOVED_PLAYS = 10_000  # moved or resumed plays that are remembered until their viewers ask again


class RequestError(CurlewhallError):
    """A request with an invalid parameter; the message is sent to the client."""

    remedy = "Correct the request: the detail names the parameter and what is expected."


class Viewers:
    """Answers HTTP requests; the list follower keeps `titles` up to date.

    `answer_margin`: ticks by which an answer is sent before the viewer's time limit. `process_tag`: a number
    that makes the play ids of this process unique.
    """

    def __init__(
        self,
        driver: Driver,
        front: str,
        public_url: str,
        token_key: bytes,
        token_lifetime_s: float,
        answer_margin: int,
        process_tag: int,
    ) -> None:
        self.public_url = public_url
        self.driver = driver
        self.front = front
        self.token_key = token_key
        self.token_lifetime_s = token_lifetime_s
        self.answer_margin = answer_margin
        self.process_tag = process_tag
        self.play_count = 0
        self.titles: dict[str, Title] = {}
        # Product name -> its index in the settings and its settings.
        self.products = {p["name"]: (i, p) for i, p in enumerate(driver.start_settings["products"])}
        self.moved_viewers: OrderedDict[str, str] = OrderedDict()  # moved play -> its viewer
        # Moved play -> the play that continues it.
        self.continuations: OrderedDict[str, ActivePlay] = OrderedDict()
        # (viewer, title, product) -> plays resumed after a restart
        self.resumed_plays: OrderedDict[tuple, list[ActivePlay]] = OrderedDict()
        self.accepting = True  # whether new plays are accepted
        self.follower = None
        self.offer_receiver = OfferReceiver(self)
        self.peer_list_server = None

    def handle(self, exchange: Exchange) -> None:
        """Route one HTTP request."""
        url = urlsplit(exchange.request.target)
        if url.path == "/v1/drain" and exchange.request.method == "POST":
            self.drain_node(exchange, dict(parse_qsl(url.query)))
        elif url.path == "/v1/inventory" and exchange.request.method == "POST":
            self.confirm_inventory(exchange, dict(parse_qsl(url.query)))
        elif url.path == "/v1/offer" and exchange.request.method == "POST":
            self.offer_receiver.handle_offer(exchange)
        elif exchange.request.method != "GET":
            problems.answer(exchange, 405, f"found {exchange.request.method}, expected GET")
        elif url.path.startswith("/play/"):
            try:
                self.request_play(exchange, unquote(url.path[6:]), url.query)
            except RequestError as err:
                problems.answer(exchange, 400, err.detail, remedy=err.remedy)
        elif url.path == "/v1/health":
            ready = self.accepting and (self.follower is None or self.follower.ready)
            fields = {"content-type": "application/json", "cache-control": "no-store"}
            exchange.reply(200 if ready else 503, fields, msgspec.json.encode({"ready": ready}))
        elif url.path == "/v1/list" and self.peer_list_server is not None:
            self.peer_list_server.handle_request(exchange, url.query)
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
            problems.answer(exchange, 404, "Unknown path; viewers request /play/TITLE")

    def is_local(self, exchange: Exchange) -> bool:
        """Whether the request comes from this machine."""
        return exchange.connection.peer[0].startswith("127.") or exchange.connection.peer[0] == "::1"

    def confirm_inventory(self, exchange: Exchange, params: dict[str, str]) -> None:
        """Confirm a pending change of the inventory on behalf of an operator on this machine."""
        watcher = self.follower.watcher
        if not self.is_local(exchange):
            problems.answer(
                exchange, 403, "Inventory changes can be confirmed only from the front's own machine"
            )
        elif watcher is None:
            problems.answer(exchange, 404, "This front has no inventory")
        elif why := watcher.confirm(params.get("confirm", "")):
            problems.answer(exchange, 409, why)
        else:
            if self.follower.broadcast is not None:
                self.follower.broadcast("confirm", params.get("confirm", ""))
            exchange.reply(200, {"content-type": "application/json"}, msgspec.json.encode(watcher.state()))

    def drain_node(self, exchange: Exchange, params: dict[str, str]) -> None:
        """Drain a node at this front, or cancel its drain, on behalf of an operator on this machine."""
        if not self.is_local(exchange):
            problems.answer(exchange, 403, "Drains can be requested only from the front's own machine")
        elif params.get("node", "") not in self.driver.nodes.nodes:
            problems.answer(exchange, 404, f"node {params.get('node', '')!r} is not in the list")
        else:
            self.follower.drain_node(params["node"], back=params.get("back", "0") == "1")
            exchange.reply(
                200, {"content-type": "application/json"}, msgspec.json.encode(self.driver.moves.progress())
            )

    def request_play(self, exchange: Exchange, name: str, query: str) -> None:
        """Start a play of title `name`, or answer at once why not; `RequestError` for a bad parameter."""
        params = dict(parse_qsl(query, keep_blank_values=True, max_num_fields=16))
        title = self.titles.get(name)
        if title is None and not self.titles:
            problems.answer(
                exchange, 503, "This front has just started and has no list of titles yet", retry_after=1000
            )
            return
        if title is None and self.follower is not None and self.follower.belief.list_unconfirmed:
            # The title may be newer than the old list, so a final 404 would be wrong.
            problems.answer(
                exchange, 503, "This front has only an old list, which lacks the title", retry_after=1000
            )
            return
        if title is None:
            problems.answer(exchange, 404, f"title {name!r} is not in the list")
            return
        product = params.get("product", "")
        if product not in self.products:
            raise RequestError(f"product: found {product!r}, expected one of {', '.join(self.products)}")
        index, product_settings = self.products[product]
        viewer = params.get("viewer", "")
        if not 1 <= len(viewer) <= 128:
            raise RequestError("viewer: expected 1 to 128 characters")
        start_settings = self.driver.start_settings
        top = parse_number(params, "top", len(start_settings["specifics.rung_kb"]) - 1, 0, 1000)
        limit = 10 * parse_number(
            params, "limit_ms", product_settings["time_limit"] // 10, 1, product_settings["time_limit"] // 10
        )
        moved = params.get("moved", "")
        if moved and self.answer_moved_viewer(exchange, moved, viewer):
            return
        if moved and self.moved_viewers.pop(moved, None) != viewer:
            moved = ""
        if not self.accepting:
            problems.answer(exchange, 503, "This front is shutting down", retry_after=10_000)
            return
        if product_settings["idempotency"] != "pure" and self.answer_with_resumed_play(
            exchange, viewer, name, product
        ):
            return
        if self.driver.play_store.is_uncertain(viewer, name, product):
            problems.answer(exchange, 502, "An earlier set-up may have run; its node has not reported yet")
            return
        self.play_count += 1
        now = self.driver.clock.now()
        floor = start_settings["specifics.floor_by_class"][index]
        # A highest rung below the product's floor can't be served.
        if top < floor:
            raise RequestError(f"top: found {top}, expected {floor} at least for {product}")
        info = PlayInfo(
            play=f"{self.front}-{self.process_tag:x}-{self.play_count:x}",
            number=0,
            product=product,
            customer=params.get("customer", ""),
            viewer=viewer,
            title=name,
            top=top,
            rung=floor,
            floor=floor,
        )
        # The deadline leaves the margin that an answer takes to reach the viewer within its limit.
        active_play = ActivePlay(info, title, exchange, now + max(0, limit - self.answer_margin), now)
        exchange.on_disconnect = lambda: self.driver.viewer_left(active_play)
        self.driver.accept_request(
            active_play, again=params.get("again", "0") == "1" or bool(moved), moved=bool(moved)
        )

    def answer_with_resumed_play(self, exchange: Exchange, viewer: str, title: str, product: str) -> bool:
        """Answer a viewer with a resumed play of this title and product, if there is one.

        The previous process was killed after the set-up, before or after its answer, and the viewer asks
        again. A second set-up of a paid play would be charged twice.
        """
        for active_play in self.resumed_plays.pop((viewer, title, product), ()):
            if (
                active_play.playing_number is not None
                and self.driver.plays.get(active_play.info.play) is active_play
            ):
                active_play.exchange = exchange
                self.driver.log.info(
                    "resumed play given to its viewer", play=active_play.info.play, node=active_play.node
                )
                self.play(active_play, active_play.playing_number + active_play.number_offset)
                return True
        return False

    def resumed(self, active_play: ActivePlay) -> None:
        """Remember a play found at a node after a restart: its viewer may ask for it."""
        info = active_play.info
        self.resumed_plays.setdefault((info.viewer, info.title, info.product), []).append(active_play)
        while len(self.resumed_plays) > MAX_MOVED_PLAYS:
            self.resumed_plays.popitem(last=False)

    def answer_moved_viewer(self, exchange: Exchange, old: str, viewer: str) -> bool:
        """Answer the viewer of a moved play with the play that continues it; false where there is none.

        False also if the move failed or the play has ended since: the viewer's request then starts a new
        play.
        """
        active_play = self.continuations.get(old)
        if active_play is None or active_play.info.viewer != viewer:
            return False
        del self.continuations[old]
        if active_play.stored_answer is not None:
            if active_play.stored_answer[0] != 200 or active_play.playing_number is None:
                return False
            exchange.reply(*active_play.stored_answer)
            active_play.stored_answer = None
        else:
            active_play.exchange = exchange
            exchange.on_disconnect = lambda: self.driver.viewer_left(active_play)
        return True

    def next_play_info(self, info: PlayInfo) -> PlayInfo:
        """Return the description of the play that continues a moved one: a new id at the lowest rung."""
        self.play_count += 1
        return msgspec.structs.replace(
            info, play=f"{self.front}-{self.process_tag:x}-{self.play_count:x}", number=0, rung=info.floor
        )

    def expect_viewer(self, old: str, active_play: ActivePlay, before: ActivePlay) -> None:
        """Expect the viewer of the moved play `old` to fetch the answer of `active_play`.

        If it is already waiting at the previous attempt `before`, its exchange passes to `active_play`.
        """
        if before.exchange is not None:
            active_play.exchange, before.exchange = before.exchange, None
            active_play.exchange.on_disconnect = lambda: self.driver.viewer_left(active_play)
            return
        self.continuations[old] = active_play
        while len(self.continuations) > MAX_MOVED_PLAYS:
            self.continuations.popitem(last=False)

    def deliver_answer(self, active_play: ActivePlay, answer: tuple[int, dict[str, str], bytes]) -> None:
        """Send the answer to the viewer, or store it until the viewer fetches it."""
        exchange, active_play.exchange = active_play.exchange, None
        if exchange is not None:
            exchange.reply(*answer)
        else:
            active_play.stored_answer = answer

    def play(self, active_play: ActivePlay, number: int) -> None:
        """Answer with the manifest: the play's node, its token and the rungs that it may use."""
        start_settings, info = self.driver.start_settings, active_play.info
        address = self.driver.nodes.address(active_play.node)
        index = self.products[info.product][0]
        scale, ladder = start_settings["specifics.class_scale"][index], start_settings["specifics.rung_kb"]
        top = max(info.floor, min(info.top, start_settings["specifics.highest_rung"][index], len(ladder) - 1))
        session = tokens.Session(info.play, number, active_play.node, self.front, info.title, info.product)
        token = tokens.sign(session, self.token_key, time.time(), self.token_lifetime_s)
        plan = manifest.Presentation(
            f"http://{address}/s/{info.play}/{number}/",
            token,
            [(rung, int(ladder[rung] * scale * 8000)) for rung in range(info.floor, top + 1)],
            SEGMENT_DURATION_S,
            active_play.title.length_s,
            location=self.manifest_location(info),
        )
        self.deliver_answer(
            active_play,
            (
                200,
                {
                    "content-type": "application/dash+xml",
                    "cache-control": "no-store",
                    "curlewhall-play": info.play,
                },
                manifest.write(plan),
            ),
        )

    def manifest_location(self, info: PlayInfo) -> str:
        """Return the URL for fetching the manifest again when the node no longer has the play."""
        query = {
            "product": info.product,
            "viewer": info.viewer,
            "customer": info.customer,
            "top": info.top,
            "moved": info.play,
            "again": 1,
        }
        return f"{self.public_url}/play/{quote(info.title, safe='')}?{urlencode(query)}"

    def decline(self, active_play: ActivePlay, retry_after: int) -> None:
        """Answer that there is no room; `retry_after` in ticks."""
        self.deliver_answer(
            active_play,
            problems.document(
                503, "No holder of the title has room", retry_after, play=active_play.info.play
            ),
        )

    def fail(self, active_play: ActivePlay, why: str) -> None:
        """Answer that the play could not be set up."""
        self.deliver_answer(active_play, problems.document(502, why, play=active_play.info.play))

    def moved(self, active_play: ActivePlay) -> None:
        """Remember a play that the module moved: its viewer will ask again."""
        self.moved_viewers[active_play.info.play] = active_play.info.viewer
        while len(self.moved_viewers) > MAX_MOVED_PLAYS:
            self.moved_viewers.popitem(last=False)

    def state(self) -> dict:
        """Return the body of `/v1/state`."""
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


def parse_number(params: dict[str, str], name: str, default: int, minimum: int, maximum: int) -> int:
    """Return an integer parameter, `default` if it is absent, at most `maximum`.

    `RequestError` if it is no integer or below `minimum`. Larger values are capped without an error: a
    viewer may send a time limit longer than the front can wait.
    """
    text = params.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 12) or int(text) < minimum:
        raise RequestError(f"{name}: found {text[:20]!r}, expected a whole number, {minimum} at least")
    return min(int(text), maximum)
