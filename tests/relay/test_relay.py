"""The relay between the platform's three sides; what is judged passed on the sockets."""

import asyncio
import random
import time

import pytest
from loopback import looped
from relay.deployment import Handovers, deployment, overlapping

from curlewhall.codecs import messages
from curlewhall.codecs.messages import ANSWER, CAUSE, DESCRIPTION, RELEASE
from curlewhall.relay import decide, nodes, viewers
from curlewhall.standins.platform import SPOILT, release


def cause(message):
    return message.fields[CAUSE][0]


def made(node, session):
    return b"node %s made this for %s" % (node.encode(), session.encode())


# ---- answers


@looped
async def test_served_with_the_nodes_own_description(tmp_path):
    async with deployment(tmp_path) as place:
        viewer = await place.platform.viewer(place.port)
        session = viewer.ask(product="paid")
        answer = await viewer.hear(session)
        ((node, _, _, (product, rung)),) = [r for r in place.platform.of("set-up") if r[0] != "viewer"]
        assert (answer.kind, answer.fields[DESCRIPTION]) == (ANSWER, made(node, session))
        assert product == "paid" and rung >= 1
        assert place.platform.standing() == {session: node} and not place.platform.broken()


@pytest.mark.parametrize(
    ("does", "product", "kind", "tries"),
    [
        ("full", "cheap", viewers.DECLINED, 3),
        ("full", "paid", viewers.DECLINED, 3),
        ("moot", "paid", viewers.DECLINED, 3),
        ("error", "cheap", viewers.DECLINED, 3),
        ("error", "paid", viewers.FAILED, 1),
        ("reset", "paid", viewers.FAILED, 1),
        ("break", "paid", viewers.FAILED, 1),
        ("noise", "paid", viewers.FAILED, 1),
    ],
)
@looped
async def test_refused_or_failed_as_the_proof_goes(tmp_path, does, product, kind, tries):
    """Only what provably never ran is sent again or refused, where it is paid for."""
    async with deployment(tmp_path, does=does) as place:
        viewer = await place.platform.viewer(place.port)
        session = viewer.ask(product=product)
        answer = await viewer.hear(session)
        assert (answer.kind, cause(answer)) == (RELEASE, kind)
        assert (answer.fields.get(messages.AWAY) == b"1000") == (kind == viewers.DECLINED)
        assert len([r for r in place.platform.of("set-up") if r[0] != "viewer"]) == tries
        assert not place.platform.broken() and not place.relay.driver.plays


@pytest.mark.parametrize("does", [*SPOILT, "break", "error", "reset", "full"])
@looped
async def test_spoilt_answers_are_not_passed_on(tmp_path, does):
    async with deployment(tmp_path, does=[does, "serve"]) as place:
        viewer = await place.platform.viewer(place.port)
        session = viewer.ask()
        answer = await viewer.hear(session)
        ((found, node),) = place.platform.standing().items()
        assert found == session and not place.platform.broken()
        assert (answer.kind, answer.fields[DESCRIPTION]) == (ANSWER, made(node, session))


@pytest.mark.parametrize("does", ["twice", "ahead"])
@looped
async def test_answers_that_bring_more(tmp_path, does):
    async with deployment(tmp_path, does=does) as place:
        viewer = await place.platform.viewer(place.port)
        asked = [viewer.ask() for _ in range(5)]
        for session in asked:
            await viewer.hear(session)
        assert place.platform.standing().keys() == set(asked) and not place.platform.broken()
        assert set(viewer.said) == set(asked)


@looped
async def test_an_end_that_comes_with_its_answer(tmp_path):
    """A session with next to nothing left to play: served and over, and no sign of a node in trouble."""
    async with deployment(tmp_path, does="short") as place:
        viewer = await place.platform.viewer(place.port)
        session = viewer.ask(product="paid")
        answer, end = await viewer.hear(session), await viewer.hear(session, 2)
        ((node, _, _, body),) = place.platform.of("answered")
        assert (answer.kind, answer.fields[DESCRIPTION], cause(end)) == (ANSWER, body, 16)
        found = place.relay.driver.module.nodes[node]
        assert not found.connection_lost and not found.failures and not place.relay.driver.plays
        assert not place.platform.broken() and not place.platform.standing()


