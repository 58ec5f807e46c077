"""The conditions of the platform's acceptance test, with relay processes among the platform's stand-ins."""

import asyncio
import json
import math
import signal
import time

import pytest
from loopback import looped, poll
from relay.test_relay_process import config, run, try_connect

from curlewhall.codecs import messages
from curlewhall.standins.platform import Platform, abort

MAX_TIME_LIMIT_S = 3.0  # the longest in the settings here


class Deployment:
    """Relay processes with nodes, a channel and viewers of the platform."""

    def __init__(self, tmp_path):
        self.platform, self.tmp_path, self.fronts = Platform(), tmp_path, []

    async def open(self, nodes=2, fronts=1, since=0, unlisted=(), **settings):
        for i in range(nodes):
            await self.platform.add(f"n{i}")
        await self.platform.channel.start()
        members = [
            self.platform.member(name, since=since) for name in self.platform.nodes if name not in unlisted
        ]
        known = {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"complete": True, "members": members}}]}
        for i in range(fronts):
            text = json.dumps(
                config(
                    name=f"n{i}",
                    seed=f"{i + 1:x}",
                    known=known,
                    channel=f"127.0.0.1:{self.platform.channel.port}",
                    **settings,
                )
            )
            self.fronts.append(
                await asyncio.to_thread(run, self.tmp_path, text, f"{i}.json", RELAY_NAME=f"n{i}")
            )
        await self.wait_until(lambda: len(self.platform.channel.connections) >= fronts)
        # A front that reconnects to the channel is counted twice there, so each has to listen as well.
        for _, port in self.fronts:
            (await asyncio.to_thread(poll, lambda port=port: try_connect(port))).close()
        return self

    async def wait_until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.005)

    async def viewer(self, i=0):
        return await self.platform.viewer(self.fronts[i][1])

    def close(self):
        for process, _ in self.fronts:
            process.kill()
        for process, _ in self.fronts:
            process.communicate()
        self.platform.close()


@pytest.fixture
def deployment(tmp_path):
    return Deployment(tmp_path)


def test_planned_restart_answers_clients_that_keep_sending(deployment):
    restart_under_senders(deployment)


@looped
async def restart_under_senders(deployment):
    """Clients keep sending on each connection that stays open. Every set-up is answered but the last on a
    connection, which may cross its close.
    """
    env = await deployment.open()
    try:
        senders = [Sender(await env.viewer(), period) for period in (0.002, 0.003, 0.007, 0.02, 0.05) * 6]
        tasks = [asyncio.create_task(sender.run()) for sender in senders]
        await env.wait_until(lambda: all(sender.answered() > 3 for sender in senders))
        process = env.fronts[0][0]
        process.send_signal(signal.SIGTERM)
        told = time.monotonic()
        code = await asyncio.to_thread(process.wait, MAX_TIME_LIMIT_S + 0.7)
        took = time.monotonic() - told
        await asyncio.gather(*tasks)
        assert code == 0 and took > 0.75  # set-ups come for 0.6 s
        late = [sender for sender in senders if sender.closed - told < 0.6]
        assert not late, "a connection was closed while set-ups still came"
        # Only the last set-ups on a connection may have no answer: they crossed its close.
        assert all(sender.answered_in_order() for sender in senders)
        assert sum(sender.after(told) for sender in senders) > len(senders)
    finally:
        deployment.close()


class Sender:
    """A client that sends set-ups on one connection until it sees the close."""

    def __init__(self, viewer, period):
        self.viewer, self.period, self.sent, self.closed = viewer, period, {}, 0.0

    async def run(self):
        while self.viewer.writable():
            self.sent[self.viewer.request_play(patience="900")] = time.monotonic()
            await asyncio.sleep(self.period)
        self.closed = time.monotonic()
        await self.viewer.wait_closed()  # answers that came before the close are read by then

    def answered(self):
        return sum(1 for name in self.sent if self.ended(name))

    def ended(self, name):
        return self.viewer.messages_of(name, (messages.ANSWER, messages.RELEASE))

    def answered_in_order(self):
        """Whether all set-ups up to some moment are answered, and none after it."""
        ends = [bool(self.ended(name)) for name in self.sent]
        return ends == sorted(ends, reverse=True)

    def after(self, told):
        return sum(sent > told for sent in self.sent.values())


@looped
async def test_sender_stops_when_its_transport_closes_before_its_listener_notices():
    """The listener sets `closed` under a lock, after the transport has closed; uvloop raises RuntimeError on
    a write in between.
    """
    accepted = []
    server = await asyncio.start_server(lambda reader, writer: accepted.append(writer), "127.0.0.1", 0)
    platform = Platform()
    try:
        viewer = await platform.viewer(server.sockets[0].getsockname()[1])
        async with viewer.change:
            while not accepted:
                await asyncio.sleep(0.001)
            abort(accepted[0])
            while not viewer.writer.is_closing():
                await asyncio.sleep(0.001)
            assert not viewer.closed
            sender = Sender(viewer, period=0.001)
            running = asyncio.create_task(sender.run())
            await asyncio.sleep(0.01)
            assert not running.done() and not sender.sent
        await running
        assert viewer.closed and sender.closed
    finally:
        platform.close()
        server.close()


