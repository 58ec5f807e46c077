"""Membership: datagram encoding, replay protection, and the protocol on a virtual clock with lossy links."""

import asyncio
import contextlib
import importlib.util
from pathlib import Path

import pytest
from front.deployment import deployment, until
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from loopback import looped

from curlewhall.members.datagram import (
    ACK,
    ALIVE,
    DEAD,
    LEFT,
    MAX_DATAGRAM_BYTES,
    MAX_ROWS,
    NO_TARGET,
    PING,
    SUSPECT,
    SYNC,
    DatagramError,
    Message,
    ReplayWindow,
    Row,
    decode,
    encode,
    sign,
)
from curlewhall.members.decide import PAUSE_THRESHOLD, PERIOD, MembershipProtocol
from curlewhall.members.run import Membership
from curlewhall.settings.keys import read_keys

# The simulation that `bench/members.py` measures with, loaded by its path.
_spec = importlib.util.spec_from_file_location(
    "bench_members", Path(__file__).resolve().parents[2] / "bench" / "members.py"
)
_module = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(_module)
World = _module.World

TICKS_PER_SECOND = 10_000
KEY = b"k" * 32
OTHER_KEY = b"o" * 32
ROWS = st.tuples(st.builds(Row, st.integers(0, 65535), st.integers(ALIVE, LEFT), st.integers(0, 2**32 - 1)))
MESSAGES = st.builds(
    Message,
    st.integers(1, 5),
    st.integers(0, 65535),
    *[st.integers(0, 2**32 - 1)] * 4,
    st.integers(0, 65535),
    st.integers(0, 65535),
    ROWS,
)


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(MESSAGES)
def test_decoding_an_encoded_message_returns_it(message):
    data = encode(message, KEY)
    assert len(data) <= MAX_DATAGRAM_BYTES and decode(data, [OTHER_KEY, KEY]) == message
    with pytest.raises(DatagramError):
        decode(data, [OTHER_KEY])


def test_message_with_most_rows_fits_and_one_more_row_raises():
    message = Message(PING, 1, 2, 3, 4, 5, 6, NO_TARGET, tuple(Row(i, 0, 1) for i in range(MAX_ROWS)))
    assert len(encode(message, KEY)) <= MAX_DATAGRAM_BYTES
    with pytest.raises(ValueError):
        encode(message._replace(rows=(*message.rows, Row(9, 0, 1))), KEY)


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_decoded_or_raise_datagram_error(data):
    for candidate in (data, data + sign(data, KEY), b"\xc7" + data + sign(b"\xc7" + data, KEY)):
        with contextlib.suppress(DatagramError):
            assert isinstance(decode(candidate, [KEY]), Message)


