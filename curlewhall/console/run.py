"""Serves the console: pages, a stream of server-sent events (HTML standard, section 9.2) and metrics.

Reading needs no script and no token. A request that changes state needs the operator's token each time, in
the form or as `Authorization: Bearer` (RFC 6750).
"""

import hmac
import math
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlencode, urlsplit

from jinja2 import Environment, PackageLoader
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from curlewhall.wire.http import Limits
from curlewhall.wire.server import Exchange, Server

from . import view

EVENT_INTERVAL_S = 1.0
MAX_CONNECTIONS = 200
SECURITY_HEADERS = {
    "cache-control": "no-store",
    "x-content-type-options": "nosniff",
    "referrer-policy": "no-referrer",
    "content-security-policy": "default-src 'self'; base-uri 'none'; frame-ancestors 'none'; "
    "form-action 'self'",
}
HTML_HEADERS = SECURITY_HEADERS | {"content-type": "text/html; charset=utf-8"}
ASSET_TYPES = {"/console.css": "text/css; charset=utf-8", "/console.js": "text/javascript; charset=utf-8"}


class FrontCollector:
    """A Prometheus collector that reads the front's own counters at each scrape."""

    def __init__(self, front) -> None:
        self.front = front

    def collect(self) -> list[Metric]:
        """The metric families of the front and its sites; called by the registry."""
        overview = view.overview(self.front)
        plays = CounterMetricFamily("curlewhall_plays", "Plays by outcome", labels=["what"])
        for what, count in overview["counts"].items():
            plays.add_metric([what], count)
        declines = CounterMetricFamily("curlewhall_declines", "Declined plays by cause", labels=["cause"])
        for cause, count in overview["declines"]:
            declines.add_metric([cause], count)
        nodes = GaugeMetricFamily("curlewhall_nodes", "Playout nodes by state", labels=["state"])
        for state, count in overview["states"].items():
            nodes.add_metric([state], count)
        held = GaugeMetricFamily("curlewhall_held", "Plays held", value=overview["held"])
        connections = GaugeMetricFamily(
            "curlewhall_connections", "Viewers' connections", value=overview["connections"]
        )
        return [plays, declines, nodes, held, connections, *self.site_metrics()]

    def site_metrics(self) -> list[Metric]:
        """The state of each site, and what would remain of each product after its loss."""
        site_state = self.front.driver.sites.state()
        states = GaugeMetricFamily(
            "curlewhall_site", "Sites by state; 1 for the current one", labels=["site", "state"]
        )
        hidden = GaugeMetricFamily(
            "curlewhall_site_nodes_without_plays", "Nodes of a site that receive no plays", labels=["site"]
        )
        placed = GaugeMetricFamily(
            "curlewhall_site_if_lost_placed",
            "Share of a product's plays that would still have capacity if the site were lost",
            labels=["site", "product"],
        )
        titles = GaugeMetricFamily(
            "curlewhall_site_if_lost_titles",
            "Titles by number of holders left if the site were lost",
            labels=["site", "holders"],
        )
        refused = GaugeMetricFamily(
            "curlewhall_refused_for_sites",
            "Share of all requests refused because of lost sites",
            value=site_state.get("refused", 0.0),
        )
        for site, row in site_state.get("sites", {}).items():
            states.add_metric([site, row["state"]], 1)
            hidden.add_metric([site], row["hidden"])
            if_lost = row.get("if_lost", {})
            for product, share in if_lost.get("placed", {}).items():
                placed.add_metric([site, product], share)
            if if_lost:
                titles.add_metric([site, "1"], if_lost["titles_with_one_holder"])
                titles.add_metric([site, "0"], if_lost["titles_without"])
        return [states, hidden, placed, titles, refused]


