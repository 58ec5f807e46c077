"""Serves the console: pages, a stream of server-sent events (HTML standard, section 9.2), figures.

Reading needs no script and no token. What changes the state needs the operator's token, with each request,
in the form or as `Authorization: Bearer` (RFC 6750).
"""

import hmac
import math
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlencode, urlsplit

from jinja2 import Environment, PackageLoader
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from curlewhall.wire.http import Limits
from curlewhall.wire.server import Exchange, Server

from . import view

EVERY = 1.0  # seconds between two events of a stream
SAFE = {
    "cache-control": "no-store",
    "x-content-type-options": "nosniff",
    "referrer-policy": "no-referrer",
    "content-security-policy": "default-src 'self'; base-uri 'none'; frame-ancestors 'none'; "
    "form-action 'self'",
}
HTML = SAFE | {"content-type": "text/html; charset=utf-8"}
ASSETS = {"/console.css": "text/css; charset=utf-8", "/console.js": "text/javascript; charset=utf-8"}


class Figures:
    """A collector for Prometheus: what the front counts anyway, read when it is asked for."""

    def __init__(self, front) -> None:
        self.front = front

    def collect(self):
        seen = view.overview(self.front)
        asked = CounterMetricFamily("curlewhall_plays", "Plays by what became of them", labels=["what"])
        for what, count in seen["counts"].items():
            asked.add_metric([what], count)
        declines = CounterMetricFamily("curlewhall_declines", "Declined plays by cause", labels=["cause"])
        for cause, count in seen["declines"]:
            declines.add_metric([cause], count)
        nodes = GaugeMetricFamily("curlewhall_nodes", "Playout nodes by state", labels=["state"])
        for state, count in seen["states"].items():
            nodes.add_metric([state], count)
        held = GaugeMetricFamily("curlewhall_held", "Plays held", value=seen["held"])
        lines = GaugeMetricFamily("curlewhall_connections", "Viewers' connections", value=seen["connections"])
        return [asked, declines, nodes, held, lines, *self.sites()]

    def sites(self):
        """What is held of each site, and what its loss would leave of each product."""
        seen = self.front.driver.sites.state()
        states = GaugeMetricFamily(
            "curlewhall_site", "Sites by state; 1 for the one that holds", labels=["site", "state"]
        )
        hidden = GaugeMetricFamily(
            "curlewhall_site_nodes_without_plays", "Nodes of a site that get no plays", labels=["site"]
        )
        left = GaugeMetricFamily(
            "curlewhall_site_if_lost_placed",
            "The part of a product's plays there would be room for",
            labels=["site", "product"],
        )
        titles = GaugeMetricFamily(
            "curlewhall_site_if_lost_titles", "Titles by holders left", labels=["site", "holders"]
        )
        refused = GaugeMetricFamily(
            "curlewhall_refused_for_sites",
            "The part of all that is asked that is refused for lost sites",
            value=seen.get("refused", 0.0),
        )
        for site, row in seen.get("sites", {}).items():
            states.add_metric([site, row["state"]], 1)
            hidden.add_metric([site], row["hidden"])
            cost = row.get("if_lost", {})
            for product, part in cost.get("placed", {}).items():
                left.add_metric([site, product], part)
            if cost:
                titles.add_metric([site, "1"], cost["titles_with_one_holder"])
                titles.add_metric([site, "0"], cost["titles_without"])
        return [states, hidden, left, titles, refused]


