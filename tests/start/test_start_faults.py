"""Front processes started at one moment, with faults between them and the list service."""

import json
import urllib.error
import urllib.request

import pytest
from loopback import poll
from test_start_fleet import kept_lists, list_states

from curlewhall import records
from curlewhall.drills.demo import state
from curlewhall.drills.fleet import Processes, add_links, make_plan
from curlewhall.rules import judge, rule_limits
from curlewhall.settings import load

FRONTS, NODES = 4, 4


def make_faulty_plan(tmp_path, seed=12):
    plan = make_plan(seed, NODES, FRONTS, 5.0, tmp_path)
    add_links(plan)
    return plan, [front["name"] for front in plan["fronts"]]


def restart_fronts(fleet, names, before_start=lambda: None):
    """Kill all fronts, call `before_start`, and start them all at one moment."""
    for name in names:
        fleet.kill_front(name)
    before_start()
    for name in names:
        fleet.start_front(name)
    for name in names:
        fleet.await_front(name)


def untrusted_nodes_are(plan, count):
    """Whether each front has `count` nodes that may not get plays yet."""
    states = [state(front) for front in plan["fronts"]]
    return all(shown and shown["list"]["unsure"] == count for shown in states)


def request_play(plan, front, title, viewer):
    """The status of one viewer's request."""
    target = plan["fronts"][front]
    url = f"http://{target['address']}:{target['port']}/play/{title}?product=plain&viewer={viewer}&limit_ms=3000"
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(url, timeout=20) as answer:
            return answer.status
    except urllib.error.HTTPError as err:
        return err.code


def all_records(plan):
    return records.read_merged([plan["records"][who] for who in ("fleet", "drill")])


def full_lists_sent(rows, since):
    """How many full lists the service sent after the first record of the kind `since`."""
    begin = min(row["t"] for row in rows if row["what"] == since)
    return sum(row["what"] == "said" and row["how"] == "whole" and row["t"] > begin for row in rows)


@pytest.mark.parametrize(
    ("days", "wrong", "untrusted"),
    [
        (0.0, 0.0, 0),  # fresh and right
        (0.0, 0.5, 2),  # fresh, but another machine answers for half of it
        (400.0, 0.0, 0),  # old: each node is trusted once it has answered
        (400.0, 0.5, 2),
    ],
)
def test_fronts_without_list_service_use_only_nodes_that_answer_under_their_name(
    tmp_path, days, wrong, untrusted
):
    plan, names = make_faulty_plan(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept_lists(tmp_path)) == FRONTS and list_states(plan))
        fleet.fault("list", "down", 1)
        restart_fronts(fleet, names, lambda: [fleet.edit_kept_list(name, days, wrong) for name in names])
        poll(lambda: untrusted_nodes_are(plan, untrusted))
        statuses = [request_play(plan, i % FRONTS, f"clip-{i:02}", f"v{i}") for i in range(8)]
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) == 8 if not wrong else 200 in statuses
        fleet.fault("list", "down", 0)
        poll(lambda: list_states(plan) and untrusted_nodes_are(plan, 0))
        for i in range(8):  # nodes new to a front count as cold for a while
            poll(lambda i=i: request_play(plan, i % FRONTS, f"clip-{i:02}", f"w{i}") == 200)
    rows = all_records(plan)
    assert [row for row in rows if row["what"] == "stray" and row["path"] == "/v1/plays"] == []
    assert judge(rows, rule_limits(load(tmp_path / "front-0.textproto"))) == []