class Console:
    """A console served on a listening socket; with an empty `token` it is read-only."""

    def __init__(self, front, sock, token: bytes = b"") -> None:
        self.front = front
        self.loop = front.loop
        self.timers = front.timers
        self.token = token
        self.pages = Environment(
            loader=PackageLoader("curlewhall.console", "pages"),
            autoescape=True,
            trim_blocks=True,
            lstrip_blocks=True,
        )
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(FrontCollector(front))
        self.streams: set[Exchange] = set()  # open event streams
        self.sending_events = False
        self.server = Server(self.loop, self.timers, sock, self.handle, Limits(connections=MAX_CONNECTIONS))

    # ---- requests

    def handle(self, exchange: Exchange) -> None:
        """Routes one request."""
        url = urlsplit(exchange.request.target)
        method = exchange.request.method
        query = dict(parse_qsl(url.query, max_num_fields=16))
        path = url.path
        if method == "POST" and path == "/drain":
            self.handle_drain(exchange)
        elif method not in ("GET", "HEAD"):
            self.render_error(exchange, 405, f"Method {method} is not allowed here")
        elif path == "/":
            self.render_page(exchange, "overview.html", overview=view.overview(self.front))
        elif path == "/events":
            self.open_stream(exchange)
        elif path == "/plays":
            self.loop.create_task(self.show_plays(exchange, query))
        elif path.startswith("/plays/"):
            self.show_play(exchange, unquote(path[7:]))
        elif path == "/metrics":
            exchange.reply(
                200,
                {"content-type": "text/plain; version=0.0.4; charset=utf-8"},
                generate_latest(self.registry),
            )
        elif path in ASSET_TYPES:
            body = (Path(__file__).parent / "pages" / path[1:]).read_bytes()
            exchange.reply(200, SECURITY_HEADERS | {"content-type": ASSET_TYPES[path]}, body)
        else:
            self.render_error(exchange, 404, "Page not found")

    def render_page(self, exchange: Exchange, name: str, status: int = 200, **context) -> None:
        """Answers with the template `name`."""
        text = self.pages.get_template(name).render(
            front=self.front.file.identity.name, can_drain=bool(self.token), **context
        )
        exchange.reply(status, HTML_HEADERS, text.encode())

    def render_error(self, exchange: Exchange, status: int, text: str) -> None:
        """Answers with an error page."""
        self.render_page(exchange, "problem.html", status, code=status, text=text)

    async def show_plays(self, exchange: Exchange, query: dict[str, str]) -> None:
        """The search page; the search gives way to the event loop after each batch."""
        search_text, node, product = (query.get(name, "")[:200].strip() for name in ("q", "node", "product"))
        number = query.get("page", "1")
        number = max(1, int(number)) if number.isascii() and number.isdigit() and len(number) < 8 else 1
        plays = self.front.driver.plays
        candidates = [plays[search_text]] if search_text in plays else list(plays.values())
        found = []
        count = 0
        for batch in view.search(candidates, search_text, node, product, number - 1):
            found, count = batch
            await self.yield_to_loop()
        last = max(1, math.ceil(count / view.PLAYS_PER_PAGE))
        if number > last:
            self.render_error(exchange, 404, f"There are {last} pages of these plays")
            return
        self.render_page(
            exchange,
            "plays.html",
            rows=[view.play_row(self.front, active_play) for active_play in found],
            count=count,
            number=number,
            last=last,
            q=search_text,
            node=node,
            product=product,
            products=list(self.front.viewers.products),
            page_url=lambda page: "/plays?"
            + urlencode({"q": search_text, "node": node, "product": product, "page": page}),
        )

    async def yield_to_loop(self) -> None:
        """Returns after the event loop has run the callbacks that are already due."""
        future = self.loop.create_future()
        self.loop.call_soon(future.set_result, None)
        await future

    def show_play(self, exchange: Exchange, play: str) -> None:
        """The page of one play."""
        active_play = self.front.driver.plays.get(play)
        if active_play is None:
            self.render_error(exchange, 404, f"No play {play[:100]} is held here; it may be over")
        else:
            self.render_page(
                exchange, "play.html", row=view.play_row(self.front, active_play), info=active_play.info
            )

    def handle_drain(self, exchange: Exchange) -> None:
        """Starts or cancels the drain of a node, if the request carries the operator's token."""
        try:
            fields = dict(parse_qsl(exchange.request.body.decode(), max_num_fields=8))
        except (UnicodeDecodeError, ValueError):
            fields = {}
        bearer = exchange.request.headers.get("authorization", "")
        token = bearer[7:] if bearer[:7].lower() == "bearer " else fields.get("token", "")
        if not self.token:
            self.render_error(exchange, 403, "This console only shows: no token_file is set")
        elif not hmac.compare_digest(token.strip().encode(), self.token):
            self.front.log.warning("console request rejected: wrong token", peer=exchange.connection.peer[0])
            self.render_error(exchange, 403, "The token is missing or wrong; nothing was changed")
        elif fields.get("node", "") not in self.front.nodes.nodes:
            self.render_error(exchange, 404, f"Node {fields.get('node', '')[:100]!r} is not in the list")
        else:
            back = fields.get("back", "") == "1"
            self.front.log.info("drain requested at the console", node=fields["node"], back=back)
            self.front.follower.drain_node(fields["node"], back=back)
            exchange.reply(303, SECURITY_HEADERS | {"location": "/"})

    # ---- event stream

    def open_stream(self, exchange: Exchange) -> None:
        """Sends events until the client disconnects.

        A client that stops reading is disconnected; other clients are not delayed.
        """
        exchange.on_disconnect = lambda: self.streams.discard(exchange)
        exchange.start(200, SECURITY_HEADERS | {"content-type": "text/event-stream"})
        exchange.write(b"retry: 500\n\n" + self.event())
        self.streams.add(exchange)
        if not self.sending_events:
            self.sending_events = True
            self.timers.after(EVENT_INTERVAL_S, self.send_events)

    def send_events(self) -> None:
        """Sends one event to every open stream and schedules the next."""
        self.streams = {exchange for exchange in self.streams if exchange.open}
        self.sending_events = bool(self.streams)
        if self.streams:
            event = self.event()  # rendered once for all streams
            for exchange in list(self.streams):
                exchange.write(event)
            self.timers.after(EVENT_INTERVAL_S, self.send_events)

    def event(self) -> bytes:
        """The current overview as a server-sent event."""
        text = self.pages.get_template("live.html").render(overview=view.overview(self.front))
        return b"".join(b"data: " + line + b"\n" for line in text.encode().splitlines()) + b"\n"

    def close(self) -> None:
        """Ends the event streams and stops serving."""
        for exchange in list(self.streams):
            exchange.finish()
        self.streams.clear()
        self.server.close()


def read_token(path: str) -> bytes:
    """The content of the token file without surrounding white space; empty without a path."""
    return Path(path).read_bytes().strip() if path else b""
