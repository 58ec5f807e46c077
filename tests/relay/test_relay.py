"""The relay among stand-ins of nodes, viewers and channel; judged by the traffic on the sockets."""

import asyncio
import random
import time

import pytest
from loopback import looped
from relay.deployment import RelayWrites, UnreachableNodes, cause, deployment, overlapping

from curlewhall.codecs import messages
from curlewhall.codecs.messages import ANSWER, DESCRIPTION, RELEASE
from curlewhall.relay import decide, node_state, nodes, viewers
from curlewhall.standins.platform import INVALID_ANSWERS, release


def made(node, session):
    return b"node %s made this for %s" % (node.encode(), session.encode())


# ---- answers


@looped
async def test_viewer_gets_the_description_that_its_node_gave(tmp_path):
    async with deployment(tmp_path) as env:
        viewer = await env.platform.viewer(env.port)
        session = viewer.request_play(product="paid")
        answer = await viewer.wait_for_message(session)
        ((node, _, _, (product, rung)),) = [r for r in env.platform.records_of("set-up") if r[0] != "viewer"]
        assert (answer.kind, answer.fields[DESCRIPTION]) == (ANSWER, made(node, session))
        assert product == "paid" and rung >= 1
        assert env.platform.running_sessions() == {session: node} and not env.platform.violations()


@pytest.mark.parametrize(
    ("behaviour", "product", "kind", "tries"),
    [
        ("full", "cheap", viewers.CONGESTION, 3),
        ("full", "paid", viewers.CONGESTION, 3),
        ("moot", "paid", viewers.CONGESTION, 3),
        ("error", "cheap", viewers.CONGESTION, 3),
        ("error", "paid", viewers.TEMPORARY_FAILURE, 1),
        ("reset", "paid", viewers.TEMPORARY_FAILURE, 1),
        ("break", "paid", viewers.TEMPORARY_FAILURE, 1),
        ("noise", "paid", viewers.TEMPORARY_FAILURE, 1),
    ],
)
@looped
async def test_declined_only_if_no_allocation_can_have_run_else_failed(
    tmp_path, behaviour, product, kind, tries
):
    """With a paid product, only an allocation that provably never ran is retried, or declined in the end."""
    async with deployment(tmp_path, behaviour=behaviour) as env:
        viewer = await env.platform.viewer(env.port)
        session = viewer.request_play(product=product)
        answer = await viewer.wait_for_message(session)
        assert (answer.kind, cause(answer)) == (RELEASE, kind)
        assert (answer.fields.get(messages.RETRY_AFTER) == b"1000") == (kind == viewers.CONGESTION)
        assert len([r for r in env.platform.records_of("set-up") if r[0] != "viewer"]) == tries
        assert not env.platform.violations() and not env.relay.driver.plays


@pytest.mark.parametrize("behaviour", [*INVALID_ANSWERS, "break", "error", "reset", "full"])
@looped
async def test_corrupt_answer_is_discarded_and_another_node_serves(tmp_path, behaviour):
    async with deployment(tmp_path, behaviour=[behaviour, "serve"]) as env:
        viewer = await env.platform.viewer(env.port)
        session = viewer.request_play()
        answer = await viewer.wait_for_message(session)
        ((found, node),) = env.platform.running_sessions().items()
        assert found == session and not env.platform.violations()
        assert (answer.kind, answer.fields[DESCRIPTION]) == (ANSWER, made(node, session))


@pytest.mark.parametrize("behaviour", ["twice", "ahead"])
@looped
async def test_repeated_and_foreign_answers_are_ignored(tmp_path, behaviour):
    async with deployment(tmp_path, behaviour=behaviour) as env:
        viewer = await env.platform.viewer(env.port)
        asked = [viewer.request_play() for _ in range(5)]
        for session in asked:
            await viewer.wait_for_message(session)
        assert env.platform.running_sessions().keys() == set(asked) and not env.platform.violations()
        assert set(viewer.received) == set(asked)


