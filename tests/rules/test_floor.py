"""Tests that the judge reports fronts that accept requests and never answer, and that viewers record an end
for each request.
"""

import json
import socket
import subprocess
import sys
import threading

import pytest
from loopback import poll

from curlewhall import records
from curlewhall.drills.fleet import make_plan, settings
from curlewhall.rules import judge, rule_limits
from curlewhall.rules.judge import OUTCOMES, summary
from curlewhall.settings import load


class UnansweringServer:
    """Accepts connections, reads requests and answers none. `closes`: it closes each connection after its
    request.
    """

    def __init__(self, front, closes):
        self.closes = closes
        self.connections = []
        self.sock = socket.create_server((front["address"], front["port"]))
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            connection.recv(65536)
            if self.closes:
                connection.close()
            else:
                self.connections.append(connection)

    def close(self):
        self.sock.close()
        for connection in self.connections:
            connection.close()


@pytest.fixture
def drill_fleet(tmp_path):
    """Plan, folder and silent server of a second of viewers at three fronts: one is silent, one closes
    connections, the third doesn't listen.
    """
    plan = make_plan(5, 4, 3, 1.0, tmp_path)
    plan["crowd"] |= {"after": 0.0, "rate": 30.0, "hang_up": 0.2}
    (tmp_path / "plan.json").write_text(json.dumps(plan))
    (tmp_path / "key").write_bytes(b"k" * 32)
    (tmp_path / "key").chmod(0o600)
    (tmp_path / "front.textproto").write_text(settings(plan, 0))
    servers = [
        UnansweringServer(front, closes)
        for front, closes in zip(plan["fronts"][:2], (False, True), strict=True)
    ]
    yield plan, tmp_path, servers[0]
    for server in servers:
        server.close()


def start_crowd(folder):
    return subprocess.Popen([sys.executable, "-m", "curlewhall.standins.crowd", str(folder / "plan.json")])


def judge_records(plan, folder):
    rows = records.read_merged([plan["records"]["crowd"]])
    return rows, judge(rows, rule_limits(load(folder / "front.textproto"))), summary(rows)


def test_each_unanswered_request_breaks_rule_1_and_has_one_outcome(drill_fleet):
    """The viewers' second ends while most requests are within their time limit; the crowd waits for their
    ends.
    """
    plan, folder, _ = drill_fleet
    assert start_crowd(folder).wait(60) == 0
    rows, violations, found = judge_records(plan, folder)
    asks = [row for row in rows if row["what"] == "ask"]
    by_front = [sum(row["front"] == front["name"] for row in asks) for front in plan["fronts"]]
    assert min(by_front) > 0 and found["plays"] == len(asks) == sum(found[outcome] for outcome in OUTCOMES)
    assert found["answered"] == found["lost_with_front"] == 0
    assert found["not_taken"] == by_front[2]
    assert found["unanswered"] + found["hung_up"] == by_front[0] + by_front[1]
    assert found["unanswered"] > 0 and {violation.rule for violation in violations} == {"1"}
    assert len(violations) == found["unanswered"] and not [
        violation for violation in violations if "no end" in violation.reason
    ]


def test_terminated_viewers_record_an_end_for_each_request(drill_fleet):
    plan, folder, silent = drill_fleet
    process = start_crowd(folder)
    poll(lambda: silent.connections)  # a request is pending, and stays so for seconds
    process.terminate()
    assert process.wait(60) == 0
    _, violations, found = judge_records(plan, folder)
    assert found["plays"] == sum(found[outcome] for outcome in OUTCOMES) > 0 and found["hung_up"] > 0
    assert not [violation for violation in violations if "no end on record" in violation.reason]