@looped
async def test_late_is_given_up_before_the_next_and_cut_if_it_crosses(tmp_path):
    async with deployment(tmp_path, does=["silent", "serve"], nodes=("n0",)) as place:
        viewer, node = await place.platform.viewer(place.port), place.platform.nodes["n0"]
        session = viewer.ask()
        await viewer.hear(session)
        whats = [row[1] for row in place.platform.seen if row[0] == "n0" and row[2] == session]
        assert whats == ["set-up", "given up", "set-up", "answered"]
        other = viewer.ask()
        await viewer.hear(other)
        node.does = ["silent"]
        third = viewer.ask()
        await place.until(lambda: third in node.out)
        viewer.release(third)
        await place.until(lambda: place.platform.of("given up", third))
        node.cross(third)
        await place.until(lambda: place.platform.of("cut", third))
        assert place.platform.standing().keys() == {session, other} and not place.platform.broken()
        assert not viewer.of(third, (ANSWER, RELEASE))


@looped
async def test_a_drain_told_while_the_connection_comes_up(tmp_path, monkeypatch):
    """What waited for its connection does not go to a node that drains by then."""
    async with deployment(tmp_path, nodes=("n0", "n1")) as place:
        real, drained = nodes.connect, []

        def connect(loop, address, owner):
            line = real(loop, address, owner)
            if not drained:
                drained.append(next(n for n, p in place.platform.nodes.items() if p.port == address[1]))
                members = [place.platform.member(drained[0], "draining")]
                place.relay.channel.command({"nodes": {"members": members}})
            return line

        monkeypatch.setattr(nodes, "connect", connect)
        viewer = await place.platform.viewer(place.port)
        session = viewer.ask(product="paid")
        assert (await viewer.hear(session)).kind == ANSWER
        ((_, node),) = place.platform.standing().items()
        assert drained != [node] and not [r for r in place.platform.of("set-up") if r[0] == drained[0]]


# ---- what ends sessions


@pytest.mark.parametrize(("how", "owed"), [(16, True), (41, True), (31, False)])
@looped
async def test_ended_at_its_node(tmp_path, how, owed):
    async with deployment(tmp_path) as place:
        viewer = await place.platform.viewer(place.port)
        session = viewer.ask()
        await viewer.hear(session)
        node = place.platform.nodes[place.platform.standing()[session]]
        node.end(session, how)
        if owed:
            assert cause(await viewer.hear(session, 2)) == how
        await place.until(lambda: not place.relay.driver.plays)
        assert len(viewer.of(session, (RELEASE,))) == owed


@looped
async def test_released_on_another_connection(tmp_path):
    async with deployment(tmp_path) as place:
        first = await place.platform.viewer(place.port)
        session = first.ask()
        await first.hear(session)
        first.close()
        await place.until(lambda: not place.relay.viewers.connections)
        bad = await place.platform.viewer(place.port)  # says nothing, and hears nothing
        node = place.platform.nodes[place.platform.standing()[session]]
        node.end(session, 16)
        await place.until(lambda: place.relay.viewers.waiting)
        second = await place.platform.viewer(place.port)
        await second.hear(second.ask())
        assert cause(await second.hear(session)) == 16 and session not in bad.said


@looped
async def test_given_up_and_released_by_viewers(tmp_path):
    async with deployment(tmp_path, does=["silent", "serve"], nodes=("n0",)) as place:
        viewer, other = [await place.platform.viewer(place.port) for _ in range(2)]
        first = viewer.ask(product="paid")
        await place.until(lambda: place.platform.nodes["n0"].out)
        viewer.release(first)
        await place.until(lambda: place.platform.of("given up", first))
        second = viewer.ask()
        await viewer.hear(second)
        other.release(second, 31)  # no connection owns a session that stands
        await place.until(lambda: place.platform.of("cut", second))
        assert place.platform.of("cut", second)[0][3] == 31
        assert not place.relay.driver.plays and not place.platform.standing()
        assert not viewer.of(second, (RELEASE,)) and not viewer.of(first, (ANSWER, RELEASE))


@looped
async def test_a_connection_that_ends_gives_up_what_is_open(tmp_path):
    async with deployment(tmp_path, does="silent") as place:
        viewer = await place.platform.viewer(place.port)
        asked = [viewer.ask() for _ in range(20)]
        await place.until(lambda: len([r for r in place.platform.of("set-up") if r[0] != "viewer"]) >= 10)
        viewer.close()
        await place.until(lambda: not place.relay.driver.plays)
        assert len(asked) == 20 and not place.relay.viewers.sessions and not place.platform.broken()