@looped
async def test_teardown_with_an_answer_counts_as_served_and_over(tmp_path):
    """So short a session is served and over, and its node does not count as broken."""
    async with deployment(tmp_path, behaviour="short") as env:
        viewer = await env.platform.viewer(env.port)
        session = viewer.request_play(product="paid")
        answer, end = await viewer.wait_for_message(session), await viewer.wait_for_message(session, 2)
        ((node, _, _, body),) = env.platform.records_of("answered")
        assert (answer.kind, answer.fields[DESCRIPTION], cause(end)) == (ANSWER, body, 16)
        found = env.relay.driver.module.nodes[node]
        assert not found.connection_lost and not found.failures and not env.relay.driver.plays
        assert not env.platform.violations() and not env.platform.running_sessions()


@looped
async def test_late_set_up_is_torn_down_before_the_next_and_again_if_its_answer_crosses(tmp_path):
    async with deployment(tmp_path, behaviour=["silent", "serve"], nodes=("n0",)) as env:
        viewer, node = await env.platform.viewer(env.port), env.platform.nodes["n0"]
        session = viewer.request_play()
        await viewer.wait_for_message(session)
        whats = [row[1] for row in env.platform.traffic if row[0] == "n0" and row[2] == session]
        assert whats == ["set-up", "given up", "set-up", "answered"]
        other = viewer.request_play()
        await viewer.wait_for_message(other)
        node.behaviour = ["silent"]
        third = viewer.request_play()
        await env.wait_until(lambda: third in node.pending)
        viewer.release(third)
        await env.wait_until(lambda: env.platform.records_of("given up", third))
        node.answer_late(third)
        await env.wait_until(lambda: env.platform.records_of("cut", third))
        assert env.platform.running_sessions().keys() == {session, other} and not env.platform.violations()
        assert not viewer.messages_of(third, (ANSWER, RELEASE))


@looped
async def test_set_up_that_waits_for_its_connection_avoids_a_node_that_drains(tmp_path, monkeypatch):
    """The drain is announced while the connection comes up."""
    async with deployment(tmp_path, nodes=("n0", "n1")) as env:
        real, drained = nodes.connect, []

        def connect(loop, address, owner):
            line = real(loop, address, owner)
            if not drained:
                drained.append(next(n for n, p in env.platform.nodes.items() if p.port == address[1]))
                members = [env.platform.member(drained[0], "draining")]
                env.relay.channel.apply_command({"nodes": {"members": members}})
            return line

        monkeypatch.setattr(nodes, "connect", connect)
        viewer = await env.platform.viewer(env.port)
        session = viewer.request_play(product="paid")
        assert (await viewer.wait_for_message(session)).kind == ANSWER
        ((_, node),) = env.platform.running_sessions().items()
        assert drained != [node] and not [r for r in env.platform.records_of("set-up") if r[0] == drained[0]]


# ---- what ends sessions


@pytest.mark.parametrize(("how", "owed"), [(16, True), (41, True), (31, False)])
@looped
async def test_session_ended_by_its_node_releases_its_viewer_if_owed(tmp_path, how, owed):
    async with deployment(tmp_path) as env:
        viewer = await env.platform.viewer(env.port)
        session = viewer.request_play()
        await viewer.wait_for_message(session)
        node = env.platform.nodes[env.platform.running_sessions()[session]]
        node.end(session, how)
        if owed:
            assert cause(await viewer.wait_for_message(session, 2)) == how
        await env.wait_until(lambda: not env.relay.driver.plays)
        assert len(viewer.messages_of(session, (RELEASE,))) == owed


@looped
async def test_release_without_its_connection_goes_out_on_a_served_one(tmp_path):
    async with deployment(tmp_path) as env:
        first = await env.platform.viewer(env.port)
        session = first.request_play()
        await first.wait_for_message(session)
        first.close()
        await env.wait_until(lambda: not env.relay.viewers.connections)
        bad = await env.platform.viewer(env.port)  # sends nothing, and must get nothing
        node = env.platform.nodes[env.platform.running_sessions()[session]]
        node.end(session, 16)
        await env.wait_until(lambda: env.relay.viewers.undelivered)
        second = await env.platform.viewer(env.port)
        await second.wait_for_message(second.request_play())
        assert cause(await second.wait_for_message(session)) == 16 and session not in bad.received


