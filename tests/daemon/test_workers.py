"""Several workers under one daemon: a viewer always meets the same one, also while it is started anew."""

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
from curlewhall.daemon.decide import Supervisor, owner
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
        home = Path(daemon_folder(plan, 0))
        poll(lambda: all(w["state"] == "serving" for w in ask(home, "status")["workers"]))
        yield plan["fronts"][0], home


def play(where, viewer):
    """The worker that answered, told by the play's id."""
    url = f"http://{where['address']}:{where['port']}/play/clip-00?product=plain&top=0&viewer={viewer}"

    def answered():
        try:
            with OPEN(url, timeout=20) as answer:
                return re.match(r"front-0-w(\d)-", answer.headers["curlewhall-play"])[1]
        except urllib.error.HTTPError as err:
            assert err.code == 503  # a worker that has just started: no list yet, or every node is paced
            return None

    return poll(answered)


def test_each_viewer_has_its_worker(front):
    where, home = front
    with ThreadPoolExecutor(8) as pool:
        first = list(pool.map(lambda i: play(where, f"v{i}"), range(24)))
    assert set(first) == {"0", "1", "2"}
    assert first == [str(owner(f"/play/x?viewer=v{i}", 3)) for i in range(24)]
    assert ask(home, "restart")["ok"]
    with ThreadPoolExecutor(8) as pool:
        assert list(pool.map(lambda i: play(where, f"v{i}"), range(24))) == first
    # an operator's word to one worker reaches all, and one that is started anew
    node, base = "n001", f"http://{where['address']}:{where['port']}"

    def drains():
        found = set()
        for _ in range(40):  # any worker answers; forty fresh connections meet all three
            with OPEN(f"{base}/v1/state", timeout=20) as answer:
                state = json.loads(answer.read())
            (row,) = [row for row in state["nodes"] if row["node"] == node]
            found.add((state["front"], row["state"]))
        return found

    OPEN(urllib.request.Request(f"{base}/v1/drain?node={node}", method="POST"), timeout=20).close()
    poll(lambda: drains() == {(f"front-0-w{i}", "draining") for i in range(3)})
    dead = ask(home, "status")["workers"][1]["pid"]
    viewer = f"v{first.index('1')}"
    os.kill(dead, signal.SIGKILL)
    poll(lambda: ask(home, "status")["workers"][1]["crashes"])  # what it had accepted died with it
    assert play(where, viewer) == "1"  # it waits for its worker
    assert ask(home, "status")["workers"][1]["pid"] != dead


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
def test_whose_request_it_is(target, slots, slot):
    assert owner(target, slots) == slot


def test_where_a_connection_goes():
    sup = Supervisor(2)
    sup.begin(0)
    assert sup.place(0) == -1
    sup.ready(1, 1)
    sup.ready(1, 2)
    assert (sup.place(0), sup.place(1)) == (1, 2)
    sup.exited(2, 1, "signal 9")
    assert sup.place(0) == -1  # it is started anew: wait
    sup.slots[0].down = True
    assert sup.place(0) == 2  # a crash loop: whoever serves
    sup.asked(3, "stop")
    assert sup.place(1) == 2  # it answers that it leaves
    sup.exited(4, 2, "code 0")
    assert sup.place(1) == 0
