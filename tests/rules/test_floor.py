"""Fronts that drop requests on the floor, and viewers of a process of their own: the judge catches them."""

import json
import socket
import subprocess
import sys
import threading

import pytest
from loopback import poll

from curlewhall import records
from curlewhall.drills.fleet import make_plan, settings
from curlewhall.rules import judge, terms_of
from curlewhall.rules.judge import FATES, summary
from curlewhall.settings import load


class Floor:
    """Accepts, reads, and answers nobody; `closes`: it ends each connection after its request."""

    def __init__(self, front, closes):
        self.closes, self.held = closes, []
        self.sock = socket.create_server((front["address"], front["port"]))
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            try:
                taken, _ = self.sock.accept()
            except OSError:
                return
            taken.recv(65536)
            if self.closes:
                taken.close()
            else:
                self.held.append(taken)

    def close(self):
        self.sock.close()
        for taken in self.held:
            taken.close()


@pytest.fixture
def day(tmp_path):
    """A second of viewers at three fronts: one is silent, one closes, nobody listens for the third."""
    plan = make_plan(5, 4, 3, 1.0, tmp_path)
    plan["crowd"] |= {"after": 0.0, "rate": 30.0, "hang_up": 0.2}
    (tmp_path / "plan.json").write_text(json.dumps(plan))
    (tmp_path / "key").write_bytes(b"k" * 32)
    (tmp_path / "key").chmod(0o600)
    (tmp_path / "front.textproto").write_text(settings(plan, 0))
    floors = [Floor(front, closes) for front, closes in zip(plan["fronts"][:2], (False, True), strict=True)]
    yield plan, tmp_path, floors[0]
    for floor in floors:
        floor.close()


def start(folder):
    return subprocess.Popen([sys.executable, "-m", "curlewhall.standins.crowd", str(folder / "plan.json")])


def judged(plan, folder):
    rows = records.read_merged([plan["records"]["crowd"]])
    return rows, judge(rows, terms_of(load(folder / "front.textproto"))), summary(rows)


def test_what_is_dropped_on_the_floor_is_a_broken_rule_and_in_a_bin(day):
    """The day ends while most are still in time: they are waited for."""
    plan, folder, _ = day
    assert start(folder).wait(60) == 0
    rows, broken, found = judged(plan, folder)
    asks = [row for row in rows if row["what"] == "ask"]
    by_front = [sum(row["front"] == front["name"] for row in asks) for front in plan["fronts"]]
    assert min(by_front) > 0 and found["plays"] == len(asks) == sum(found[fate] for fate in FATES)
    assert found["answered"] == found["lost_with_front"] == 0
    assert found["not_taken"] == by_front[2]
    assert found["unanswered"] + found["hung_up"] == by_front[0] + by_front[1]
    assert found["unanswered"] > 0 and {row.rule for row in broken} == {"1"}
    assert len(broken) == found["unanswered"] and not [row for row in broken if "no end" in row.why]


def test_viewers_told_to_end_leave_no_request_without_an_end(day):
    plan, folder, silent = day
    process = start(folder)
    poll(lambda: silent.held)  # a request is out, and will be for seconds
    process.terminate()
    assert process.wait(60) == 0
    _, broken, found = judged(plan, folder)
    assert found["plays"] == sum(found[fate] for fate in FATES) > 0 and found["hung_up"] > 0
    assert not [row for row in broken if "no end on record" in row.why]
