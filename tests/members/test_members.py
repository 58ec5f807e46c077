"""Membership: bytes, lives and replays, and the protocol on a made-up clock with lossy links."""

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

from curlewhall.members.decide import PERIOD, STILL, Members
from curlewhall.members.form import (
    ACK,
    ALIVE,
    DEAD,
    LARGEST,
    LEFT,
    MOST_ROWS,
    NOBODY,
    PING,
    SUSPECT,
    SYNC,
    DatagramError,
    Message,
    Row,
    Window,
    decode,
    encode,
    sign,
)
from curlewhall.members.run import Membership
from curlewhall.settings.keys import read_keys

# the measurement's world of fronts and lossy links; by its path, since `bench` is no package
_found = importlib.util.spec_from_file_location(
    "bench_members", Path(__file__).resolve().parents[2] / "bench" / "members.py"
)
_module = importlib.util.module_from_spec(_found)
_found.loader.exec_module(_module)
World = _module.World

S = 10_000
KEY, OTHER = b"k" * 32, b"o" * 32
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
def test_a_message_is_the_same_through_its_bytes(message):
    data = encode(message, KEY)
    assert len(data) <= LARGEST and decode(data, [OTHER, KEY]) == message
    with pytest.raises(DatagramError):
        decode(data, [OTHER])


def test_the_largest_message_fits():
    message = Message(PING, 1, 2, 3, 4, 5, 6, NOBODY, tuple(Row(i, 0, 1) for i in range(MOST_ROWS)))
    assert len(encode(message, KEY)) <= LARGEST
    with pytest.raises(ValueError):
        encode(message._replace(rows=(*message.rows, Row(9, 0, 1))), KEY)


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.binary(max_size=300))
def test_any_bytes_are_a_message_or_refused(data):
    for given_bytes in (data, data + sign(data, KEY), b"\xc7" + data + sign(b"\xc7" + data, KEY)):
        with contextlib.suppress(DatagramError):
            assert isinstance(decode(given_bytes, [KEY]), Message)