@looped
async def test_set_up_and_session_released_by_viewers_are_torn_down(tmp_path):
    async with deployment(tmp_path, behaviour=["silent", "serve"], nodes=("n0",)) as env:
        viewer, other = [await env.platform.viewer(env.port) for _ in range(2)]
        first = viewer.request_play(product="paid")
        await env.wait_until(lambda: env.platform.nodes["n0"].pending)
        viewer.release(first)
        await env.wait_until(lambda: env.platform.records_of("given up", first))
        second = viewer.request_play()
        await viewer.wait_for_message(second)
        other.release(second, 31)  # no connection owns a session that stands
        await env.wait_until(lambda: env.platform.records_of("cut", second))
        assert env.platform.records_of("cut", second)[0][3] == 31
        assert not env.relay.driver.plays and not env.platform.running_sessions()
        assert not viewer.messages_of(second, (RELEASE,)) and not viewer.messages_of(first, (ANSWER, RELEASE))


@looped
async def test_ended_connection_cancels_its_open_set_ups(tmp_path):
    async with deployment(tmp_path, behaviour="silent") as env:
        viewer = await env.platform.viewer(env.port)
        asked = [viewer.request_play() for _ in range(20)]
        await env.wait_until(
            lambda: len([r for r in env.platform.records_of("set-up") if r[0] != "viewer"]) >= 10
        )
        viewer.close()
        await env.wait_until(lambda: not env.relay.driver.plays)
        assert len(asked) == 20 and not env.relay.viewers.sessions and not env.platform.violations()


@looped
async def test_adopted_session_is_followed_and_released(tmp_path):
    async with deployment(tmp_path) as env:
        viewer = await env.platform.viewer(env.port)
        session = viewer.request_play(at="n2", patience="0")
        viewer.request_play(session, at="n2", patience="0")  # adopted twice
        node = env.platform.nodes["n2"]
        node.hold(session, rung=2)
        await env.wait_until(lambda: node.connections)  # on which the node can report the end
        await env.wait_until(lambda: session in env.relay.driver.module.plays)
        await env.wait_until(lambda: env.relay.driver.module.plays[session].rung == 2)
        node.end(session, 16)
        assert cause(await viewer.wait_for_message(session)) == 16 and len(viewer.received[session]) == 1


@pytest.mark.parametrize("ends", [True, False])
@looped
async def test_moved_session_tells_its_viewer_first_and_leaves_nothing_behind(tmp_path, ends):
    """The platform ends the moved session, or it was over before, and its viewer is released."""
    async with deployment(tmp_path, nodes=("n0", "n1")) as env:
        platform, viewer = env.platform, await env.platform.viewer(env.port)
        platform.ends_moved = ends
        session = viewer.request_play()
        await viewer.wait_for_message(session)
        env.relay.driver.move(session)
        assert (await viewer.wait_for_message(session, 2)).kind == messages.MOVE
        await env.wait_until(lambda: platform.records_of("ended" if ends else "cut", session))
        again = viewer.request_play(viewer=session, again=1)
        assert (await viewer.wait_for_message(again)).kind == ANSWER
        assert platform.running_sessions().keys() == {again} and not platform.violations()
        await env.wait_until(lambda: not any(n.moved_sessions for n in env.relay.nodes.nodes.values()))
        assert env.relay.driver.plays.keys() == env.relay.viewers.sessions.keys() == {again}
        if not ends:
            assert cause(await viewer.wait_for_message(session, 3)) == 41
        assert (
            len(platform.records_of("cut", session))
            == len(viewer.messages_of(session, (RELEASE,)))
            == (not ends)
        )