@looped
async def test_adopted_sessions_end_too(tmp_path):
    async with deployment(tmp_path) as place:
        viewer = await place.platform.viewer(place.port)
        session = viewer.ask(at="n2", patience="0")
        viewer.ask(session, at="n2", patience="0")  # named twice
        node = place.platform.nodes["n2"]
        await place.until(lambda: node.lines)  # the node needs a way to say that it is over
        node.standing[session] = next(iter(node.lines))
        node.note(session, "level", 2)
        await place.until(lambda: place.relay.driver.module.plays[session].rung == 2)
        node.end(session, 16)
        assert cause(await viewer.hear(session)) == 16 and len(viewer.said[session]) == 1


@pytest.mark.parametrize("ends", [True, False])
@looped
async def test_a_play_that_the_module_moves(tmp_path, ends):
    """The viewer is told first; the platform ends the session, or it was over, and the viewer is released."""
    async with deployment(tmp_path, nodes=("n0", "n1")) as place:
        platform, viewer = place.platform, await place.platform.viewer(place.port)
        platform.ends_moved = ends
        session = viewer.ask()
        await viewer.hear(session)
        place.relay.driver.move(session)
        assert (await viewer.hear(session, 2)).kind == messages.MOVE
        await place.until(lambda: platform.of("ended" if ends else "cut", session))
        again = viewer.ask(viewer=session, again=1)
        assert (await viewer.hear(again)).kind == ANSWER
        assert platform.standing().keys() == {again} and not platform.broken()
        await place.until(lambda: not any(n.moved for n in place.relay.nodes.nodes.values()))
        assert place.relay.driver.plays.keys() == place.relay.viewers.sessions.keys() == {again}
        if not ends:
            assert cause(await viewer.hear(session, 3)) == 41
        assert len(platform.of("cut", session)) == len(viewer.of(session, (RELEASE,))) == (not ends)


@looped
async def test_a_node_that_dies_and_one_that_was_only_reset(tmp_path):
    async with deployment(tmp_path, nodes=("n0", "n1")) as place:
        viewer = await place.platform.viewer(place.port)
        asked = [viewer.ask(at=f"n{i % 2}", patience="0") for i in range(6)]
        dies, lives = place.platform.nodes["n0"], place.platform.nodes["n1"]
        await place.until(lambda: dies.lines and lives.lines)
        lives.reset()
        await dies.die()
        for session in asked[::2]:
            assert cause(await viewer.hear(session)) == 41
        await place.until(lambda: lives.lines)
        for session in asked[1::2]:
            lives.standing[session] = next(iter(lives.lines))
            lives.end(session, 16)
            assert cause(await viewer.hear(session)) == 16


@looped
async def test_a_machine_that_vanishes(tmp_path, monkeypatch):
    """Its open connection stays open and silent, and new ones never come up: its viewers are told."""
    monkeypatch.setattr(nodes, "QUIET", 0.2)
    monkeypatch.setattr(nodes, "LOOK", 0.05)
    monkeypatch.setattr(decide, "KNOWN", 1.5)
    async with deployment(tmp_path, nodes=("n0", "n1"), permissions__idle_close_ms=1e7) as place:
        viewer, real = await place.platform.viewer(place.port), nodes.connect
        asked = [viewer.ask(at=f"n{i % 2}", patience="0") for i in range(4)]
        await place.until(lambda: all(n.lines for n in place.platform.nodes.values()))
        port = place.platform.nodes["n0"].port

        def connect(loop, address, owner):
            line = real(loop, address, owner)
            if address[1] == port:
                loop.remove_writer(line.sock.fileno())  # what would tell that it came up
            return line

        monkeypatch.setattr(nodes, "connect", connect)
        for session in asked[::2]:
            assert cause(await viewer.hear(session)) == 41
        assert place.relay.driver.plays.keys() == set(asked[1::2])


@looped
async def test_a_new_node_at_the_address_of_one_that_is_gone(tmp_path, monkeypatch):
    monkeypatch.setattr(nodes, "WAIT", 0.01)
    async with deployment(tmp_path, nodes=("n0",)) as place:
        viewer, node = await place.platform.viewer(place.port), place.platform.nodes["n0"]
        session = viewer.ask()
        await viewer.hear(session)
        place.platform.channel.tell(
            2, [place.platform.member("n0", "gone"), place.platform.member("n0", id="m7")]
        )
        assert cause(await viewer.hear(session, 2)) == 41
        await place.until(lambda: place.relay.nodes.nodes.keys() == {"m7"})
        next(iter(place.relay.driver.module.nodes_by_place.values()))[-1].cold_since = float("-inf")
        node.say("ended", session, 41)
        other = viewer.ask()
        assert (await viewer.hear(other)).kind == ANSWER
        assert place.relay.driver.plays[other].node == "m7"