def test_datagram_with_any_flipped_bit_is_refused():
    data = encode(Message(ACK, 1, 2, 3, 4, 5, 6, 7, (Row(8, 1, 9),)), KEY)
    for bit in range(8 * len(data)):
        damaged = bytearray(data)
        damaged[bit // 8] ^= 1 << bit % 8
        with pytest.raises(DatagramError):
            decode(bytes(damaged), [KEY])


@pytest.mark.parametrize(
    ("numbers", "accepted"),
    [
        ([0, 1, 2], [1, 1, 1]),
        ([5, 5], [1, 0]),
        ([9, 7, 7, 8], [1, 1, 0, 1]),
        ([100, 36, 37], [1, 0, 1]),
        ([1, 1000, 1], [1, 1, 0]),
    ],
)
def test_replay_window_accepts_each_sequence_number_once(numbers, accepted):
    window = ReplayWindow()
    assert [window.accept(n) for n in numbers] == [bool(expected) for expected in accepted]


def test_invalid_key_file_raises_with_the_line_number(tmp_path):
    path = tmp_path / "keys"
    path.write_text(f"{OTHER_KEY.hex()}  # the new key\n\n{KEY.hex()}\n")
    assert read_keys(str(path)) == [OTHER_KEY, KEY]
    for text, words in (("", "no key"), ("xyz\n", "line 1"), (f"{KEY.hex()}\nabcd\n", "line 2: a key of 2")):
        path.write_text(text)
        with pytest.raises(ValueError, match=words):
            read_keys(str(path))


# ---- the protocol on a virtual clock


@pytest.mark.parametrize("loss", [0.0, 0.1, 0.3])
def test_death_restart_and_healed_partition_are_known_to_all_in_time(loss):
    world = World(12, loss, 7)
    assert (
        world.run(60 * TICKS_PER_SECOND, lambda: all(f.member_count() == 12 for f in world.living()))
        is not None
    )
    world.run(world.now + 120 * TICKS_PER_SECOND)
    assert world.false_dead == 0 and all(f.member_count() == 12 for f in world.living())
    world.dead.add(5)
    died = world.now
    assert world.run(died + 40 * TICKS_PER_SECOND, lambda: world.all_hold(5, (DEAD,))) is not None
    world.dead.discard(5)
    world.fronts[5] = MembershipProtocol(
        world.now, 5, [i for i in range(12) if i != 5], 99
    )  # restarted: incarnations start from 1 again
    world.execute(5, world.fronts[5].start(world.now))
    assert (
        world.run(world.now + 30 * TICKS_PER_SECOND, lambda: world.all_hold(5, (ALIVE, SUSPECT))) is not None
    )
    world.cut = set(range(6))
    world.run(world.now + 60 * TICKS_PER_SECOND)
    assert {f.member_count() for f in world.living()} == {6}
    world.cut = set()
    # Once messages pass again, no live front stays declared dead for longer than this.
    assert (
        world.run(
            world.now + 60 * TICKS_PER_SECOND, lambda: all(f.member_count() == 12 for f in world.living())
        )
        is not None
    )


def test_resumed_front_declares_nobody_dead_and_is_accepted_again():
    world = World(8, 0.0, 3)
    world.run(20 * TICKS_PER_SECOND)
    front = world.fronts[2]
    world.dead.add(2)  # paused: it neither receives nor wakes
    world.run(world.now + 60 * TICKS_PER_SECOND)
    assert world.all_hold(2, (DEAD,))
    world.dead.discard(2)
    before = {i: m.state for i, m in front.members.items()}
    actions = list(front.wake(world.now))
    assert ("log", "this front was paused; pinging members before declaring any of them dead") in actions
    assert {i: m.state for i, m in front.members.items()} == before
    world.execute(2, actions)
    assert world.run(world.now + 30 * TICKS_PER_SECOND, lambda: world.all_hold(2, (ALIVE,))) is not None
    assert front.member_count() == 8


def test_link_cut_in_one_direction_is_bridged_by_indirect_pings():
    world = World(6, 0.0, 4)
    deliver = world.deliver
    world.deliver = lambda to, sender, *facts: None if (to, sender) == (1, 0) else deliver(to, sender, *facts)
    world.run(200 * TICKS_PER_SECOND)
    assert world.false_dead == 0 and all(f.member_count() == 6 for f in world.living())


def test_front_that_leaves_is_known_as_left_and_not_as_dead():
    world = World(6, 0.0, 5)
    world.run(20 * TICKS_PER_SECOND)
    world.execute(3, world.fronts[3].leave(world.now))
    world.dead.add(3)
    assert world.run(world.now + 10 * TICKS_PER_SECOND, lambda: world.all_hold(3, (LEFT,))) is not None
    assert world.false_dead == 0


def test_load_share_follows_the_announced_loads():
    world = World(4, 0.0, 5)
    world.run(10 * TICKS_PER_SECOND)
    assert world.fronts[0].load_share(10) == 0.25 and world.fronts[0].load_share(0) == 0.0


class AnyDatagrams(RuleBasedStateMachine):
    """One member that receives any datagrams in any order."""

    def __init__(self):
        super().__init__()
        self.now = 100 * TICKS_PER_SECOND
        self.protocol = MembershipProtocol(100 * TICKS_PER_SECOND, 0, [1, 2, 3], 1)
        self.protocol.start(self.now)
        self.highest = {i: 0 for i in range(4)}

    @rule(
        sender=st.integers(1, 3),
        kind=st.integers(1, 5),
        incarnation=st.integers(0, 6),
        about=st.sampled_from([NO_TARGET, 0, 1, 2, 3, 9]),
        rows=st.lists(st.builds(Row, st.integers(0, 4), st.integers(0, 3), st.integers(0, 6)), max_size=4),
    )
    def receives(self, sender, kind, incarnation, about, rows):
        actions = self.protocol.handle_datagram(self.now, sender, kind, 5, incarnation, 1, about, tuple(rows))
        for name, *arguments in actions:
            if name == "send":
                assert arguments[0] in (1, 2, 3) and len(arguments[4]) <= MAX_ROWS

    @rule(span=st.integers(1, 2 * PAUSE_THRESHOLD))
    def time_passes(self, span):
        self.now += span
        actions = list(self.protocol.wake(self.now))
        wakes = [arguments[0] for name, *arguments in actions if name == "wake"]
        assert len(wakes) == 1 and 1 <= wakes[0] <= 2 * PERIOD

    @invariant()
    def incarnations_never_decrease(self):
        for index, member in self.protocol.members.items():
            assert member.incarnation >= self.highest[index]
            self.highest[index] = member.incarnation
        assert self.protocol.incarnation >= self.highest[0]
        self.highest[0] = self.protocol.incarnation


AnyDatagrams.TestCase.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestAnyDatagrams = AnyDatagrams.TestCase


MAX_INCARNATION = 2**32 - 1


@pytest.mark.parametrize("incarnation", [MAX_INCARNATION, MAX_INCARNATION - 1, 2**31, 2**31 - 1, 7])
@pytest.mark.parametrize("state", [ALIVE, DEAD])
def test_member_refutes_a_forged_incarnation_near_the_maximum(incarnation, state):
    """A key holder or a bit error may send the highest incarnation; without wrap-around none could follow."""
    net = Network(3)
    for end in net.ends:
        end.start()
    net.deliver_all()
    for _ in range(3):  # each round forges the incarnation after the one that the member refuted
        for to in (0, 1):
            net.ends[to].protocol.handle_datagram(
                100 * TICKS_PER_SECOND,
                2,
                ACK,
                1,
                1,
                0,
                NO_TARGET,
                (Row(0, state, incarnation), Row(1, state, incarnation)),
            )
            incarnation = min(MAX_INCARNATION, incarnation + 1)
        for end in net.ends:
            end.execute(end.protocol.wake(100 * TICKS_PER_SECOND))
        for _ in range(3):
            for end in net.ends:
                for to in {0, 1, 2} - {end.own_index}:
                    end.send_message(to, SYNC, 9, NO_TARGET, end.protocol.piggybacked_rows())
            net.deliver_all()
    assert [end.protocol.member_count() for end in net.ends] == [3, 3, 3]
    encoded = [
        encode(
            Message(
                PING, 0, 1, 1, 1, end.protocol.incarnation, 0, NO_TARGET, end.protocol.piggybacked_rows()
            ),
            KEY,
        )
        for end in net.ends
    ]
    assert all(encoded)


def test_incarnation_1_is_newer_than_the_maximum():
    protocol = Network(2).ends[0].protocol
    protocol.members[1].incarnation, protocol.members[1].state = MAX_INCARNATION, DEAD
    assert protocol.handle_datagram(100 * TICKS_PER_SECOND, 1, PING, 5, 1, 0, NO_TARGET, ())[0] == (
        "changed",
        1,
        ALIVE,
    )
    assert (
        protocol.handle_datagram(
            100 * TICKS_PER_SECOND,
            1,
            PING,
            5,
            MAX_INCARNATION,
            0,
            NO_TARGET,
            (Row(1, DEAD, MAX_INCARNATION),),
        )[0][0]
        == "send"
    )
    assert protocol.members[1].state == ALIVE and protocol.members[1].incarnation == 1


def test_sender_continues_as_a_new_instance_when_its_sequence_numbers_are_used_up():
    net = Network()
    net.ends[0].start()
    net.deliver_all()
    sender, receiver = net.ends
    old_instance_id, sender.sequence = sender.instance_id, MAX_INCARNATION - 1
    for nonce in range(1, 6):
        sender.send_message(1, PING, nonce, NO_TARGET, ())
    net.deliver_all()
    assert (
        sender.instance_id != old_instance_id
        and receiver.instances[0].instance_id == sender.instance_id
        and receiver.clashes == 0
    )
    assert sender.sequence < 100 and receiver.instances[0].window.highest == sender.sequence


# ---- instances, replays and duplicate indices


class Network:
    """Memberships whose datagrams are delivered from a list by `deliver_all`; the clock is constant."""

    def __init__(self, count=2, keys=None):
        self.sent = []
        self.ends = [self.make(i, count, (keys or {}).get(i, [KEY])) for i in range(count)]

    def make(self, i, count, keys):
        clock = type("Clock", (), {"now": staticmethod(lambda: 100 * TICKS_PER_SECOND)})()
        timers = type(
            "Timers",
            (),
            {"after": staticmethod(lambda span, call: type("T", (), {"cancel": staticmethod(lambda: None)}))},
        )()
        logged = []
        log = type(
            "Log",
            (),
            {
                level: staticmethod(lambda event, **facts: logged.append(event))
                for level in ("info", "warning", "error")
            },
        )()
        end = Membership(
            i,
            [j for j in range(count) if j != i],
            keys,
            1,
            clock,
            timers,
            log,
            lambda to, data: self.sent.append((to, data)),
            lambda: 3,
        )
        end.logged = logged
        return end

    def deliver_all(self):
        delivered = []
        while self.sent:
            to, data = self.sent.pop(0)
            delivered.append((to, data))
            self.ends[to].handle_datagram(data)
        return delivered


def test_instance_is_accepted_after_it_answers_the_challenge_and_replays_are_not():
    net = Network()
    net.ends[0].start()
    early = net.deliver_all()
    assert all(end.protocol.member_count() == 2 for end in net.ends)
    for to, data in early:
        net.ends[to].handle_datagram(data)  # sent before the instance was accepted: each counts once now
    for to, data in early:
        before = net.ends[to].replayed
        net.ends[to].handle_datagram(data)
        assert net.ends[to].replayed == before + 1
    # The other front restarts: datagrams of its old instance are not accepted any more.
    net.deliver_all()
    net.ends[1] = net.make(1, 2, [KEY])
    net.ends[1].start()
    net.deliver_all()
    known = net.ends[0].instances[1].instance_id
    assert known == net.ends[1].instance_id
    for to, data in early:
        if to == 0:
            net.ends[0].handle_datagram(data)
    net.sent.clear()
    assert net.ends[0].instances[1].instance_id == known


def test_datagram_with_an_unknown_key_or_of_another_protocol_changes_nothing():
    net = Network(keys={0: [KEY], 1: [OTHER_KEY]})
    net.ends[1].start()
    net.deliver_all()
    assert net.ends[0].protocol.member_count() == 1 and net.ends[0].refused == 1
    assert net.ends[0].handle_datagram(b"something of the module's") is False


def test_members_stay_connected_during_each_step_of_a_key_change():
    for keys in (
        {0: [KEY], 1: [KEY, OTHER_KEY]},
        {0: [KEY, OTHER_KEY], 1: [OTHER_KEY, KEY]},
        {0: [OTHER_KEY], 1: [OTHER_KEY, KEY]},
    ):
        net = Network(keys=keys)
        net.ends[0].start()
        net.ends[1].start()
        net.deliver_all()
        assert [end.protocol.member_count() for end in net.ends] == [2, 2]


def test_second_front_with_the_same_index_is_logged():
    net = Network()
    duplicate = net.make(0, 2, [KEY])
    net.ends[0].handle_datagram(
        encode(Message(PING, 0, duplicate.instance_id, 1, 5, 1, 0, NO_TARGET, ()), KEY)
    )
    assert net.ends[0].logged == ["two fronts have the same index"] and net.ends[0].clashes == 1


@looped
async def test_fronts_find_each_other_over_sockets_and_learn_of_a_leave(tmp_path):
    (tmp_path / "keys").touch(mode=0o600)
    (tmp_path / "keys").write_text(KEY.hex() + "\n")
    edit = {"old": "tokens {", "new": f'members {{ key_file: "{tmp_path}/keys" }}\ntokens {{'}
    async with deployment(tmp_path, nodes=3, fronts=2, **edit) as place:
        one = place.fronts[0].peers.members
        other = (await place.front(index=1, **edit)).peers.members
        # No drill relays the datagrams here: each front sends to the other's socket directly.
        addresses = {0: place.plan["relay"]["fronts"]["0"], 1: place.plan["relay"]["fronts"]["1"]}
        for front in place.fronts:
            front.peers.addresses = {
                i: tuple(a) for i, a in addresses.items() if i != front.file.identity.index
            }
            front.peers.index_by_address = {address: i for i, address in front.peers.addresses.items()}
        one.start()
        await until(lambda: one.protocol.member_count() == other.protocol.member_count() == 2)
        assert place.fronts[0].viewers.state()["members"]["peers"] == {1: "alive"}
        leaving = place.fronts[1]
        await leaving.stop()
        place.fronts.remove(leaving)
        await until(lambda: one.protocol.members[1].state == LEFT)
        await asyncio.sleep(0)