@looped
async def test_sessions_of_a_dead_node_end_and_of_a_reset_one_go_on(tmp_path):
    async with deployment(tmp_path, nodes=("n0", "n1")) as env:
        viewer = await env.platform.viewer(env.port)
        asked = [viewer.request_play(at=f"n{i % 2}", patience="0") for i in range(6)]
        dies, lives = env.platform.nodes["n0"], env.platform.nodes["n1"]
        await env.wait_until(lambda: dies.connections and lives.connections)
        lives.reset()
        await dies.die()
        for session in asked[::2]:
            assert cause(await viewer.wait_for_message(session)) == 41
        await env.wait_until(lambda: lives.connections)
        for session in asked[1::2]:
            lives.sessions[session] = next(iter(lives.connections))
            lives.end(session, 16)
            assert cause(await viewer.wait_for_message(session)) == 16


@looped
async def test_viewers_of_a_vanished_machine_are_released(tmp_path, monkeypatch):
    """Its connection stays open and silent, and new ones never come up."""
    monkeypatch.setattr(nodes, "NODE_SILENCE_S", 0.2)
    monkeypatch.setattr(nodes, "CHECK_INTERVAL_S", 0.05)
    monkeypatch.setattr(decide, "SESSION_END_DEADLINE_S", 1.5)
    async with deployment(tmp_path, nodes=("n0", "n1"), permissions__idle_close_ms=1e7) as env:
        viewer = await env.platform.viewer(env.port)
        asked = [viewer.request_play(at=f"n{i % 2}", patience="0") for i in range(4)]
        for i, session in enumerate(asked):
            env.platform.nodes[f"n{i % 2}"].hold(session)
        await env.wait_until(lambda: env.relay.driver.plays.keys() == set(asked))
        UnreachableNodes(env, monkeypatch, ("n0",))
        for session in asked[::2]:
            assert cause(await viewer.wait_for_message(session)) == 41
        assert env.relay.driver.plays.keys() == set(asked[1::2])


@looped
async def test_new_node_at_the_address_of_a_gone_one_gets_plays_and_no_old_sessions(tmp_path, monkeypatch):
    monkeypatch.setattr(nodes, "REMOVAL_DELAY_S", 0.01)
    async with deployment(tmp_path, nodes=("n0",)) as env:
        viewer, node = await env.platform.viewer(env.port), env.platform.nodes["n0"]
        session = viewer.request_play()
        await viewer.wait_for_message(session)
        env.platform.channel.send_event(
            2, [env.platform.member("n0", "gone"), env.platform.member("n0", id="m7")]
        )
        assert cause(await viewer.wait_for_message(session, 2)) == 41
        await env.wait_until(lambda: env.relay.nodes.nodes.keys() == {"m7"})
        next(iter(env.relay.driver.module.nodes_by_place.values()))[-1].cold_since = float("-inf")
        node.record("ended", session, 41)
        other = viewer.request_play()
        assert (await viewer.wait_for_message(other)).kind == ANSWER
        assert env.relay.driver.plays[other].node == "m7"


# ---- reports and rungs


@looped
async def test_load_reports_reach_the_module_under_its_names(tmp_path):
    async with deployment(
        tmp_path, report={"how": "on_probe", "fields": ["cpu", "x1"]}, nodes=("n0",)
    ) as env:
        viewer = await env.platform.viewer(env.port)
        await viewer.wait_for_message(viewer.request_play())
        found = env.relay.driver.module.nodes["n0"]
        assert (found.reported_load, found.rack.reported_load) == (0.25, 0.5) and env.platform.records_of(
            "asked for load"
        )
        env.relay.nodes.set_rung("n0", next(iter(env.relay.driver.plays)), 0, 3)
        await env.wait_until(lambda: env.platform.records_of("rung"))
        assert env.platform.records_of("rung")[0][3] == 3


@looped
async def test_short_delivery_lowers_the_rung(tmp_path):
    async with deployment(tmp_path, nodes=("n0",)) as env:
        viewer, node = await env.platform.viewer(env.port), env.platform.nodes["n0"]
        session = viewer.request_play(top=1)
        await viewer.wait_for_message(session)
        node.send_note(session, "got", 0.5)
        await env.wait_until(lambda: env.platform.records_of("rung", session))


