"""The console over loopback without a browser: pages, search, access control, event streams, metrics."""

import asyncio
import contextlib
import socket
from urllib.parse import urlencode

import pytest
from front.deployment import Deployment, until
from loopback import RawClient, looped

from curlewhall.console import view
from curlewhall.drills.baselines import TwoDrawn
from curlewhall.wire.client import Pool
from curlewhall.wire.http import request_bytes

TOKEN = "a token of twenty five chars"
PORT = 8600


class ConsoleDeployment(Deployment):
    """A deployment whose front has a console."""

    def __init__(self, folder, **more):
        super().__init__(folder, **more)
        (folder / "token").touch(mode=0o600)
        (folder / "token").write_text(TOKEN + "\n")
        self.plan["console"], self.plan["console_token"] = PORT, str(folder / "token")

    async def get(self, target, method="GET", body=b"", **fields):
        pool = Pool(self.fronts[0].loop, self.fronts[0].timers, self.plan["fronts"][0]["address"], PORT)
        reply = await pool.fetch(request_bytes(method, target, pool.host, body, **fields), 10)
        pool.close()
        return reply.message

    async def text(self, target):
        return (await self.get(target)).body.decode()


@contextlib.asynccontextmanager
async def console_deployment(folder, policy=None, **more):
    place = ConsoleDeployment(folder, **more)
    try:
        yield await place.open(policy)
    finally:
        await place.close()


@looped
async def test_first_page_shows_the_fleet_without_external_assets(tmp_path):
    async with console_deployment(tmp_path, nodes=9) as place:
        for i in range(4):
            await place.ask(viewer=f"v{i}")
        message = await place.get("/")
        text = message.body.decode()
        assert message.status == 200 and "default-src 'self'" in message.headers["content-security-policy"]
        for node in place.fleet.nodes:
            assert f"<b>{node}</b>" in text
        assert (
            '<dd id="held">4</dd>' in text
            and "No node drains" in text
            and "http" not in text.replace(place.fronts[0].viewers.public_url, "")
        )  # no external asset


@looped
async def test_plays_are_searched_and_paginated(tmp_path):
    async with console_deployment(tmp_path, TwoDrawn, nodes=9) as place:
        for i in range(view.PLAYS_PER_PAGE + 10):
            assert (await place.ask(viewer=f"v{i}", title=f"clip-{i % 8:02}"))[0].status == 200
        first, second = await place.text("/plays"), await place.text("/plays?page=2")
        assert f"{view.PLAYS_PER_PAGE + 10} found" in first and "Page 1 of 2" in first
        assert first.count("<tr><td><a") == view.PLAYS_PER_PAGE and second.count("<tr><td><a") == 10
        assert (await place.get("/plays?page=3")).status == 404
        assert "Page 1 of" in await place.text("/plays?page=x")
        assert "1 found" in await place.text("/plays?q=v59")
        active_play = next(iter(place.fronts[0].driver.plays.values()))
        assert "1 found" in await place.text(f"/plays?q={active_play.info.play}")
        assert "0 found" in await place.text(f"/plays?node={active_play.node}&product=dear")
        assert active_play.info.viewer in await place.text(f"/plays/{active_play.info.play}")
        assert (await place.get("/plays/nothing")).status == 404
        assert "Page not found" in await place.text("/nothing")


@looped
async def test_text_from_viewers_is_escaped(tmp_path):
    async with console_deployment(tmp_path) as place:
        script = "<script>alert(1)</script>"
        await place.ask(viewer=script, customer='"><b>')
        for target in ("/plays", "/plays?" + urlencode({"q": script}), "/nothing" + "?<script>"):
            text = await place.text(target)
            assert "<script>alert" not in text and '"><b>' not in text
        assert "&lt;script&gt;" in await place.text("/plays")


@looped
@pytest.mark.parametrize(
    ("given", "fields", "status"),
    [
        ({"node": "n000", "token": TOKEN}, {}, 303),
        ({"node": "n000"}, {"authorization": f"Bearer {TOKEN}"}, 303),
        ({"node": "n000"}, {}, 403),
        ({"node": "n000", "token": "wrong"}, {}, 403),
        ({"node": "n000", "token": TOKEN}, {"authorization": "Bearer wrong"}, 403),
        ({"node": "nowhere", "token": TOKEN}, {}, 404),
        ({"token": TOKEN}, {}, 404),
    ],
)
async def test_drain_request_needs_the_token(tmp_path, given, fields, status):
    async with console_deployment(tmp_path, TwoDrawn) as place:
        message = await place.get("/drain", "POST", urlencode(given).encode(), **fields)
        assert message.status == status
        assert place.fronts[0].follower.drained_nodes == ({"n000"} if status == 303 else set())
        if status == 303:
            assert "n000" in place.fronts[0].driver.moves.progress()
            await place.get("/drain", "POST", urlencode(given | {"back": "1"}).encode(), **fields)
            assert not place.fronts[0].follower.drained_nodes
        refused = await place.get("/", "DELETE")
        assert refused.status == 405 and "Method DELETE is not allowed here" in refused.body.decode()