# ---- reports and rungs


@looped
async def test_reports_come_in_the_settings_words(tmp_path):
    async with deployment(
        tmp_path, report={"how": "on_probe", "fields": ["cpu", "x1"]}, nodes=("n0",)
    ) as place:
        viewer = await place.platform.viewer(place.port)
        await viewer.hear(viewer.ask())
        found = place.relay.driver.module.nodes["n0"]
        assert (found.reported_load, found.rack.reported_load) == (0.25, 0.5) and place.platform.of(
            "asked for load"
        )
        place.relay.nodes.set_rung("n0", next(iter(place.relay.driver.plays)), 0, 3)
        await place.until(lambda: place.platform.of("rung"))
        assert place.platform.of("rung")[0][3] == 3


@looped
async def test_short_delivery_steps_down(tmp_path):
    async with deployment(tmp_path, nodes=("n0",)) as place:
        viewer, node = await place.platform.viewer(place.port), place.platform.nodes["n0"]
        session = viewer.ask(top=1)
        await viewer.hear(session)
        node.note(session, "got", 0.5)
        await place.until(lambda: place.platform.of("rung", session))


# ---- bad viewers

GOOD = {
    "product": b"cheap",
    "patience": b"3000",
    "title": b"00000000000000aa",
    "description": b"d",
    "figures": b"home:0;copies:4;top:3;viewer:01",
}
BAD = {
    "product": b"none",
    "patience": b"-5",
    "title": b"short",
    "description": None,
    "figures": b"home:0",
}


@pytest.mark.parametrize(
    "change",
    [
        *({name: value} for name, value in BAD.items()),
        {"figures": None},
        {"patience": b""},
        {"product": None},
        {"patience": b"99999999999999"},
        {"patience": b"1e3"},
        {"patience": b"0"},
        {"title": b"zz" * 8},
        *(
            {"figures": "home:{};copies:{};top:{};viewer:{}".format(*figures).encode()}
            for figures in [
                (4, 4, 3, 1),
                (0, 0, 3, 1),
                (0, 5, 3, 1),
                (0, 4, 9, 1),
                (0, 4, "x", 1),
                (0, 4, 3, "g"),
                (-1, 4, 3, 1),
                ("\xb2", 4, 3, 1),
            ]
        ),
        {"figures": b"home:0;home:1;copies:4;top:3;viewer:01"},
    ],
)
@looped
async def test_set_ups_that_can_not_be_taken(tmp_path, change):
    """Each is refused at once; the module hears nothing, and the usual viewer beside it is served."""
    async with deployment(tmp_path) as place:
        bad, good = [await place.platform.viewer(place.port) for _ in range(2)]
        fields = {name: value for name, value in (GOOD | change).items() if value is not None}
        bad.send(messages.message(messages.SET_UP, "00000000000000b0", **fields))
        answer = await bad.hear("00000000000000b0")
        assert (answer.kind, cause(answer)) == (RELEASE, viewers.WRONG)
        assert (await good.hear(good.ask())).kind == ANSWER
        assert place.relay.driver.counts["asked"] == 1


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\x00",
        b"\x00\x20\x01half a message",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff" * 70000,
        b"\0" * 500,
        messages.message(messages.RELEASE, "f" * 16, cause=b"\x10"),
        messages.message(messages.HEARD, "f" * 16),
    ],
)
@looped
async def test_what_is_no_set_up_is_closed_on(tmp_path, monkeypatch, raw):
    monkeypatch.setattr(viewers, "SILENT", 0.2)
    async with deployment(tmp_path) as place:
        bad = await place.platform.viewer(place.port)
        bad.send(raw)
        assert await bad.gone()
        good = await place.platform.viewer(place.port)
        assert (await good.hear(good.ask())).kind == ANSWER and not place.relay.viewers.usual.keys() - {
            v for v in place.relay.viewers.connections.values()
        }


@looped
async def test_garbage_after_a_set_up_costs_no_answer(tmp_path):
    async with deployment(tmp_path) as place:
        viewer = await place.platform.viewer(place.port)
        session = viewer.ask()
        viewer.send(b"\xff" * 100)
        assert (await viewer.hear(session)).kind == ANSWER and await viewer.gone()