@looped
async def test_drain_on_the_new_channel_is_followed_after_sighup(tmp_path):
    """The new channel has the drain before the front connects to it. From 4 s after SIGHUP on no set-up may
    go to the node; the front has followed the drain long before.
    """
    env = await Deployment(tmp_path).open()
    other = type(env.platform.channel)()
    try:
        await other.start()
        other.send_event(2, [env.platform.member("n0", "draining")])
        file = tmp_path / "0.json"
        file.write_text(json.dumps(json.loads(file.read_text()) | {"channel": f"127.0.0.1:{other.port}"}))
        env.fronts[0][0].send_signal(signal.SIGHUP)
        await env.wait_until(lambda: other.connections)
        assert other.requests == [1]  # event numbers go on
        viewer, at = await env.viewer(), len(env.platform.traffic)
        await viewer.wait_for_message(viewer.request_play())

        def sent():
            return [row[0] for row in env.platform.traffic[at:] if row[1] == "set-up" and row[0] != "viewer"]

        async with asyncio.timeout(20):
            while len(sent()) < 3:  # a new front limits the rate at nodes it doesn't know
                name = viewer.request_play()
                if (await viewer.wait_for_message(name)).kind == messages.ANSWER:
                    viewer.release(name)
                await asyncio.sleep(0.02)
        assert set(sent()) == {"n1"}
    finally:
        other.close()
        env.close()


@pytest.mark.days
@pytest.mark.parametrize("fronts", [3, 8, 20, 30])
@looped
async def test_cold_node_gets_no_more_set_ups_from_all_fronts_than_allowed(tmp_path, fronts):
    """One node has just started; some fronts get four times as many requests as others. No window of the
    settings may have more than N + 2 sqrt(N) + 2 set-ups, N being what the settings allow a node that has
    just started. N is less than the number of fronts.
    """
    settings = config()["settings"] | {"n-instances": fronts}
    env = await Deployment(tmp_path).open(
        nodes=1, fronts=fronts, since=int(time.time() * 1000), settings=settings
    )
    times = []
    seen = env.platform.record
    env.platform.record = lambda side, what, session, value="": (
        times.append(time.monotonic()) if what == "set-up" and side == "n0" else None,
        seen(side, what, session, value),
    )
    try:
        viewers = [await env.viewer(i) for i in range(fronts)]
        names = []
        for turn in range(30):
            names += [
                (viewer, viewer.request_play(patience="900"))
                for i, viewer in enumerate(viewers)
                if turn % 4 == 0 or i % 4 == 0
            ]
            await asyncio.sleep(0.02)
        for viewer, name in names:
            await viewer.wait_for_message(name)
        rules, streams = settings["invariants"], settings["specifics"]["kind-streams"][0]
        window = rules["fall-ms"] / 1000
        allowed = (
            rules["overload-factor"]
            * rules["start-capacity"]
            * streams
            * window
            / (rules["warm-within-ms"] / 1000)
        )
        most = max((sum(t <= other < t + window for other in times) for t in times), default=0)
        assert len(names) > 8 * fronts and most <= allowed + 2 * math.sqrt(allowed) + 2
    finally:
        env.close()


@pytest.mark.days
@looped
async def test_popular_title_does_not_overload_its_one_holder_with_room(tmp_path):
    """Thirty processes, four nodes. Three are full; the fourth has just started, and each front learns of it
    from the channel at its own time. Each front sees only a thirtieth of the requests.
    """
    fronts, settings = 30, config()["settings"]
    settings["n-instances"] = fronts
    settings["specifics"]["kind-streams"] = [10]
    settings["invariants"]["warm-within-ms"] = 1500.0
    env = await Deployment(tmp_path).open(nodes=4, fronts=fronts, unlisted=("n0",), settings=settings)
    times, platform = [], env.platform
    for name in ("n1", "n2", "n3"):
        platform.nodes[name].behaviour = "full"
    try:
        viewers = [await env.viewer(i) for i in range(fronts)]
        await asyncio.sleep(1.6)  # a new front counts the nodes it found as warm by then; longer does no harm
        seen = platform.record
        platform.record = lambda side, what, session, value="": (
            times.append(time.monotonic()) if what == "set-up" and side == "n0" else None,
            seen(side, what, session, value),
        )
        platform.channel.send_event(2, [platform.member("n0", since=int(time.time() * 1000))])
        names = []
        for turn in range(10):
            names += [
                (viewer, viewer.request_play(patience="900"))
                for i, viewer in enumerate(viewers)
                if turn % 2 == 0 or i % 3 == 0
            ]
            await asyncio.sleep(0.03)
        for viewer, name in names:
            await viewer.wait_for_message(name)
        invariants = settings["invariants"]
        window = invariants["fall-ms"] / 1000
        bears = (
            invariants["overload-factor"]
            * invariants["start-capacity"]
            * 10
            * window
            / (invariants["warm-within-ms"] / 1000)
        )
        most = max((sum(t <= other < t + window for other in times) for t in times), default=0)
        assert 0 < most <= bears + 2 * math.sqrt(bears) + 2 and not platform.violations()
    finally:
        env.close()