@looped
async def test_events_follow_plays_and_a_client_that_stops_reading_delays_no_other(tmp_path):
    async with console_deployment(tmp_path, nodes=9) as place:
        where = place.plan["fronts"][0]["address"]
        reader = await RawClient.open(PORT, where)
        await reader.send(b"GET /events HTTP/1.1\r\nhost: x\r\n\r\n")
        console = place.fronts[0].console
        await until(lambda: console.streams)
        await place.ask()
        seen = b""
        while b'id="held">1<' not in seen:
            seen += await reader.loop.sock_recv(reader.sock, 65536)
        assert seen.startswith(b"HTTP/1.1 200") and b"text/event-stream" in seen
        # a second client with a small receive buffer that reads nothing
        stuck = socket.socket()
        stuck.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        stuck.setblocking(False)
        await reader.loop.sock_connect(stuck, (where, PORT))
        await reader.loop.sock_sendall(stuck, b"GET /events HTTP/1.1\r\nhost: x\r\n\r\n")
        await until(lambda: len(console.streams) == 2)
        slow = next(ex for ex in console.streams if ex.connection.peer[1] == stuck.getsockname()[1])
        event = console.event()
        while slow.open:
            slow.write(event)
            await asyncio.sleep(0)
        assert (await place.ask(viewer="w"))[0].status == 200
        while b'id="held">2<' not in seen:
            seen += await reader.loop.sock_recv(reader.sock, 65536)
        stuck.close()
        reader.close()
        await until(lambda: not [ex for ex in console.streams if ex.open])


@looped
async def test_metrics_count_plays_declines_by_cause_and_nodes(tmp_path):
    async with console_deployment(tmp_path, nodes=1) as place:
        await place.ask()
        place.fault("drain")
        await until(lambda: place.fronts[0].follower.rows["n000"].state == "draining")
        assert (await place.ask(viewer="w"))[0].status == 503
        text = await place.text("/metrics")
        assert 'curlewhall_plays_total{what="asked"} 2.0' in text
        assert 'curlewhall_declines_total{cause="no holder serves"} 1.0' in text
        assert 'curlewhall_nodes{state="draining"} 1.0' in text
        assert "no holder serves" in await place.text("/")


@looped
async def test_metrics_of_sites(tmp_path):
    async with console_deployment(tmp_path, nodes=8) as place:
        watch = place.fronts[0].driver.sites
        await until(lambda: watch.plan.costs)
        text = await place.text("/metrics")
        assert 'curlewhall_site{site="north",state="whole"} 1.0' in text
        assert 'curlewhall_site_if_lost_placed{product="paid",site="south"} 1.0' in text
        assert 'curlewhall_site_if_lost_titles{holders="0",site="north"}' in text
        assert "curlewhall_refused_for_sites 0.0" in text
        place.fleet.fault("site:north", "die", 1)
        await until(lambda: watch.detector.sites["north"].state == "lost")
        text = await place.text("/metrics")
        assert 'curlewhall_site_nodes_without_plays{site="north"} 4.0' in text


class GeneratedPlays:
    """`count` plays with only the attributes that a search reads."""

    def __init__(self, count):
        self.count = count

    def __iter__(self):
        for i in range(self.count):
            info = type(
                "F",
                (),
                {"play": f"p{i}", "viewer": f"v{i % 100}", "title": "t", "product": "plain", "customer": "c"},
            )
            yield type("H", (), {"info": info, "playing_number": 0, "node": f"n{i % 5}", "latest_node": ""})


@pytest.mark.parametrize(
    ("search_text", "node", "page", "rows", "count"),
    [
        ("", "", 0, view.PLAYS_PER_PAGE, 9000),
        ("v7", "", 0, view.PLAYS_PER_PAGE, 990),
        ("", "n3", 1, view.PLAYS_PER_PAGE, 1800),
        ("p8999", "", 0, 1, 1),
        ("zz", "", 0, 0, 0),
        ("", "", 180, 0, 9000),
    ],
)
def test_search_examines_plays_in_batches(search_text, node, page, rows, count):
    steps = list(view.search(GeneratedPlays(9000), search_text, node, "", page))
    assert len(steps) == 9000 // view.SEARCH_BATCH_SIZE + 1
    assert (len(steps[-1][0]), steps[-1][1]) == (rows, count)