def test_service_restored_from_an_older_list_puts_no_drained_node_back(tmp_path):
    plan, names = make_faulty_plan(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: list_states(plan))
        for node in ("n001", "n002"):
            fleet.fault(node, "drain", 1)
        poll(lambda: {one["version"] for one in list_states(plan) or ()} == {3})
        fleet.fault("list", "older", 2.0)
        poll(lambda: all(one["list"]["behind"] for one in map(state, plan["fronts"])))
        for node in ("n001", "n002"):
            assert {
                n["state"] for front in plan["fronts"] for n in state(front)["nodes"] if n["node"] == node
            } == {"draining"}
        for node in ("n003", "n003", "n000"):  # the service's versions catch up and pass the known one
            fleet.fault(node, "drain", 1)
        poll(lambda: {(one["version"], one["behind"]) for one in list_states(plan) or ()} == {(4, False)})
        # Only now is its list used: n001 and n002 serve again.
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
    """The status of a front's health check; 0 if it can't be reached."""
    url = f"http://{front['address']}:{front['port']}/v1/health"
    try:
        with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(url, timeout=20) as answer:
            return answer.status
    except urllib.error.HTTPError as err:
        return err.code
    except OSError:
        return 0  # not up yet


def test_health_is_200_once_the_front_can_place_plays_or_knows_why_not(tmp_path):
    plan, names = make_faulty_plan(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept_lists(tmp_path)) == FRONTS and list_states(plan))
        assert [health(front) for front in plan["fronts"]] == [200] * FRONTS
        fleet.fault("link:list>*", "stall", 1)  # the service accepts requests and sends nothing
        for name in names[:2]:
            fleet.kill_front(name)
        (tmp_path / f"{names[0]}.list").unlink()
        for name in names[1:]:  # nor can this front ask peers
            fleet.fault(f"link:{names[0]}>{name}", "cut", 1)
        for name in names[:2]:
            fleet.start_front(name)
        poll(lambda: health(plan["fronts"][1]) == 200)  # it uses its kept list
        fleet.await_front(names[1])
        poll(lambda: health(plan["fronts"][0]) == 503)
        assert request_play(plan, 0, "clip-00", "v0") == 503  # declined at once
        fleet.fault("link:list>*", "stall", 0)
        poll(lambda: health(plan["fronts"][0]) == 200)
        fleet.await_front(names[0])
        poll(lambda: request_play(plan, 0, "clip-00", "v1") == 200)


def test_fronts_without_lists_get_one_from_the_first_front_that_has_it(tmp_path):
    """While the service is down no front has a list; afterwards it gives one full list a second."""
    plan, names = make_faulty_plan(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept_lists(tmp_path)) == FRONTS and list_states(plan))
        fleet.fault("list", "down", 1)
        restart_fronts(fleet, names, lambda: [path.unlink() for path in kept_lists(tmp_path)])
        assert request_play(plan, 0, "clip-00", "v0") == 503  # no front has a list
        for name in names[:1]:
            fleet.kill_front(name)
            data = b'{"how":"whole"}'
            (tmp_path / f"{name}.list").write_bytes(data)  # not a valid list: the front starts without one
            fleet.start_front(name)
            fleet.await_front(name)
        assert request_play(plan, 0, "clip-00", "v1") == 503
        fleet.fault("list", "down", 0)
        fleet.fault("list", "capacity", 1.0)
        poll(lambda: all(one["list"]["version"] for one in map(state, plan["fronts"])))
        ages = [one["list"]["age_s"] for one in map(state, plan["fronts"])]
        assert all(0 <= age < 20 for age in ages)
        poll(lambda: list_states(plan))
        assert {request_play(plan, i, "clip-00", f"w{i}") for i in range(FRONTS)} == {200}
    rows = all_records(plan)
    assert 1 <= full_lists_sent(rows, "killed") <= FRONTS