@looped
async def test_a_second_set_up_under_an_open_id(tmp_path):
    async with deployment(tmp_path, does="silent") as place:
        viewer, bad = [await place.platform.viewer(place.port) for _ in range(2)]
        session = viewer.ask(product="paid")
        await place.until(lambda: any(n.out for n in place.platform.nodes.values()))
        bad.ask(session, title="00000000000000bb")
        viewer.ask(session, title="00000000000000cc")
        assert await bad.gone()
        node = next(n for n in place.platform.nodes.values() if n.out)
        node.do("serve", node.out[session], session, b"")
        answer = await viewer.hear(session)
        assert answer.kind == ANSWER and len(viewer.said[session]) == 1 and not place.platform.broken()


@looped
async def test_hundreds_of_connections_leave_room_for_a_viewer(tmp_path):
    async with deployment(tmp_path, sockets=100) as place:
        usual = await place.platform.viewer(place.port)
        await usual.hear(usual.ask())
        crowd = [await place.platform.viewer(place.port) for _ in range(150)]
        for _ in range(5):
            viewer = await place.platform.viewer(place.port)
            assert (await viewer.hear(viewer.ask())).kind == ANSWER
        assert len(place.relay.viewers.connections) <= place.relay.viewers.most < 100
        assert not usual.closed and any(v.closed for v in crowd)


@looped
async def test_hundreds_at_once_and_taken_back(tmp_path):
    async with deployment(tmp_path, does="silent") as place:
        bad = await place.platform.viewer(place.port)
        asked = [bad.ask() for _ in range(300)]
        for session in asked:
            bad.release(session)
        await place.until(lambda: place.relay.driver.counts["asked"] == 300 and not place.relay.driver.plays)
        for node in place.platform.nodes.values():
            node.does = "serve"
        other = await place.platform.viewer(place.port)
        assert (await other.hear(other.ask())).kind in (ANSWER, RELEASE)
        assert not place.platform.broken()


# ---- what is believed, and what is kept


def belief(place):
    """Sessions by node as driver, node side and module count them; attempts out as both count them."""
    driver = place.relay.driver
    held = {play: h.node for play, h in driver.plays.items() if h.playing_number is not None}
    there = {play: node.id for node in place.relay.nodes.nodes.values() for play in node.standing}
    books = {
        play: node.id
        for node in driver.module.nodes.values()
        for play, ply in node.plays.items()
        if ply.answered
    }
    return held, there, books


def test_handovers_overlap_only_when_the_relay_had_not_ended_the_earlier_one():
    """A session handed to a second node is reported unless its first set-up was torn down, answered, refused,
    or lost with its connection before."""
    first, second = ("relay", "handed over", "s", ("n1", 1)), ("relay", "handed over", "s", ("n2", 2))
    assert overlapping([first, second]) == ["s is out at n1 and n2"]
    for ended in (
        ("relay", "torn down", "s", "n1"),
        ("relay", "closed", "", 1),
        ("n1", "refused", "s", "full"),
        ("n1", "answered", "s", b""),
    ):
        assert not overlapping([first, ended, second])
    for other in (
        ("relay", "torn down", "s", "n2"),
        ("relay", "torn down", "t", "n1"),
        ("relay", "closed", "", 2),
        ("n2", "answered", "s", b""),
        ("n1", "spoilt", "s", "noise"),
    ):
        assert overlapping([first, other, second])


@looped
async def test_a_node_writes_the_end_of_a_session_only_to_connections_that_are_open(tmp_path):
    """A connection whose transport has closed is listed until its end has been read; a write to it raises
    RuntimeError in uvloop."""
    async with deployment(tmp_path, nodes=("n0",)) as place:
        viewer = await place.platform.viewer(place.port)
        session = viewer.ask()
        await viewer.hear(session)
        node = place.platform.nodes["n0"]
        node.reset()
        assert node.lines and not node.usable_lines()
        node.end(session, 16)
        assert cause(await viewer.hear(session, 2)) == 16  # told on the relay's next connection