def settings_with(lanes, **specifics):
    """The settings with other products, each as (name, worth, idempotency, time limit in ms, floor, highest
    rung, scale).
    """
    settings = config()["settings"]
    settings["lanes"] = [
        {"name": name, "worth": worth, "idempotency": how, "target-ms": limit / 3, "give-up-ms": limit}
        for name, worth, how, limit, *_ in lanes
    ]
    floors, tops, scales = ([lane[i] for lane in lanes] for i in (4, 5, 6))
    settings["specifics"] |= {
        "floor-by-class": floors,
        "highest-rung": tops,
        "class-scale": scales,
        "seats": [0] * len(lanes),
    } | specifics
    settings["invariants"] |= {"warm-within-ms": 1.0}  # no node counts as cold
    return settings


SETTINGS_BY_CUSTOMER = {
    "the usual products": settings_with(
        [
            ("dear", 2.0, "pure", 3000.0, 0, 3, 1.0),
            ("cheap", 1.0, "pure", 3000.0, 0, 3, 1.0),
            ("paid", 3.0, "side_effect", 3000.0, 1, 3, 1.0),
        ]
    ),
    "one far over 3 s, one far under 1 s": settings_with(
        [
            ("long", 1.0, "pure", 9000.0, 0, 3, 0.8),
            ("now", 2.0, "pure", 550.0, 0, 3, 0.6),
            ("ticket", 4.0, "side_effect", 3500.0, 1, 3, 1.5),
            ("gallery", 0.5, "pure", 2000.0, 0, 2, 1.0),
        ],
        **{"kind-streams": [12], "uplink-kb": 6000.0},
    ),
    "two paid for, all of little patience": settings_with(
        [
            ("open", 1.0, "pure", 1500.0, 0, 2, 0.9),
            ("seminar", 2.0, "side_effect", 1800.0, 0, 2, 1.0),
            ("exam", 5.0, "side_effect", 2200.0, 1, 2, 1.3),
        ],
        **{
            "rung-kb": [150.0, 300.0, 600.0],
            "level-worth": [0.25, 0.6, 1.0],
            "uplink-kb": 8000.0,
            "link-unit-kb": 5000.0,
        },
    ),
    "one product": settings_with([("only", 1.0, "pure", 2000.0, 0, 3, 1.0)]),
}


@pytest.mark.parametrize("customer", SETTINGS_BY_CUSTOMER)
@looped
async def test_no_product_is_starved_in_any_of_three_rounds(tmp_path, customer):
    """In three rounds more plays are requested than the nodes have streams; between rounds all sessions end.
    While there are streams each product gets at least half of its requests; no round gives a product much
    less than another round; and only the cheapest runs out. (A set-up here names no tenant.)
    """
    settings = SETTINGS_BY_CUSTOMER[customer]
    env = await Deployment(tmp_path).open(nodes=4, settings=settings)
    platform, thirds = env.platform, []
    products = [lane["name"] for lane in settings["lanes"]]
    worth = {lane["name"]: lane["worth"] for lane in settings["lanes"]}
    limits = {lane["name"]: str(int(lane["give-up-ms"])) for lane in settings["lanes"]}
    top = len(settings["specifics"]["rung-kb"]) - 1
    most = 4 * settings["specifics"]["kind-streams"][0]
    try:
        viewer = await env.viewer()
        for _ in range(3):
            got = {product: [] for product in products}
            for _ in range(most // len(products) + 4):
                for product in products:
                    end = await viewer.wait_for_message(
                        viewer.request_play(product=product, patience=limits[product], top=top)
                    )
                    got[product].append(end.kind == messages.ANSWER)
            few = -(-3 * most // (4 * len(products)))
            shares = {product: sum(ends[:few]) / few for product, ends in got.items()}
            assert sum(map(sum, got.values())) <= most and min(shares.values()) >= 0.5, shares
            cheapest = min(products, key=worth.get)
            assert all(shares[p] == 1 for p in products if p != cheapest) and not got[cheapest][-1], shares
            thirds.append({product: sum(ends) for product, ends in got.items()})
            for session, node in platform.running_sessions().items():
                platform.nodes[node].end(session, 16)
                await viewer.wait_for_message(session, 2)  # the front has handled the end
        assert not platform.violations()
        for product in products:
            counts = [third[product] for third in thirds]
            assert min(counts) >= 0.7 * max(counts), thirds
    finally:
        env.close()