# ---- misbehaving viewers

GOOD = {
    "product": b"cheap",
    "patience": b"3000",
    "title": b"00000000000000aa",
    "description": b"d",
    "attributes": b"home:0;copies:4;top:3;viewer:01",
}
BAD = {
    "product": b"none",
    "patience": b"-5",
    "title": b"short",
    "description": None,
    "attributes": b"home:0",
}


@pytest.mark.parametrize(
    "change",
    [
        *({name: value} for name, value in BAD.items()),
        {"attributes": None},
        {"patience": b""},
        {"product": None},
        {"patience": b"99999999999999"},
        {"patience": b"1e3"},
        {"patience": b"0"},
        {"title": b"zz" * 8},
        *(
            {"attributes": "home:{};copies:{};top:{};viewer:{}".format(*values).encode()}
            for values in [
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
        {"attributes": b"home:0;home:1;copies:4;top:3;viewer:01"},
    ],
)
@looped
async def test_invalid_set_up_is_refused_and_hidden_from_the_module(tmp_path, change):
    """It is refused at once, and another viewer is served."""
    async with deployment(tmp_path) as env:
        bad, good = [await env.platform.viewer(env.port) for _ in range(2)]
        fields = {name: value for name, value in (GOOD | change).items() if value is not None}
        bad.send(messages.encode(messages.SET_UP, "00000000000000b0", **fields))
        answer = await bad.wait_for_message("00000000000000b0")
        assert (answer.kind, cause(answer)) == (RELEASE, viewers.INVALID_CONTENTS)
        assert (await good.wait_for_message(good.request_play())).kind == ANSWER
        assert env.relay.driver.counts["asked"] == 1


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\x00",
        b"\x00\x20\x01half a message",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff" * 70000,
        b"\0" * 500,
        messages.encode(messages.RELEASE, "f" * 16, cause=b"\x10"),
        messages.encode(messages.RELEASE_ACK, "f" * 16),
    ],
)
@looped
async def test_connection_without_a_valid_message_is_closed(tmp_path, monkeypatch, raw):
    monkeypatch.setattr(viewers, "MESSAGE_TIMEOUT_S", 0.2)
    async with deployment(tmp_path) as env:
        bad = await env.platform.viewer(env.port)
        bad.send(raw)
        assert await bad.wait_closed()
        good = await env.platform.viewer(env.port)
        assert (
            await good.wait_for_message(good.request_play())
        ).kind == ANSWER and not env.relay.viewers.served.keys() - {
            v for v in env.relay.viewers.connections.values()
        }


@looped
async def test_set_up_before_garbage_is_answered_and_then_closed(tmp_path):
    async with deployment(tmp_path) as env:
        viewer = await env.platform.viewer(env.port)
        session = viewer.request_play()
        viewer.send(b"\xff" * 100)
        assert (await viewer.wait_for_message(session)).kind == ANSWER and await viewer.wait_closed()


@looped
async def test_second_set_up_with_an_open_id_disturbs_neither(tmp_path):
    async with deployment(tmp_path, behaviour="silent") as env:
        viewer, bad = [await env.platform.viewer(env.port) for _ in range(2)]
        session = viewer.request_play(product="paid")
        await env.wait_until(lambda: any(n.pending for n in env.platform.nodes.values()))
        bad.request_play(session, title="00000000000000bb")
        viewer.request_play(session, title="00000000000000cc")
        assert await bad.wait_closed()
        node = next(n for n in env.platform.nodes.values() if n.pending)
        node.apply_behaviour("serve", node.pending[session], session, b"")
        answer = await viewer.wait_for_message(session)
        assert answer.kind == ANSWER and len(viewer.received[session]) == 1 and not env.platform.violations()