def test_drain_reaches_fronts_without_list_service_through_their_peers(tmp_path):
    """Only one front reaches the service; the others get the list from it and from each other."""
    plan, names = make_faulty_plan(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept_lists(tmp_path)) == FRONTS and list_states(plan))
        for name in names[1:]:
            fleet.fault(f"link:{name}>list", "cut", 1)
            fleet.fault(f"link:list>{name}", "cut", 1)
        fleet.fault(f"link:{names[3]}>{names[0]}", "cut", 1)  # this one gets it through the others
        fleet.fault("n001", "drain", 1)
        poll(lambda: all(one["list"]["version"] == 2 for one in map(state, plan["fronts"])), timeout_s=60)
        node_states = [
            {n["state"] for n in state(front)["nodes"] if n["node"] == "n001"} for front in plan["fronts"]
        ]
        assert node_states == [{"draining"}] * FRONTS
        assert not state(plan["fronts"][3])["list"]["reached"]
        for name in names[1:]:
            fleet.fault(f"link:{name}>list", "cut", 0)
            fleet.fault(f"link:list>{name}", "cut", 0)
        poll(lambda: list_states(plan), timeout_s=40)
    assert full_lists_sent(all_records(plan), "fault") == 0  # the three got what they lacked, or nothing


@pytest.mark.parametrize("authorization", ["", "Bearer nonsense"])
def test_list_request_without_a_valid_token_gets_403(tmp_path, authorization):
    plan, names = make_faulty_plan(tmp_path)
    with Processes(plan):
        poll(lambda: list_states(plan))
        target = plan["fronts"][0]
        request = urllib.request.Request(
            f"http://{target['address']}:{target['port']}/v1/list?have=0",
            headers={"authorization": authorization},
        )
        with pytest.raises(urllib.error.HTTPError, match="403"):
            urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=20)


def test_service_that_leaves_a_request_unanswered_locks_no_front_out(tmp_path):
    plan, names = make_faulty_plan(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept_lists(tmp_path)) == FRONTS and list_states(plan))
        fleet.fault("list", "silent", 1)
        fleet.fault("list", "capacity", 1.0)
        restart_fronts(fleet, names, lambda: [path.unlink() for path in kept_lists(tmp_path)])
        poll(lambda: list_states(plan), timeout_s=40)
    rows = all_records(plan)
    assert sum(row["what"] == "shed" for row in rows) >= 1


def test_fronts_cut_off_from_the_service_use_kept_lists_until_it_returns(tmp_path):
    plan, names = make_faulty_plan(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept_lists(tmp_path)) == FRONTS and list_states(plan))
        fleet.fault(f"link:{names[0]}>list", "cut", 1)
        fleet.fault(f"link:list>{names[1]}", "cut", 1)
        restart_fronts(fleet, names)
        poll(lambda: all(state(front)["list"]["confirmed"] for front in plan["fronts"][2:]))
        assert [state(front)["list"]["confirmed"] for front in plan["fronts"][:2]] == [False, False]
        assert {request_play(plan, i % 2, f"clip-{i % 8:02}", f"v{i}") for i in range(8)} == {200}
        fleet.fault("n001", "drain", 1)
        poll(lambda: all(state(front)["list"]["version"] == 2 for front in plan["fronts"][2:]))
        fleet.fault(f"link:{names[0]}>list", "cut", 0)
        fleet.fault(f"link:list>{names[1]}", "cut", 0)
        poll(lambda: {one["version"] for one in list_states(plan) or ()} == {2})
    assert full_lists_sent(all_records(plan), "killed") == 0  # the two got what they lacked, or nothing


def test_front_paused_during_its_start_is_current_after_it_resumes(tmp_path):
    plan, names = make_faulty_plan(tmp_path)
    with Processes(plan) as fleet:
        poll(lambda: len(kept_lists(tmp_path)) == FRONTS and list_states(plan))
        for name in names:
            fleet.kill_front(name)
        fleet.fault(f"link:list>{names[0]}", "stall", 1)  # requested, not answered yet
        for name in names:
            fleet.start_front(name)
        for name in names:
            fleet.await_front(name)
        fleet.pause_front(names[0])
        fleet.fault("n001", "drain", 1)
        poll(lambda: all(state(front)["list"]["version"] == 2 for front in plan["fronts"][1:]))
        fleet.fault(f"link:list>{names[0]}", "stall", 0)
        fleet.wake_front(names[0])
        poll(lambda: {one["version"] for one in list_states(plan) or ()} == {2})
        assert json.loads(kept_lists(tmp_path)[1].read_bytes())["kept"]["unix_ms"] > 0
