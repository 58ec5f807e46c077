"""The module at the edges of its arithmetic: nothing there, one of each, clocks, silence, growth."""

import pickle

import pytest
from conftest import SECOND, Bench, card, sent, verbs


DAY = 86_400 * SECOND


def day(bench, rounds):
    """Plays of all ends, further allocations, customers' crowds that are declined early, passing nodes."""
    front = bench.front
    for i in range(rounds):
        for how in ("late", "full", "not_sent"):
            play, said = bench.ask(customer="c")
            number = 0
            while found := sent(said):
                said = bench.end(play, how, found[0][2], number)
                number += 1
        bench.ask(places=0, customer="d")  # no holder: declined before any stage counts customers
        front.asked(bench.now, f"q{i}", "cheap", "", f"v{i}", "t", bench.now + SECOND, 0, 4, 3, None, False,
                    False)
        front.left(bench.now, f"q{i}")
        for node in [n for n, told in front.nodes.items() if f"q{i}" in told.plays]:
            bench.end(f"q{i}", "withdrawn", node, 0, True)
        bench.list("changes", (f"n{bench.count}", {}))  # a new machine each time, gone at once
        bench.list("changes", (f"n{bench.count}", {"state": "gone"}))
        front.probed(bench.now, "n0", "ok", 10, {"link_asked": 0.1, "uplink_asked": 0.1})
        bench.wait(40)


@pytest.mark.parametrize("budget", [{}, {"rules.extra_per_request": 0.9, "rules.spare_allocations": 9,
                                         "rules.look_back": 5 * SECOND}])
def test_nothing_grows_without_end(make, budget):
    bench = make(customers=[{"name": name, "allowance_per_s": 2.0} for name in "cd"], **budget)
    sizes = []
    for _ in range(8):
        day(bench, 75)
        sizes.append(len(pickle.dumps(bench.front)))
    # running totals grow to some hundred changes and are then dropped by halves
    assert max(sizes[4:]) < 1.3 * max(sizes[:4]), sizes