@looped
async def test_viewer_is_served_beside_more_connections_than_the_limit(tmp_path):
    async with deployment(tmp_path, sockets=100) as env:
        usual = await env.platform.viewer(env.port)
        await usual.wait_for_message(usual.request_play())
        crowd = [await env.platform.viewer(env.port) for _ in range(150)]
        for _ in range(5):
            viewer = await env.platform.viewer(env.port)
            assert (await viewer.wait_for_message(viewer.request_play())).kind == ANSWER
        assert len(env.relay.viewers.connections) <= env.relay.viewers.max_connections < 100
        assert not usual.closed and any(v.closed for v in crowd)


@looped
async def test_hundreds_of_released_set_ups_leave_no_plays(tmp_path):
    async with deployment(tmp_path, behaviour="silent") as env:
        bad = await env.platform.viewer(env.port)
        asked = [bad.request_play() for _ in range(300)]
        for session in asked:
            bad.release(session)
        await env.wait_until(lambda: env.relay.driver.counts["asked"] == 300 and not env.relay.driver.plays)
        for node in env.platform.nodes.values():
            node.behaviour = "serve"
        other = await env.platform.viewer(env.port)
        assert (await other.wait_for_message(other.request_play())).kind in (ANSWER, RELEASE)
        assert not env.platform.violations()


# ---- tables


def session_tables(env):
    """Sessions by node as the driver, `Nodes` and the module have them."""
    driver = env.relay.driver
    in_driver = {play: h.node for play, h in driver.plays.items() if h.playing_number is not None}
    at_nodes = {play: node.id for node in env.relay.nodes.nodes.values() for play in node.sessions}
    in_module = {
        play: node.id
        for node in driver.module.nodes.values()
        for play, module_play in node.plays.items()
        if module_play.answered
    }
    return in_driver, at_nodes, in_module


def test_set_ups_overlap_unless_the_relay_ended_the_earlier_one_first():
    """A session sent to a second node is reported unless its first set-up was torn down, answered, refused
    or lost with its connection before.
    """
    first, second = ("relay", "sent", "s", ("n1", 1)), ("relay", "sent", "s", ("n2", 2))
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
async def test_node_stand_in_sends_the_end_of_a_session_only_on_open_connections(tmp_path):
    """A connection whose transport has closed is listed until its end has been read; a write to it raises
    RuntimeError in uvloop.
    """
    async with deployment(tmp_path, nodes=("n0",)) as env:
        viewer = await env.platform.viewer(env.port)
        session = viewer.request_play()
        await viewer.wait_for_message(session)
        node = env.platform.nodes["n0"]
        node.reset()
        assert node.connections and not node.writable_connections()
        node.end(session, 16)
        assert cause(await viewer.wait_for_message(session, 2)) == 16  # sent on the relay's next connection


@pytest.mark.parametrize("seed", [1, 2, 3])
@looped
async def test_all_tables_agree_with_the_traffic_after_random_faults(tmp_path, seed):
    """Messages that cross, resets, corrupt answers and repeated releases; then tables are compared."""
    draw = random.Random(seed)
    async with deployment(tmp_path) as env:
        platform, relay, writes = env.platform, env.relay, RelayWrites(env)
        crowd = [await platform.viewer(env.port) for _ in range(4)]
        asked = []
        for turn in range(120):
            for node in platform.nodes.values():
                node.behaviour = draw.choice(
                    ["serve"] * 6 + ["twice", "full", "error", "break", "noise", "huge"]
                )
            viewer = draw.choice(crowd)
            asked.append((viewer, viewer.request_play(product=draw.choice(["cheap", "dear", "paid"]))))
            if turn % 3 == 0:
                await asyncio.sleep(0.01)
            standing = list(platform.running_sessions().items())
            if standing and draw.random() < 0.5:
                session, name = draw.choice(standing)
                node = platform.nodes[name]
                if session in node.sessions and draw.random() < 0.7:
                    node.end(session, draw.choice([16, 41, 31]))
                    for writer in node.writable_connections()[:1]:  # sent twice
                        writer.write(release(session, 16))
                else:
                    draw.choice(crowd).release(session)
            if draw.random() < 0.05:
                draw.choice(list(platform.nodes.values())).reset()
        for viewer, session in asked:
            await env.wait_until(
                lambda v=viewer, s=session: v.messages_of(s, (ANSWER, RELEASE))
                or platform.records_of("release", s)
            )

        def agrees():
            in_driver, at_nodes, in_module = session_tables(env)
            return in_driver == at_nodes == in_module == platform.running_sessions()

        await env.wait_until(agrees)
        # A node may read a set-up before another node reads the TEARDOWN or the close that the relay wrote
        # first, so sessions that may be sent again are judged in the order in which the relay wrote.
        assert not writes.overlapping() and not relay.driver.counts["faults"]
        came = {(row[0], row[2]) for row in platform.records_of("set-up") if row[0] != "viewer"}
        assert came and came <= {(row[3][0], row[2]) for row in platform.records_of("sent")}
        paid = {row[2] for row in platform.records_of("set-up") if row[0] != "viewer" and row[3][0] == "paid"}
        assert not [
            why for why in platform.violations() if " is out at " not in why or why.split()[0] in paid
        ]
        assert not any(h.pending for h in relay.driver.plays.values())


