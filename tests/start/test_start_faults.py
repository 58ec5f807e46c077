"""Several fronts as processes, started at one moment, with faults between them and the list service."""

import json
import urllib.error
import urllib.request

import pytest
from loopback import poll
from test_start_fleet import kept, listed

from curlewhall import records
from curlewhall.drills.demo import state
from curlewhall.drills.fleet import Processes, add_links, make_plan
from curlewhall.rules import judge, terms_of
from curlewhall.settings import load

FRONTS, NODES = 4, 4


def begun(tmp_path, seed=12):
    plan = make_plan(seed, NODES, FRONTS, 5.0, tmp_path)
    add_links(plan)
    return plan, [front["name"] for front in plan["fronts"]]


def again(fleet, names, before=lambda: None):
    """All fronts end and begin at one moment; `before` comes between."""
    for name in names:
        fleet.kill_front(name)
    before()
    for name in names:
        fleet.start_front(name)
    for name in names:
        fleet.await_front(name)


def sure(plan, count):
    """Whether each front has `count` nodes that may not get plays yet."""
    found = [state(front) for front in plan["fronts"]]
    return all(one and one["list"]["unsure"] == count for one in found)


def play(plan, front, title, viewer):
    """The status of one viewer's request."""
    where = plan["fronts"][front]
    url = (
        f"http://{where['address']}:{where['port']}/play/{title}?product=plain&viewer={viewer}&limit_ms=3000"
    )
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(url, timeout=20) as answer:
            return answer.status
    except urllib.error.HTTPError as err:
        return err.code


def written(plan):
    return records.merged([plan["records"][who] for who in ("fleet", "drill")])


def wholes(rows, since):
    """Whole lists that the service sent after the first record of that kind."""
    begin = min(row["t"] for row in rows if row["what"] == since)
    return sum(row["what"] == "said" and row["how"] == "whole" and row["t"] > begin for row in rows)


@pytest.mark.parametrize(
    ("days", "wrong", "left"),
    [
        (0.0, 0.0, 0),  # fresh and right
        (0.0, 0.5, 2),  # fresh, and half of it lies where another machine answers
        (400.0, 0.0, 0),  # old: every node is believed once it has answered
        (400.0, 0.5, 2),
    ],
)
def test_fronts_that_start_blind_place_only_where_the_right_machine_answers(tmp_path, days, wrong, left):
    plan, names = begun(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept(tmp_path)) == FRONTS and listed(plan))
        fleet.fault("list", "down", 1)
        again(fleet, names, lambda: [fleet.edit_list(name, days, wrong) for name in names])
        poll(lambda: sure(plan, left))
        mine = [play(plan, i % FRONTS, f"clip-{i:02}", f"v{i}") for i in range(8)]
        assert set(mine) <= {200, 503} and (mine.count(200) == 8 if not wrong else 200 in mine)
        fleet.fault("list", "down", 0)
        poll(lambda: listed(plan) and sure(plan, 0))
        for i in range(8):  # nodes that are new to a front are paced as cold for a while
            poll(lambda i=i: play(plan, i % FRONTS, f"clip-{i:02}", f"w{i}") == 200)
    rows = written(plan)
    assert [row for row in rows if row["what"] == "stray" and row["path"] == "/v1/plays"] == []
    assert judge(rows, terms_of(load(tmp_path / "front-0.textproto"))) == []