@pytest.mark.parametrize("seed", [1, 2, 3])
@looped
async def test_belief_agrees_with_the_sockets_after_a_rough_course(tmp_path, seed):
    """Crossings, resets, spoilt answers, ends seen twice: then everything is counted from what passed."""
    draw = random.Random(seed)
    async with deployment(tmp_path) as place:
        platform, relay, handovers = place.platform, place.relay, Handovers(place)
        crowd = [await platform.viewer(place.port) for _ in range(4)]
        asked = []
        for turn in range(120):
            for node in platform.nodes.values():
                node.does = draw.choice(["serve"] * 6 + ["twice", "full", "error", "break", "noise", "huge"])
            viewer = draw.choice(crowd)
            asked.append((viewer, viewer.ask(product=draw.choice(["cheap", "dear", "paid"]))))
            if turn % 3 == 0:
                await asyncio.sleep(0.01)
            standing = list(platform.standing().items())
            if standing and draw.random() < 0.5:
                session, name = draw.choice(standing)
                node = platform.nodes[name]
                if session in node.standing and draw.random() < 0.7:
                    node.end(session, draw.choice([16, 41, 31]))
                    for writer in node.usable_lines()[:1]:  # told twice
                        writer.write(release(session, 16))
                else:
                    draw.choice(crowd).release(session)
            if draw.random() < 0.05:
                draw.choice(list(platform.nodes.values())).reset()
        for viewer, session in asked:
            await place.until(
                lambda v=viewer, s=session: v.of(s, (ANSWER, RELEASE)) or platform.of("release", s)
            )

        def agrees():
            held, there, books = belief(place)
            return held == there == books == platform.standing()

        await place.until(agrees)
        # A node may read a set-up before another node reads the TEARDOWN or the close that the relay wrote
        # first, so sessions that may be sent again are judged in the order in which the relay wrote.
        assert not handovers.overlapping() and not relay.driver.counts["faults"]
        came = {(row[0], row[2]) for row in platform.of("set-up") if row[0] != "viewer"}
        assert came and came <= {(row[3][0], row[2]) for row in platform.of("handed over")}
        paid = {row[2] for row in platform.of("set-up") if row[0] != "viewer" and row[3][0] == "paid"}
        assert not [why for why in platform.broken() if " is out at " not in why or why.split()[0] in paid]
        assert not any(h.pending for h in relay.driver.plays.values())


@looped
async def test_tables_shrink_again(tmp_path, monkeypatch):
    """Two thousand sessions with new ids, new connections and replaced nodes; what is left is counted."""
    monkeypatch.setattr(nodes, "WAIT", 0.01)
    async with deployment(tmp_path) as place:
        platform, relay = place.platform, place.relay
        number = 1
        for turn in range(40):
            viewer = await platform.viewer(place.port)
            asked = [viewer.ask(product="cheap") for _ in range(50)]
            for session in asked:
                await viewer.hear(session)
            for session, name in platform.standing().items():
                platform.nodes[name].end(session, 16)
            await place.until(lambda: not relay.driver.plays)
            viewer.close()
            number += 1
            old, new = f"m{turn - 1}" if turn else "n0", f"m{turn}"
            platform.channel.tell(
                number, [platform.member("n0", id=old, phase="gone"), platform.member("n0", id=new)]
            )
            await place.until(lambda n=number: relay.channel.cursor == n)
            for node in relay.driver.module.nodes.values():
                node.cold_since = float("-inf")
        await place.until(lambda: len(relay.nodes.nodes) == 4 and not relay.viewers.connections)
        left = {
            "sessions": relay.viewers.sessions,
            "usual": relay.viewers.usual,
            "waiting": relay.viewers.waiting,
            "plays": relay.driver.plays,
            "module": relay.driver.module.plays,
            "held back": relay.driver.queued_calls,
        }
        assert {name: len(table) for name, table in left.items()} == dict.fromkeys(left, 0)
        assert len(relay.nodes.connections) <= 4 * nodes.EACH and len(relay.timers) < 60
        connections = relay.nodes.connections.values()
        assert all(c.idle and len(c.spent) <= nodes.SPENT for c in connections)


@looped
async def test_what_came_while_a_leaving_front_was_busy_is_read_before_the_close(tmp_path):
    """A front that is kept busy for 80 ms as its time is over: what its viewers wrote then is answered."""
    async with deployment(tmp_path) as place:
        relay = place.relay
        first, second = [await place.platform.viewer(place.port) for _ in range(2)]
        for viewer in (first, second):
            await viewer.hear(viewer.ask())
        relay.viewers.ready = False  # as SIGTERM has it
        names = [first.ask(), second.ask()]
        await asyncio.sleep(0)  # written, and not read by the front yet
        time.sleep(0.08)
        relay.leave()
        for viewer, name in zip((first, second), names, strict=True):
            assert (await viewer.hear(name)).kind == messages.ANSWER
            assert await viewer.gone()
        await relay.over.wait()
        assert not place.platform.broken()