class Console:
    """One console on a listening socket; `token` empty: nothing can be changed."""

    def __init__(self, front, sock, token: bytes = b"") -> None:
        self.front, self.loop, self.timers, self.token = front, front.loop, front.timers, token
        self.pages = Environment(
            loader=PackageLoader("curlewhall.console", "pages"),
            autoescape=True,
            trim_blocks=True,
            lstrip_blocks=True,
        )
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(Figures(front))
        self.streams: set[Exchange] = set()
        self.ticking = False
        self.server = Server(self.loop, self.timers, sock, self.handle, Limits(connections=200))

    # ---- requests

    def handle(self, exchange: Exchange) -> None:
        url, method = urlsplit(exchange.request.target), exchange.request.method
        given = dict(parse_qsl(url.query, max_num_fields=16))
        path = url.path
        if method == "POST" and path == "/drain":
            self.drain(exchange)
        elif method not in ("GET", "HEAD"):
            self.problem(exchange, 405, f"Nothing here takes {method}")
        elif path == "/":
            self.page(exchange, "overview.html", seen=view.overview(self.front))
        elif path == "/events":
            self.stream(exchange)
        elif path == "/plays":
            self.loop.create_task(self.plays(exchange, given))
        elif path.startswith("/plays/"):
            self.play(exchange, unquote(path[7:]))
        elif path == "/metrics":
            exchange.reply(
                200,
                {"content-type": "text/plain; version=0.0.4; charset=utf-8"},
                generate_latest(self.registry),
            )
        elif path in ASSETS:
            body = (Path(__file__).parent / "pages" / path[1:]).read_bytes()
            exchange.reply(200, SAFE | {"content-type": ASSETS[path]}, body)
        else:
            self.problem(exchange, 404, "There is no such page")

    def page(self, exchange: Exchange, name: str, status: int = 200, **facts) -> None:
        text = self.pages.get_template(name).render(
            front=self.front.file.identity.name, can=bool(self.token), **facts
        )
        exchange.reply(status, HTML, text.encode())

    def problem(self, exchange: Exchange, status: int, text: str) -> None:
        self.page(exchange, "problem.html", status, code=status, text=text)

    async def plays(self, exchange: Exchange, given: dict[str, str]) -> None:
        words, node, product = (given.get(name, "")[:200].strip() for name in ("q", "node", "product"))
        number = given.get("page", "1")
        number = max(1, int(number)) if number.isascii() and number.isdigit() and len(number) < 8 else 1
        plays = self.front.driver.plays
        looked = [plays[words]] if words in plays else list(plays.values())
        found, count = [], 0
        for step in view.search(looked, words, node, product, number - 1):
            found, count = step
            await self.turn()
        last = max(1, math.ceil(count / view.PAGE))
        if number > last:
            self.problem(exchange, 404, f"There are {last} pages of these plays")
            return
        self.page(
            exchange,
            "plays.html",
            rows=[view.row(self.front, active_play) for active_play in found],
            count=count,
            number=number,
            last=last,
            q=words,
            node=node,
            product=product,
            products=list(self.front.viewers.products),
            to=lambda page: "/plays?"
            + urlencode({"q": words, "node": node, "product": product, "page": page}),
        )

    async def turn(self) -> None:
        """Let everybody else go first."""
        future = self.loop.create_future()
        self.loop.call_soon(future.set_result, None)
        await future

    def play(self, exchange: Exchange, play: str) -> None:
        active_play = self.front.driver.plays.get(play)
        if active_play is None:
            self.problem(exchange, 404, f"No play {play[:100]} is held here; it may be over")
        else:
            self.page(exchange, "play.html", row=view.row(self.front, active_play), facts=active_play.info)

    def drain(self, exchange: Exchange) -> None:
        """Take a node out or back, for those who have the token."""
        try:
            given = dict(parse_qsl(exchange.request.body.decode(), max_num_fields=8))
        except (UnicodeDecodeError, ValueError):
            given = {}
        bearer = exchange.request.headers.get("authorization", "")
        token = bearer[7:] if bearer[:7].lower() == "bearer " else given.get("token", "")
        if not self.token:
            self.problem(exchange, 403, "This console only shows: no token_file is set")
        elif not hmac.compare_digest(token.strip().encode(), self.token):
            self.front.log.warning("a wrong token at the console", peer=exchange.line.peer[0])
            self.problem(exchange, 403, "The token is missing or wrong; nothing was changed")
        elif given.get("node", "") not in self.front.nodes.nodes:
            self.problem(exchange, 404, f"Node {given.get('node', '')[:100]!r} is not in the list")
        else:
            back = given.get("back", "") == "1"
            self.front.log.info("drain at the console", node=given["node"], back=back)
            self.front.follower.drain_node(given["node"], back=back)
            exchange.reply(303, SAFE | {"location": "/"})

    # ---- live

    def stream(self, exchange: Exchange) -> None:
        """Events until the reader goes; one that stops reading loses its connection, nobody else."""
        exchange.gone = lambda: self.streams.discard(exchange)
        exchange.start(200, SAFE | {"content-type": "text/event-stream"})
        exchange.write(b"retry: 500\n\n" + self.event())
        self.streams.add(exchange)
        if not self.ticking:
            self.ticking = True
            self.timers.after(EVERY, self.tick)

    def tick(self) -> None:
        self.streams = {exchange for exchange in self.streams if exchange.open}
        self.ticking = bool(self.streams)
        if self.streams:
            event = self.event()  # made once for all readers
            for exchange in list(self.streams):
                exchange.write(event)
            self.timers.after(EVERY, self.tick)

    def event(self) -> bytes:
        text = self.pages.get_template("live.html").render(seen=view.overview(self.front))
        return b"".join(b"data: " + line + b"\n" for line in text.encode().splitlines()) + b"\n"

    def close(self) -> None:
        for exchange in list(self.streams):
            exchange.finish()
        self.streams.clear()
        self.server.close()


def read_token(path: str) -> bytes:
    return Path(path).read_bytes().strip() if path else b""
