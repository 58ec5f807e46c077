"""Several workers under one daemon: each viewer is served by the same one, also after it was restarted."""

import json
import os
import re
import signal
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from loopback import poll

from curlewhall.daemon.control import ask
from curlewhall.daemon.decide import Supervisor, slot_for_request
from curlewhall.drills.fleet import Processes, daemon_folder, make_plan

OPEN = urllib.request.build_opener(urllib.request.ProxyHandler({})).open


@pytest.fixture(params=[False, True], ids=["one socket", "a socket each"])
def front(request, tmp_path):
    plan = make_plan(3, 4, 1, 60, tmp_path) | {
        "daemon": 3,
        "reuse_port": request.param,
        "durability": "strict",
    }
    for title in plan["titles"]:
        title["places"] = 4
    with Processes(plan):
        folder = Path(daemon_folder(plan, 0))
        poll(lambda: all(w["state"] == "serving" for w in ask(folder, "status")["workers"]))
        yield plan["fronts"][0], folder


def play_slot(listener, viewer):
    """Request a play; the slot of the worker that answered, taken from the play id."""
    url = f"http://{listener['address']}:{listener['port']}/play/clip-00?product=plain&top=0&viewer={viewer}"

    def answered():
        try:
            with OPEN(url, timeout=20) as answer:
                return re.match(r"front-0-w(\d)-", answer.headers["curlewhall-play"])[1]
        except urllib.error.HTTPError as err:
            assert err.code == 503  # a worker that has just started has no list yet or paces every node
            return None

    return poll(answered)


def test_viewer_reaches_the_same_worker_after_restart_and_crash(front):
    listener, folder = front
    with ThreadPoolExecutor(8) as pool:
        first = list(pool.map(lambda i: play_slot(listener, f"v{i}"), range(24)))
    assert set(first) == {"0", "1", "2"}
    assert first == [str(slot_for_request(f"/play/x?viewer=v{i}", 3)) for i in range(24)]
    assert ask(folder, "restart")["ok"]
    with ThreadPoolExecutor(8) as pool:
        assert list(pool.map(lambda i: play_slot(listener, f"v{i}"), range(24))) == first
    # a drain requested at one worker reaches all workers, also one that is restarted later
    node, base = "n001", f"http://{listener['address']}:{listener['port']}"

    def drains():
        found = set()
        for _ in range(40):  # any worker may answer; 40 new connections reach all three
            with OPEN(f"{base}/v1/state", timeout=20) as answer:
                state = json.loads(answer.read())
            (row,) = [row for row in state["nodes"] if row["node"] == node]
            found.add((state["front"], row["state"]))
        return found

    OPEN(urllib.request.Request(f"{base}/v1/drain?node={node}", method="POST"), timeout=20).close()
    poll(lambda: drains() == {(f"front-0-w{i}", "draining") for i in range(3)})
    dead = ask(folder, "status")["workers"][1]["pid"]
    viewer = f"v{first.index('1')}"
    os.kill(dead, signal.SIGKILL)
    poll(lambda: ask(folder, "status")["workers"][1]["crashes"])  # connections it had accepted are lost
    assert play_slot(listener, viewer) == "1"  # the connection waits for the restarted worker
    assert ask(folder, "status")["workers"][1]["pid"] != dead


@pytest.mark.parametrize(
    ("target", "slots", "slot"),
    [
        ("/play/t?viewer=a", 1, None),
        ("/play/t", 4, None),
        ("/v1/state?viewer=a", 4, None),
        ("/play/t?viewer=a", 4, 3),
        ("/play/t?product=x&viewer=a&top=1", 4, 3),
        ("/play/t?viewer=%61", 4, 3),
    ],
)
def test_slot_for_request_hashes_the_viewer_of_play_requests(target, slots, slot):
    assert slot_for_request(target, slots) == slot


def test_connection_goes_to_its_slot_or_waits_or_falls_back():
    sup = Supervisor(2)
    sup.start_all(0)
    assert sup.worker_for_connection(0) == -1
    sup.worker_ready(1, 1)
    sup.worker_ready(1, 2)
    assert (sup.worker_for_connection(0), sup.worker_for_connection(1)) == (1, 2)
    sup.worker_exited(2, 1, "signal 9")
    assert sup.worker_for_connection(0) == -1  # its worker is being restarted: wait
    sup.slots[0].down = True
    assert sup.worker_for_connection(0) == 2  # its slot is down after a crash loop: any serving worker
    sup.command_requested(3, "stop")
    assert sup.worker_for_connection(1) == 2  # a stopping worker still answers with a refusal
    sup.worker_exited(4, 2, "code 0")
    assert sup.worker_for_connection(1) == 0