def test_a_service_that_comes_back_older_calls_no_drained_node_back(tmp_path):
    plan, names = begun(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: listed(plan))
        for node in ("n001", "n002"):
            fleet.fault(node, "drain", 1)
        poll(lambda: {one["version"] for one in listed(plan) or ()} == {3})
        fleet.fault("list", "older", 2.0)
        poll(lambda: all(one["list"]["behind"] for one in map(state, plan["fronts"])))
        for node in ("n001", "n002"):
            assert {
                n["state"] for front in plan["fronts"] for n in state(front)["nodes"] if n["node"] == node
            } == {"draining"}
        for node in ("n003", "n003", "n000"):  # it goes on from there, and passes what was known
            fleet.fault(node, "drain", 1)
        poll(lambda: {(one["version"], one["behind"]) for one in listed(plan) or ()} == {(4, False)})
        # only now is its word for n001 and n002 taken: they serve again
        poll(
            lambda: {
                n["state"]
                for front in plan["fronts"]
                for n in state(front)["nodes"]
                if n["node"] in ("n001", "n002")
            }
            == {"serving"}
        )


def health(front):
    where = f"http://{front['address']}:{front['port']}/v1/health"
    try:
        with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(where, timeout=20) as answer:
            return answer.status
    except urllib.error.HTTPError as err:
        return err.code
    except OSError:
        return 0  # not up yet


def test_a_front_says_that_it_is_ready_once_it_can_place_or_knows_why_not(tmp_path):
    plan, names = begun(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept(tmp_path)) == FRONTS and listed(plan))
        assert [health(front) for front in plan["fronts"]] == [200] * FRONTS
        fleet.fault("link:list>*", "stall", 1)  # the service is asked, and says nothing
        for name in names[:2]:
            fleet.kill_front(name)
        (tmp_path / f"{names[0]}.list").unlink()
        for name in names[1:]:  # nor does any peer
            fleet.fault(f"link:{names[0]}>{name}", "cut", 1)
        for name in names[:2]:
            fleet.start_front(name)
        poll(lambda: health(plan["fronts"][1]) == 200)  # by its kept list
        fleet.await_front(names[1])
        poll(lambda: health(plan["fronts"][0]) == 503)
        assert play(plan, 0, "clip-00", "v0") == 503  # answered, not held
        fleet.fault("link:list>*", "stall", 0)
        poll(lambda: health(plan["fronts"][0]) == 200)
        fleet.await_front(names[0])
        poll(lambda: play(plan, 0, "clip-00", "v1") == 200)


def test_fronts_without_lists_get_them_from_the_one_that_has_one(tmp_path):
    """The service is away; one front kept its list, three lost theirs and ask each other in a circle."""
    plan, names = begun(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept(tmp_path)) == FRONTS and listed(plan))
        fleet.fault("list", "down", 1)
        again(fleet, names, lambda: [path.unlink() for path in kept(tmp_path)])
        assert play(plan, 0, "clip-00", "v0") == 503  # nobody has any
        for name in names[:1]:
            fleet.kill_front(name)
            data = b'{"how":"whole"}'
            (tmp_path / f"{name}.list").write_bytes(data)  # torn or of nobody: started without, and said
            fleet.start_front(name)
            fleet.await_front(name)
        assert play(plan, 0, "clip-00", "v1") == 503
        fleet.fault("list", "down", 0)
        fleet.fault("list", "capacity", 1.0)
        poll(lambda: all(one["list"]["version"] for one in map(state, plan["fronts"])))
        ages = [one["list"]["age_s"] for one in map(state, plan["fronts"])]
        assert all(0 <= age < 20 for age in ages)
        poll(lambda: listed(plan))
        assert {play(plan, i, "clip-00", f"w{i}") for i in range(FRONTS)} == {200}
    rows = written(plan)
    assert 1 <= wholes(rows, "killed") <= FRONTS


