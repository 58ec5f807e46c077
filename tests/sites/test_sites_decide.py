"""Detection of lost sites: given sequences of evidence, then evidence in any order."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from curlewhall.sites.decide import (
    ADMISSION_STEP,
    MAX_HOLD,
    MIN_HOLD,
    PROBE_INTERVAL,
    REPORT_LIFETIME,
    SILENCE_TIMEOUT,
    SiteDetector,
)
from curlewhall.sites.state import DOUBTED, LOST, RETURNING, WHOLE

TICKS_PER_SECOND = 10_000
SITE_NODES = 6


class Rig:
    """A detector with three sites of six nodes, a virtual clock, and the actions it returned."""

    def __init__(self, peers=(1, 2, 3), seed=7):
        self.now = 100 * TICKS_PER_SECOND
        self.detector = SiteDetector(self.now, 0, peers, seed, 5 * TICKS_PER_SECOND)
        self.actions = []
        self.module_hidden = set()  # nodes that the module was told are gone
        self.names = {site: [f"{site}{i}" for i in range(SITE_NODES)] for site in "abc"}
        self.list()
        self.call("start")
        self.speak()

    def call(self, method, *arguments):
        actions = list(getattr(self.detector, method)(self.now, *arguments))
        self.actions += actions
        for name, *arguments in actions:
            if name == "hide":
                self.module_hidden |= set(arguments[0])
            elif name == "show":
                self.module_hidden -= set(arguments[0])
        return actions

    def list(self, without=(), states=(), starts=()):
        rows = [
            (name, site, dict(states).get(name, "serving"), dict(starts).get(name, 0))
            for site, names in self.names.items()
            for name in names
            if name not in without
        ]
        return self.call("nodes_listed", rows, True)

    def evidence(self, how, site="a", nodes=None, **more):
        for name in self.names[site] if nodes is None else nodes:
            self.call("record_evidence", name, how, *more.values())

    def speak(self, sites="abc"):
        for site in sites:
            self.evidence("spoke", site)

    def wait(self, seconds, speaking="abc"):
        """Let time pass; nodes of the sites in `speaking` report once a second and answer probes."""
        for _ in range(round(2 * seconds)):
            self.now += TICKS_PER_SECOND // 2
            self.speak(speaking)
            for name, *arguments in self.call("wake"):
                if name == "probe" and arguments[0][0] in speaking:
                    self.call("record_evidence", arguments[0], "answered")
                elif name == "probe":
                    self.call("record_evidence", arguments[0], "silent")

    def kill(self, site="a"):
        self.evidence("reset", site)
        self.now += TICKS_PER_SECOND // 20
        self.evidence("refused", site)

    def arguments_of(self, action):
        return [arguments for name, *arguments in self.actions if name == action]

    def state(self, site="a"):
        return self.detector.sites[site].state

    @property
    def hidden(self):
        return self.detector.hidden_nodes()


@pytest.fixture
def rig():
    return Rig()


def test_site_with_killed_nodes_is_lost_at_the_first_refused_connections(rig):
    rig.kill()
    assert rig.state() == LOST and rig.hidden == set(rig.names["a"])
    assert [arguments[:2] for arguments in rig.arguments_of("state")] == [["a", DOUBTED], ["a", LOST]]
    assert rig.arguments_of("report")  # other fronts are told at once


def test_silent_site_is_lost_within_six_seconds_with_a_bounded_number_of_probes(rig):
    rig.wait(6, speaking="bc")
    assert rig.state() == LOST
    probed = [arguments[0] for arguments in rig.arguments_of("probe")]
    assert len(probed) <= 4 * 12 and {name[0] for name in probed} == {"a"}


@pytest.mark.parametrize(
    ("scenario", "play"),
    [
        ("one rack is dead", lambda r: r.evidence("refused", nodes=["a0", "a2", "a4"])),
        (
            "half of the site is being replaced",
            lambda r: [
                r.list(states=[(n, "draining") for n in r.names["a"][:3]]),
                r.evidence("reset", nodes=r.names["a"][:3]),
                r.evidence("refused", nodes=r.names["a"][:3]),
            ],
        ),
        ("set-ups there take too long", lambda r: [r.evidence("late") for _ in range(5)]),
        ("connections broke, but nodes answer", lambda r: [r.evidence("reset"), r.evidence("answered")]),
        ("the list loses half of the site", lambda r: r.list(without=r.names["a"][:3])),
        ("one front reports it dead", lambda r: r.call("handle_peer_report", 1, [("a", True, 0)])),
        (
            "three fronts report it dead, but this one reaches it",
            lambda r: [r.call("handle_peer_report", peer, [("a", True, 0)]) for peer in (1, 2, 3)],
        ),
    ],
)
def test_site_is_not_lost(rig, scenario, play):
    for _ in range(4):
        play(rig)
        rig.wait(1)
    assert rig.state() in (WHOLE, DOUBTED) and not rig.hidden, scenario


def test_isolated_front_neither_loses_nor_reports_the_last_site(rig):
    for site in "abc":
        rig.kill(site)
    rig.wait(20, speaking="")
    lost = [s for s in "abc" if rig.state(s) == LOST]
    # Sites lost while another one answered stay lost; the last one has no other site to compare with.
    assert rig.state("c") == DOUBTED and "c" not in lost
    assert not [row for _, rows in rig.arguments_of("report") for row in rows if row[0] == "c" and row[1]]


def test_silent_site_is_a_fleet_wide_loss_only_while_other_fronts_confirm_it(rig):
    """Silence may mean that only this front is cut off: its plays go elsewhere, but none is refused."""
    rig.wait(7, speaking="bc")
    assert rig.state() == LOST and not rig.detector.sites["a"].fleet_wide
    for peer in (1, 2):
        rig.call("handle_peer_report", peer, [("a", False, 0)])
    assert not rig.detector.sites["a"].fleet_wide
    for peer in (1, 2, 3):
        rig.call("handle_peer_report", peer, [("a", True, 0)])
    assert rig.detector.sites["a"].fleet_wide
    rig.now += REPORT_LIFETIME + 1  # their reports have expired
    rig.wait(0.5, speaking="bc")
    assert not rig.detector.sites["a"].fleet_wide


def test_repeated_reports_of_one_front_are_one_witness(rig):
    rig.wait(7, speaking="bc")
    for _ in range(50):
        rig.call("handle_peer_report", 1, [("a", True, 0)])
    assert not rig.detector.sites["a"].fleet_wide


def test_confirmation_by_other_fronts_needs_fewer_failed_nodes():
    alone, confirmed = Rig(), Rig()
    for rig in (alone, confirmed):
        rig.evidence("refused", nodes=["a0", "a1", "a2"])
        rig.now += SILENCE_TIMEOUT + 1
        rig.speak("bc")
    for peer in (1, 2):
        confirmed.call("handle_peer_report", peer, [("a", True, 0)])
    alone.call("record_evidence", "a0", "refused")
    confirmed.call("record_evidence", "a0", "refused")
    assert (alone.state(), confirmed.state()) == (DOUBTED, LOST)


@pytest.mark.parametrize("age", [-1, REPORT_LIFETIME, 10 * REPORT_LIFETIME])
def test_report_with_an_invalid_age_or_of_an_unknown_front_is_ignored(rig, age):
    rig.call("handle_peer_report", 1, [("a", True, age)])
    rig.call("handle_peer_report", 99, [("a", True, 0)])  # no such front
    assert not rig.detector.sites["a"].peer_reports


def test_front_contradicts_a_report_that_a_site_it_reaches_is_dead(rig):
    rig.call("handle_peer_report", 1, [("a", True, 0)])
    rig.wait(1)
    assert [row[:2] for _, rows in rig.arguments_of("report") for row in rows] and not [
        row for _, rows in rig.arguments_of("report") for row in rows if row[1]
    ]


def restart(rig, site="a"):
    """The list names new processes on all nodes, and they answer."""
    rig.list(starts=[(name, 5) for name in rig.names[site]])
    rig.evidence("answered", site)


def test_returning_site_is_readmitted_in_steps_and_whole_once_warm(rig):
    rig.kill()
    restart(rig)
    assert rig.state() == LOST  # no node is readmitted during the hold time
    rig.wait(MIN_HOLD / TICKS_PER_SECOND)
    assert rig.state() == RETURNING and len(rig.hidden) == SITE_NODES - 1
    shown = []
    for _ in range(8):
        shown.append(SITE_NODES - len(rig.hidden))
        rig.wait(ADMISSION_STEP / TICKS_PER_SECOND)
    assert shown == sorted(shown) and shown[-1] == SITE_NODES and len(set(shown)) >= 3
    assert all(rig.detector.cold_since(name) for name in rig.names["a"])
    rig.wait(6)
    assert rig.state() == WHOLE


def test_nodes_that_survived_a_network_cut_are_readmitted_warm(rig):
    rig.wait(7, speaking="bc")
    rig.wait(1, speaking="bc")
    rig.evidence("answered", survived=True)
    rig.wait(1)
    assert rig.state() == WHOLE and not rig.hidden
    assert rig.detector.cold_since("a0") is None


def test_hold_time_doubles_with_each_loss_during_the_return(rig):
    for expected in (MIN_HOLD, 2 * MIN_HOLD, 4 * MIN_HOLD, 8 * MIN_HOLD, MAX_HOLD, MAX_HOLD):
        rig.kill()
        assert rig.state() == LOST and rig.detector.sites["a"].hold_ticks == expected
        restart(rig)
        rig.wait(expected / TICKS_PER_SECOND + 0.5)
        assert rig.state() == RETURNING


def test_node_that_fails_during_the_return_halves_the_admission_limit(rig):
    rig.kill()
    restart(rig)
    rig.wait(MIN_HOLD / TICKS_PER_SECOND + 1)
    shown = [name for name in rig.names["a"] if name not in rig.hidden]
    assert 2 <= len(shown) < SITE_NODES
    before = rig.detector.sites["a"].admission_limit
    rig.evidence("refused", nodes=shown[:1])
    assert (
        rig.state() == RETURNING
        and shown[0] in rig.hidden
        and rig.detector.sites["a"].admission_limit < before
    )


def test_only_the_nodes_that_are_back_are_shown(rig):
    rig.kill()
    back = rig.names["a"][:3]
    rig.list(starts=[(name, 5) for name in back])
    for _ in range(10):
        rig.now += TICKS_PER_SECOND
        rig.speak("bc")
        rig.evidence("answered", nodes=back)
        rig.evidence("refused", nodes=rig.names["a"][3:])
        rig.call("wake")
    assert rig.state() == RETURNING and rig.hidden == set(rig.names["a"][3:])


def test_two_sites_can_be_lost_one_after_the_other(rig):
    rig.kill("a")
    rig.kill("b")
    assert rig.state("a") == rig.state("b") == LOST and rig.state("c") == WHOLE


def test_new_node_at_a_lost_site_is_hidden(rig):
    rig.kill()
    rig.names["a"] += ["a9"]
    assert ("hide", ["a9"]) in rig.list()


def test_site_removed_from_the_list_is_lost_and_returns_when_listed_again(rig):
    rig.list(without=rig.names["a"])
    rig.now += SILENCE_TIMEOUT + 1
    rig.speak("bc")
    rig.call("wake")
    assert rig.state() == LOST
    rig.list()
    rig.evidence("answered")
    rig.wait(2)
    assert rig.state() == RETURNING


def test_fronts_readmit_different_nodes_first():
    first = set()
    for seed in range(12):
        rig = Rig(seed=seed)
        rig.kill()
        restart(rig)
        rig.wait(MIN_HOLD / TICKS_PER_SECOND + 0.5)
        first |= set(rig.names["a"]) - rig.hidden
    assert len(first) >= SITE_NODES - 1


class AnyOrder(RuleBasedStateMachine):
    """Any evidence from nodes, the list and other fronts, in any order."""

    @initialize()
    def begin(self):
        self.rig, self.asked = Rig(), []

    @rule(
        site=st.sampled_from("abc"),
        node=st.integers(0, SITE_NODES - 1),
        how=st.sampled_from(["answered", "spoke", "refused", "reset", "silent", "late"]),
    )
    def evidence(self, site, node, how):
        self.rig.call("record_evidence", f"{site}{node}", how)

    @rule(site=st.sampled_from("abc"), how=st.sampled_from(["answered", "spoke", "refused", "silent"]))
    def evidence_of_all_nodes(self, site, how):
        self.rig.evidence(how, site)

    @rule(
        span=st.sampled_from(
            [
                1,
                TICKS_PER_SECOND // 10,
                TICKS_PER_SECOND // 2,
                TICKS_PER_SECOND,
                3 * TICKS_PER_SECOND,
                9 * TICKS_PER_SECOND,
                70 * TICKS_PER_SECOND,
            ]
        )
    )
    def time_passes(self, span):
        self.rig.now += span
        before = len(self.rig.arguments_of("probe"))
        self.rig.call("wake")
        assert len(self.rig.arguments_of("probe")) - before <= 4 * 3

    @rule(
        peer=st.integers(0, 5),
        site=st.sampled_from("abcd"),
        dead=st.booleans(),
        age=st.integers(-5, 8 * TICKS_PER_SECOND),
    )
    def peer_report(self, peer, site, dead, age):
        self.rig.call("handle_peer_report", peer, [(site, dead, age)])

    @rule(
        gone=st.sets(st.sampled_from([f"{s}{i}" for s in "abc" for i in range(SITE_NODES)])),
        drains=st.sets(st.sampled_from([f"{s}{i}" for s in "abc" for i in range(SITE_NODES)])),
    )
    def listing(self, gone, drains):
        self.rig.list(without=gone, states=[(name, "draining") for name in drains])

    @invariant()
    def invariants_hold(self):
        if not hasattr(self, "rig"):
            return
        rig, detector = self.rig, self.rig.detector
        for name, site in detector.sites.items():
            hidden = {n.name for n in site.nodes.values() if n.hidden}
            assert not hidden or site.state in (LOST, RETURNING), name
            assert site.state != LOST or all(n.hidden or n.draining for n in site.nodes.values())
            assert set(site.nodes) == {n for n, node in detector.nodes.items() if node.site == name}
            assert 0 <= site.hold_ticks <= MAX_HOLD
            if site.fleet_wide and site.state == LOST:
                # Silence observed by this front alone never makes a loss fleet-wide.
                refused = any(n.refused for n in site.nodes.values())
                assert refused or any(r.dead for r in site.peer_reports.values()) or not site.nodes
        assert {name for name in rig.module_hidden if name in detector.nodes} == detector.hidden_nodes()


AnyOrder.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestAnyOrder = AnyOrder.TestCase


EVENTS = [
    (event, fronts) for event in ("refused", "answered", "silent") for fronts in ((0,), (1,), (0, 1))
] + [
    ("report", (0,)),
    ("report", (1,)),
    ("wait", ()),
]


def test_two_fronts_over_all_orders_of_evidence():
    """A model check of two fronts, a site of three nodes and one that stays reachable.

    Tries every order of refusals, answers and silence at either front or both, of reports and of time, up to
    a depth, continuing once from equal states. `play` asserts on the way that after its hold time no site is
    a fleet-wide loss at a front that reaches it.
    """
    seen, frontier = set(), [()]
    for _ in range(5):
        fresh = []
        for path in frontier:
            for event in EVENTS:
                if (key := play((*path, event))) not in seen:
                    seen.add(key)
                    fresh.append((*path, event))
        frontier = fresh
    assert len(seen) > 150, len(seen)
    assert {state for key in seen for state in key[:2]} == {
        (state, fleet_wide)
        for state, fleet_wide_values in (
            (WHOLE, (False,)),
            (DOUBTED, (False,)),
            (LOST, (True, False)),
            (RETURNING, (True, False)),
        )
        for fleet_wide in fleet_wide_values
    }


def play(path):
    """The state of two fronts after a sequence of events, as far as it affects later events."""
    fronts = [
        SiteDetector(100 * TICKS_PER_SECOND, index, [1 - index], index, TICKS_PER_SECOND) for index in (0, 1)
    ]
    now, names = 100 * TICKS_PER_SECOND, {"a": ["a0", "a1", "a2"], "b": ["b0", "b1", "b2"]}
    for front in fronts:
        front.nodes_listed(now, [(name, site, "serving", 0) for site in names for name in names[site]], True)
        for name in [*names["a"], *names["b"]]:
            front.record_evidence(now, name, "spoke")
    for event, involved in path:
        now += PROBE_INTERVAL // 2
        for index in involved if event != "report" else ():
            for name in names["a"]:
                fronts[index].record_evidence(now, name, event)
        if event == "report":
            for action, *arguments in fronts[involved[0]].report_to_peers(now):
                if action == "report":
                    fronts[1 - involved[0]].handle_peer_report(now, involved[0], arguments[1])
        if event == "wait":
            now += SILENCE_TIMEOUT
            for front in fronts:
                for name in names["b"]:
                    front.record_evidence(now, name, "spoke")
                front.wake(now)
        for front in fronts:
            site = front.sites["a"]
            assert (
                not (site.fleet_wide and site.state == LOST)
                or now - site.lost_at < site.hold_ticks
                or not any(front.is_reachable(now, node) for node in site.nodes.values())
            )
    return (
        *((f.sites["a"].state, f.sites["a"].fleet_wide) for f in fronts),
        *(
            (
                f.sites["a"].admission_limit,
                f.sites["a"].hold_ticks,
                len(f.sites["a"].peer_reports),
                tuple(sorted((n.failing, n.confirmed_down, n.hidden) for n in f.sites["a"].nodes.values())),
            )
            for f in fronts
        ),
    )