@looped
async def test_tables_are_empty_after_two_thousand_sessions(tmp_path, monkeypatch):
    """With new ids, new connections and replaced nodes all the time."""
    monkeypatch.setattr(nodes, "REMOVAL_DELAY_S", 0.01)
    async with deployment(tmp_path) as env:
        platform, relay = env.platform, env.relay
        number = 1
        for turn in range(40):
            viewer = await platform.viewer(env.port)
            asked = [viewer.request_play(product="cheap") for _ in range(50)]
            for session in asked:
                await viewer.wait_for_message(session)
            for session, name in platform.running_sessions().items():
                platform.nodes[name].end(session, 16)
            await env.wait_until(lambda: not relay.driver.plays)
            viewer.close()
            number += 1
            old, new = f"m{turn - 1}" if turn else "n0", f"m{turn}"
            platform.channel.send_event(
                number, [platform.member("n0", id=old, phase="gone"), platform.member("n0", id=new)]
            )
            await env.wait_until(lambda n=number: relay.channel.cursor == n)
            for node in relay.driver.module.nodes.values():
                node.cold_since = float("-inf")
        await env.wait_until(lambda: len(relay.nodes.nodes) == 4 and not relay.viewers.connections)
        left = {
            "sessions": relay.viewers.sessions,
            "served": relay.viewers.served,
            "undelivered": relay.viewers.undelivered,
            "plays": relay.driver.plays,
            "module": relay.driver.module.plays,
            "queued calls": relay.driver.queued_calls,
        }
        assert {name: len(table) for name, table in left.items()} == dict.fromkeys(left, 0)
        assert len(relay.nodes.connections) <= 4 * nodes.MAX_CONNECTIONS_PER_NODE and len(relay.timers) < 60
        connections = relay.nodes.connections.values()
        assert all(c.idle and len(c.failed_plays) <= node_state.MAX_FAILED_SETUPS for c in connections)


@looped
async def test_set_up_received_while_busy_is_answered_before_the_shutdown_closes(tmp_path):
    """The front is busy for 80 ms as it begins to close; its viewers send set-ups meanwhile."""
    async with deployment(tmp_path) as env:
        relay = env.relay
        first, second = [await env.platform.viewer(env.port) for _ in range(2)]
        for viewer in (first, second):
            await viewer.wait_for_message(viewer.request_play())
        relay.viewers.ready = False  # as after SIGTERM
        names = [first.request_play(), second.request_play()]
        await asyncio.sleep(0)  # written, and not read by the front yet
        time.sleep(0.08)
        relay.wind_down()
        for viewer, name in zip((first, second), names, strict=True):
            assert (await viewer.wait_for_message(name)).kind == messages.ANSWER
            assert await viewer.wait_closed()
        await relay.stopped.wait()
        assert not env.platform.violations()