def test_a_list_grows_old_on_its_way_from_front_to_front_and_drains_come_by_it(tmp_path):
    """One front alone reaches the service; the rest hear through it, and through each other."""
    plan, names = begun(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept(tmp_path)) == FRONTS and listed(plan))
        for name in names[1:]:
            fleet.fault(f"link:{name}>list", "cut", 1)
            fleet.fault(f"link:list>{name}", "cut", 1)
        fleet.fault(f"link:{names[3]}>{names[0]}", "cut", 1)  # this one hears through others alone
        fleet.fault("n001", "drain", 1)
        poll(lambda: all(one["list"]["version"] == 2 for one in map(state, plan["fronts"])), timeout_s=60)
        told = [
            {n["state"] for n in state(front)["nodes"] if n["node"] == "n001"} for front in plan["fronts"]
        ]
        assert told == [{"draining"}] * FRONTS
        assert not state(plan["fronts"][3])["list"]["reached"]
        for name in names[1:]:
            fleet.fault(f"link:{name}>list", "cut", 0)
            fleet.fault(f"link:list>{name}", "cut", 0)
        poll(lambda: listed(plan), timeout_s=40)
    assert wholes(written(plan), "fault") == 0  # the three were sent what they lacked, or nothing


@pytest.mark.parametrize("proof", ["", "Bearer nonsense"])
def test_lists_are_for_fronts_of_the_fleet(tmp_path, proof):
    plan, names = begun(tmp_path)
    with Processes(plan):
        poll(lambda: listed(plan))
        where = plan["fronts"][0]
        asked = urllib.request.Request(
            f"http://{where['address']}:{where['port']}/v1/list?have=0", headers={"authorization": proof}
        )
        with pytest.raises(urllib.error.HTTPError, match="403"):
            urllib.request.build_opener(urllib.request.ProxyHandler({})).open(asked, timeout=20)


def test_a_service_that_takes_requests_and_never_answers_locks_nobody_out(tmp_path):
    plan, names = begun(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept(tmp_path)) == FRONTS and listed(plan))
        fleet.fault("list", "silent", 1)
        fleet.fault("list", "capacity", 1.0)
        again(fleet, names, lambda: [path.unlink() for path in kept(tmp_path)])
        poll(lambda: listed(plan), timeout_s=40)
    rows = written(plan)
    assert sum(row["what"] == "shed" for row in rows) >= 1


def test_fronts_cut_off_from_the_service_go_by_what_they_kept_and_join_again(tmp_path):
    plan, names = begun(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept(tmp_path)) == FRONTS and listed(plan))
        fleet.fault(f"link:{names[0]}>list", "cut", 1)
        fleet.fault(f"link:list>{names[1]}", "cut", 1)
        again(fleet, names)
        poll(lambda: all(state(front)["list"]["confirmed"] for front in plan["fronts"][2:]))
        assert [state(front)["list"]["confirmed"] for front in plan["fronts"][:2]] == [False, False]
        assert {play(plan, i % 2, f"clip-{i % 8:02}", f"v{i}") for i in range(8)} == {200}
        fleet.fault("n001", "drain", 1)
        poll(lambda: all(state(front)["list"]["version"] == 2 for front in plan["fronts"][2:]))
        fleet.fault(f"link:{names[0]}>list", "cut", 0)
        fleet.fault(f"link:list>{names[1]}", "cut", 0)
        poll(lambda: {one["version"] for one in listed(plan) or ()} == {2})
    assert wholes(written(plan), "killed") == 0  # the two were sent what they lacked, or nothing


def test_a_front_that_stands_still_in_the_middle_of_its_start_is_current_once_it_wakes(tmp_path):
    plan, names = begun(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept(tmp_path)) == FRONTS and listed(plan))
        for name in names:
            fleet.kill_front(name)
        fleet.fault(f"link:list>{names[0]}", "stall", 1)  # asked, and not answered yet
        for name in names:
            fleet.start_front(name)
        for name in names:
            fleet.await_front(name)
        fleet.pause_front(names[0])
        fleet.fault("n001", "drain", 1)
        poll(lambda: all(state(front)["list"]["version"] == 2 for front in plan["fronts"][1:]))
        fleet.fault(f"link:list>{names[0]}", "stall", 0)
        fleet.wake_front(names[0])
        poll(lambda: {one["version"] for one in listed(plan) or ()} == {2})
        assert json.loads(kept(tmp_path)[1].read_bytes())["kept"]["unix_ms"] > 0