def test_every_flipped_bit_is_refused():
    data = encode(Message(ACK, 1, 2, 3, 4, 5, 6, 7, (Row(8, 1, 9),)), KEY)
    for at in range(8 * len(data)):
        spoilt = bytearray(data)
        spoilt[at // 8] ^= 1 << at % 8
        with pytest.raises(DatagramError):
            decode(bytes(spoilt), [KEY])


@pytest.mark.parametrize(
    ("numbers", "taken"),
    [
        ([0, 1, 2], [1, 1, 1]),
        ([5, 5], [1, 0]),
        ([9, 7, 7, 8], [1, 1, 0, 1]),
        ([100, 36, 37], [1, 0, 1]),
        ([1, 1000, 1], [1, 1, 0]),
    ],
)
def test_a_sequence_number_counts_once(numbers, taken):
    window = Window()
    assert [window.take(n) for n in numbers] == [bool(t) for t in taken]


def test_keys_are_read_and_wrong_ones_told_with_their_line(tmp_path):
    path = tmp_path / "keys"
    path.write_text(f"{OTHER.hex()}  # the new one\n\n{KEY.hex()}\n")
    assert read_keys(str(path)) == [OTHER, KEY]
    for text, words in (("", "no key"), ("xyz\n", "line 1"), (f"{KEY.hex()}\nabcd\n", "line 2: a key of 2")):
        path.write_text(text)
        with pytest.raises(ValueError, match=words):
            read_keys(str(path))


# ---- the protocol on a made-up clock


@pytest.mark.parametrize("loss", [0.0, 0.1, 0.3])
def test_deaths_starts_and_partitions_are_known_in_time(loss):
    world = World(12, loss, 7)
    assert world.run(60 * S, lambda: all(f.count() == 12 for f in world.living())) is not None
    world.run(world.now + 120 * S)
    assert world.false_dead == 0 and all(f.count() == 12 for f in world.living())
    world.dead.add(5)
    died = world.now
    assert world.run(died + 40 * S, lambda: world.all_hold(5, (DEAD,))) is not None
    world.dead.discard(5)
    world.fronts[5] = Members(world.now, 5, [i for i in range(12) if i != 5], 99)  # incarnations begin anew
    world.carry(5, world.fronts[5].begin(world.now))
    assert world.run(world.now + 30 * S, lambda: world.all_hold(5, (ALIVE, SUSPECT))) is not None
    world.cut = set(range(6))
    world.run(world.now + 60 * S)
    assert {f.count() for f in world.living()} == {6}
    world.cut = set()
    # no living front is held dead for longer than that once messages pass again
    assert world.run(world.now + 60 * S, lambda: all(f.count() == 12 for f in world.living())) is not None


def test_one_that_stood_still_is_not_believed_dead_by_itself_and_believes_nothing_it_missed():
    world = World(8, 0.0, 3)
    world.run(20 * S)
    front = world.fronts[2]
    world.dead.add(2)  # it neither hears nor wakes
    world.run(world.now + 60 * S)
    assert world.all_hold(2, (DEAD,))
    world.dead.discard(2)
    before = {i: m.state for i, m in front.members.items()}
    said = list(front.wake(world.now))
    assert ("say", "stood still; asking who is there before anything is believed") in said
    assert {i: m.state for i, m in front.members.items()} == before  # nobody died by its own standing still
    world.carry(2, said)
    assert world.run(world.now + 30 * S, lambda: world.all_hold(2, (ALIVE,))) is not None
    assert front.count() == 8


def test_one_that_hears_but_is_not_heard_by_one_is_reached_through_others():
    world = World(6, 0.0, 4)
    hear = world.hear
    world.hear = lambda to, sender, *facts: None if (to, sender) == (1, 0) else hear(to, sender, *facts)
    world.run(200 * S)
    assert world.false_dead == 0 and all(f.count() == 6 for f in world.living())


def test_one_that_leaves_is_known_to_have_left():
    world = World(6, 0.0, 5)
    world.run(20 * S)
    world.carry(3, world.fronts[3].leave(world.now))
    world.dead.add(3)
    assert world.run(world.now + 10 * S, lambda: world.all_hold(3, (LEFT,))) is not None
    assert world.false_dead == 0


def test_the_part_of_the_load():
    world = World(4, 0.0, 5)
    world.run(10 * S)
    assert world.fronts[0].part(10) == 0.25 and world.fronts[0].part(0) == 0.0


class AnyNews(RuleBasedStateMachine):
    """One member, told anything in any order."""

    def __init__(self):
        super().__init__()
        self.now, self.member = 100 * S, Members(100 * S, 0, [1, 2, 3], 1)
        self.member.begin(self.now)
        self.highest = {i: 0 for i in range(4)}

    @rule(
        sender=st.integers(1, 3),
        kind=st.integers(1, 5),
        incarnation=st.integers(0, 6),
        about=st.sampled_from([NOBODY, 0, 1, 2, 3, 9]),
        rows=st.lists(st.builds(Row, st.integers(0, 4), st.integers(0, 3), st.integers(0, 6)), max_size=4),
    )
    def hears(self, sender, kind, incarnation, about, rows):
        said = self.member.heard(self.now, sender, kind, 5, incarnation, 1, about, tuple(rows))
        for verb, *facts in said:
            if verb == "send":
                assert facts[0] in (1, 2, 3) and len(facts[4]) <= MOST_ROWS

    @rule(span=st.integers(1, 2 * STILL))
    def passes(self, span):
        self.now += span
        said = list(self.member.wake(self.now))
        wakes = [facts[0] for verb, *facts in said if verb == "wake"]
        assert len(wakes) == 1 and 1 <= wakes[0] <= 2 * PERIOD

    @invariant()
    def incarnations_never_go_back(self):
        for index, member in self.member.members.items():
            assert member.incarnation >= self.highest[index]
            self.highest[index] = member.incarnation
        assert self.member.incarnation >= self.highest[0]
        self.highest[0] = self.member.incarnation


AnyNews.TestCase.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestAnyNews = AnyNews.TestCase


TOP = 2**32 - 1


@pytest.mark.parametrize("top", [TOP, TOP - 1, 2**31, 2**31 - 1, 7])
@pytest.mark.parametrize("state", [ALIVE, DEAD])
def test_a_forged_incarnation_near_the_top_silences_nobody(top, state):
    """Danger: a holder of the key, or a flipped bit of ours, says a number after which there is none."""
    net = Net(3)
    for end in net.ends:
        end.start()
    net.pump()
    for _ in range(3):  # each time the next after what the member has made of it
        for to in (0, 1):
            net.ends[to].members.heard(
                100 * S, 2, ACK, 1, 1, 0, NOBODY, (Row(0, state, top), Row(1, state, top))
            )
            top = min(TOP, top + 1)
        for end in net.ends:
            end.carry(end.members.wake(100 * S))
        for _ in range(3):
            for end in net.ends:
                for to in {0, 1, 2} - {end.me}:
                    end.say(to, SYNC, 9, NOBODY, end.members.along())
            net.pump()
    assert [end.members.count() for end in net.ends] == [3, 3, 3]
    told = [
        encode(Message(PING, 0, 1, 1, 1, end.members.incarnation, 0, NOBODY, end.members.along()), KEY)
        for end in net.ends
    ]
    assert all(told)


def test_an_incarnation_after_the_last_is_newer_than_it():
    end = Net(2).ends[0].members
    end.members[1].incarnation, end.members[1].state = TOP, DEAD
    assert end.heard(100 * S, 1, PING, 5, 1, 0, NOBODY, ())[0] == ("changed", 1, ALIVE)
    assert end.heard(100 * S, 1, PING, 5, TOP, 0, NOBODY, (Row(1, DEAD, TOP),))[0][0] == "send"
    assert end.members[1].state == ALIVE and end.members[1].incarnation == 1


def test_a_life_whose_sequence_is_at_its_end_goes_on_as_another_life():
    net = Net()
    net.ends[0].start()
    net.pump()
    one, other = net.ends
    old, one.sequence = one.life, TOP - 1
    for nonce in range(1, 6):
        one.say(1, PING, nonce, NOBODY, ())
    net.pump()
    assert one.life != old and other.lives[0].life == one.life and other.clashes == 0
    assert one.sequence < 100 and other.lives[0].window.top == one.sequence


# ---- lives, replays and clashes


class Net:
    """Two or more memberships joined by lists; time stands still."""

    def __init__(self, count=2, keys=None):
        self.sent = []
        self.ends = [self.make(i, count, (keys or {}).get(i, [KEY])) for i in range(count)]

    def make(self, i, count, keys):
        clock = type("Clock", (), {"now": staticmethod(lambda: 100 * S)})()
        timers = type(
            "Timers",
            (),
            {"after": staticmethod(lambda span, call: type("T", (), {"cancel": staticmethod(lambda: None)}))},
        )()
        said = []
        log = type(
            "Log",
            (),
            {
                level: staticmethod(lambda event, **facts: said.append(event))
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
        end.said = said
        return end

    def pump(self):
        passed = []
        while self.sent:
            to, data = self.sent.pop(0)
            passed.append((to, data))
            self.ends[to].heard(data)
        return passed


def test_a_life_counts_once_it_has_answered_and_replays_of_it_do_not():
    net = Net()
    net.ends[0].start()
    first = net.pump()
    assert all(end.members.count() == 2 for end in net.ends)
    for to, data in first:
        net.ends[to].heard(data)  # those that came before the life was known count now, once
    for to, data in first:
        before = net.ends[to].replayed
        net.ends[to].heard(data)
        assert net.ends[to].replayed == before + 1
    # the other starts anew: what its old life said is not taken any more
    net.pump()
    net.ends[1] = net.make(1, 2, [KEY])
    net.ends[1].start()
    net.pump()
    known = net.ends[0].lives[1].life
    assert known == net.ends[1].life
    for to, data in first:
        if to == 0:
            net.ends[0].heard(data)
    net.sent.clear()
    assert net.ends[0].lives[1].life == known


def test_forged_and_strange_datagrams_change_nothing():
    net = Net(keys={0: [KEY], 1: [OTHER]})
    net.ends[1].start()
    net.pump()
    assert net.ends[0].members.count() == 1 and net.ends[0].refused == 1
    assert net.ends[0].heard(b"something of the module's") is False


def test_keys_are_changed_in_three_steps():
    for keys in (
        {0: [KEY], 1: [KEY, OTHER]},
        {0: [KEY, OTHER], 1: [OTHER, KEY]},
        {0: [OTHER], 1: [OTHER, KEY]},
    ):
        net = Net(keys=keys)
        net.ends[0].start()
        net.ends[1].start()
        net.pump()
        assert [end.members.count() for end in net.ends] == [2, 2]


def test_two_fronts_with_one_index_are_told():
    net = Net()
    twin = net.make(0, 2, [KEY])
    net.ends[0].heard(encode(Message(PING, 0, twin.life, 1, 5, 1, 0, NOBODY, ()), KEY))
    assert net.ends[0].said == ["two fronts have one index"] and net.ends[0].clashes == 1


@looped
async def test_fronts_find_each_other_over_sockets_and_know_who_left(tmp_path):
    (tmp_path / "keys").touch(mode=0o600)
    (tmp_path / "keys").write_text(KEY.hex() + "\n")
    edit = {"old": "tokens {", "new": f'members {{ key_file: "{tmp_path}/keys" }}\ntokens {{'}
    async with deployment(tmp_path, nodes=3, fronts=2, **edit) as place:
        one = place.fronts[0].peers.members
        # the drill's relay of datagrams is not there: each sends straight to the other's socket
        other = (await place.front(index=1, **edit)).peers.members
        where = {0: place.plan["relay"]["fronts"]["0"], 1: place.plan["relay"]["fronts"]["1"]}
        for front in place.fronts:
            front.peers.addresses = {i: tuple(a) for i, a in where.items() if i != front.file.identity.index}
            front.peers.index_by_address = {address: i for i, address in front.peers.addresses.items()}
        one.start()
        await until(lambda: one.members.count() == other.members.count() == 2)
        assert place.fronts[0].viewers.state()["members"]["peers"] == {1: "alive"}
        leaving = place.fronts[1]
        await leaving.stop()
        place.fronts.remove(leaving)
        await until(lambda: one.members.members[1].state == LEFT)
        await asyncio.sleep(0)
