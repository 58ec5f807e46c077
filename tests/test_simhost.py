"""Tests of the simulator adapter on batches of protocol lines, without a simulator."""

import io
import json

import pytest
from conftest import start_settings

from curlewhall.platform_names import milliseconds_to_ticks
from curlewhall.policy import Front
from curlewhall.simhost.host import Host, SimulatorMessageError, format_milliseconds

CONFIG = json.dumps(
    {
        "lanes": [
            {"name": name, "worth": worth, "idempotency": how, "target-ms": 1000.0, "give-up-ms": 3000.0}
            for name, worth, how in (
                ("dear", 2.0, "pure"),
                ("cheap", 1.0, "pure"),
                ("paid", 3.0, "side_effect"),
            )
        ],
        "customers": [],
        "n-instances": 2,
        "self-index": 0,
        "zone": "z",
        "zones": ["z"],
        "kinds": ["box"],
        "report": {"how": "inline"},
        "specifics": {
            "rung-kb": [100.0, 200.0, 400.0, 800.0],
            "level-worth": [0.2, 0.5, 0.8, 1.0],
            "class-scale": [1.0, 1.0, 1.0],
            "floor-by-class": [0, 0, 1],
            "highest-rung": [3, 3, 3],
            "seats": [0, 0, 0],
            "kind-streams": [8],
            "places": 4,
            "shelves": 2,
            "uplink-kb": 4000.0,
            "link-unit-kb": 3000.0,
            "told-late-ms": 1000.0,
            "told-every-ms": 3000.0,
            "switch-cost-s": 0.5,
            "stall": 8.0,
        },
        "permissions": {
            "probes": True,
            "retry-after": True,
            "max-retry-after-ms": 1000.0,
            "max-attempts": 3,
            "peer-messages": False,
        },
        "invariants": {
            "drain-grace-ms": 500.0,
            "fall-ms": 1000.0,
            "overload-factor": 4.0,
            "start-capacity": 0.4,
            "warm-within-ms": 12000.0,
        },
    }
)


class Session:
    """A `Host` that is fed batch after batch."""

    def __init__(self, make_front=Front):
        self.output = io.StringIO()
        self.serial = 0
        self.host = Host(make_front, self.output)

    def send_batch(self, ms, *lines):
        """Send event lines as one batch; returns the reply without its last line, which ends the batch."""
        self.serial += 1
        self.output.seek(0)
        self.output.truncate()
        self.host.run(
            [f"sync moment-ms={ms} serial={self.serial}\n", *(f"{line}\n" for line in lines), "go\n"]
        )
        *reply, last = self.output.getvalue().splitlines()
        assert last == f"done serial={self.serial}"
        return reply


ROWS = [
    f"row node=n{i} failure-domain=z shape=box place={i} availability=SERVING power-hint=1.0"
    for i in range(4)
]
BORN = (
    f"born i=3 rng-seed=7 config={CONFIG}",
    "catalog bank=0 rows-in=4",
    *ROWS,
    "members i=3 gen=1 bank=0 how=stale_copy",
)
SUBMIT = "submit i=3 ticket={0} profile={1} subject=5 title=9 valid-until-ms={2} base=0 copies=4 max-rung=3"


@pytest.fixture
def session():
    session = Session()
    assert session.send_batch(0, *BORN) == []
    return session


def test_settings_are_translated_to_project_names_and_ticks():
    seen = {}
    Session(
        lambda now, seed, found: seen.update(found, seed=seed, now=now) or Front(now, seed, found)
    ).send_batch(12.37, *BORN)
    assert seen["seed"] == 7 and seen["now"] == 123
    for name, value in start_settings().items():
        if name not in ("products", "permissions.peer_messages"):
            assert seen[name] == value, name
    assert [p["time_limit"] for p in seen["products"]] == [30_000] * 3


def test_play_is_translated_from_submit_to_end(session):
    rung, send = session.send_batch(20_000, SUBMIT.format("a", "dear", 23_000))
    assert rung == "set_rung i=3 ticket=a grade=1"
    node = dict(part.split("=") for part in send.split()[1:])["node"]
    assert send == f"send i=3 ticket=a node={node} allow-for-ms=400.0"
    assert session.send_batch(20_020, f"first_byte i=3 ticket=a trial=0 node={node} lag-ms=20.0") == []
    assert (
        session.send_batch(
            21_000,
            f"progress i=3 ticket=a trial=0 node={node} amount=0.1 topic=3",
            f"progress i=3 ticket=a trial=0 node={node} amount=0.1 topic=9",
        )
        == []
    )
    stepped = session.send_batch(22_000, f"progress i=3 ticket=a trial=0 node={node} amount=0.1 topic=4")
    assert stepped == ["set_rung i=3 ticket=a grade=2"]
    assert session.send_batch(23_000, f"progress i=3 ticket=a trial=0 node={node} amount=0.5 topic=1") == [
        "set_rung i=3 ticket=a grade=1"
    ]
    assert (
        session.send_batch(
            24_000,
            f"answer i=3 ticket=a lag-ms=9.5 final=1 trial=0 rc=GOOD node={node} "
            "report=cpu:0.6,x1:nan,new:1",
        )
        == []
    )
    assert not session.host.fronts["3"].plays and session.host.fronts["3"].nodes[node].reported_load == 0.6


@pytest.mark.parametrize(
    ("rc", "product", "verb"),
    [
        ("FULL", "paid", "send"),
        ("NOCONN", "paid", "send"),
        ("NOP", "paid", "send"),
        ("LATE", "paid", "lose"),
        ("RST", "paid", "lose"),
        ("BAD", "paid", "lose"),
        ("CXL", "paid", "lose"),
        ("NEW", "paid", "lose"),
        ("LATE", "cheap", "send"),
        ("NEW", "cheap", "send"),
    ],
)
def test_allocation_outcome_decides_whether_paid_play_is_sent_again(session, rc, product, verb):
    """An outcome taken for another would set up a paid play twice."""
    reply = session.send_batch(20_000, SUBMIT.format("a", product, 23_000))
    node = reply[-1].split("node=")[1].split()[0]
    reply = session.send_batch(20_100, f"answer i=3 ticket=a lag-ms=1 final=0 trial=0 rc={rc} node={node}")
    assert reply[-1].split()[0] == verb


def test_other_events_and_power_off_are_handled(session):
    reply = session.send_batch(
        20_000,
        SUBMIT.format("a", "dear", 23_000),
        "client_gone i=3 ticket=a",
        "message i=3 by=1 octets=aGk=",
        "message i=3 by=1 octets=-",
        "bell i=3 label=77",
        "probe_done i=3 node=n0 lag-ms=1.0 rc=GOOD report=x0:0.4",
        "members i=3 gen=2 how=broken",
        "members i=3 gen=2 how=unheard",
        "later i=3 thing=1",
    )
    assert [line.split()[0] for line in reply] == ["set_rung", "send"]
    assert session.host.fronts["3"].nodes["n0"].reported_load == 0.4
    assert (
        session.send_batch(
            21_000,
            "catalog bank=1 rows-in=1",
            ROWS[0].replace("SERVING", "DELETED").replace("n0", "n1"),
            "members i=3 gen=3 bank=1 how=patch",
            SUBMIT.format("b", "dear", 24_000),
        )[-1].split()[0]
        == "send"
    )
    assert session.host.fronts["3"].nodes["n1"].row.state == "gone"
    assert session.send_batch(22_000, "power_off i=3") == [] and not session.host.fronts
    with pytest.raises(SimulatorMessageError, match="instance 3, which is not running"):
        session.send_batch(23_000, SUBMIT.format("c", "dear", 25_000))


@pytest.mark.parametrize(
    ("answer", "line"),
    [
        (("decline", "p", 10_000), "deny i=1 ticket=p stay-away-ms=1000.0"),
        (("fail", "p"), "lose i=1 ticket=p"),
        (("withdraw", "p", 2), "abandon i=1 ticket=p trial=2"),
        (("move", "p"), "reassign i=1 ticket=p"),
        (("probe", "n"), "ping i=1 node=n"),
        (("tell", None, b"hi"), "write_peer i=1 dst=* octets=aGk="),
        (("tell", 2, b""), "write_peer i=1 dst=2 octets=-"),
        (("wake", 605, 4), "timer i=1 span-ms=60.5 label=4"),
        (("log", "two\nlines"), "record i=1 body-text=two lines"),
        (
            ("dance",),
            "die i=1 body-text=ValueError: the decision module answered 'dance', which is not a verb of the "
            "interface",
        ),
    ],
)
def test_each_answer_becomes_its_line(answer, line):
    scripted = type(
        "Scripted", (), {"__init__": lambda self, *arguments: None, "wake": lambda self, now, label: [answer]}
    )
    session = Session(scripted)
    assert session.send_batch(0, "born i=1 rng-seed=1 config={}", "bell i=1 label=0") == [line]


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["bell i=3 label=1\n"], "outside a batch"),
        (["go\n"], "outside a batch"),
        (["sync moment-ms=1 serial=1\n", "sync moment-ms=2 serial=2\n"], "sync inside a batch"),
        (["sync moment-ms=1 serial=1\n"], "ends inside a batch"),
        (["sync moment-ms=x serial=1\n"], "line 1"),
        (["sync moment-ms=1 serial=1\n", "bell i=3 label=1 nonsense\n"], "not name=value"),
        (
            ["sync moment-ms=1 serial=1\n", "catalog bank=0 rows-in=2\n", ROWS[0] + "\n", "go\n"],
            "2 rows announced, row 2",
        ),
        (["sync moment-ms=1 serial=1\n", "born i=1 rng-seed=7\n"], "'config' is missing"),
        (
            ["sync moment-ms=1 serial=1\n", "born i=1 rng-seed=1 config={}\n", "message i=1 by=0 octets=!\n"],
            "line 3",
        ),
    ],
)
def test_malformed_input_raises_error_with_its_line(lines, message):
    with pytest.raises(SimulatorMessageError, match=message):
        Host(lambda *arguments: None, io.StringIO()).run(lines)


@pytest.mark.parametrize(
    ("text", "value"),
    [("0", 0), ("1.25", 12), ("0.3", 3), ("2999.95", 29_999), ("99999999999.9", 999_999_999_999)],
)
def test_time_limits_never_grow_in_conversion(text, value):
    assert milliseconds_to_ticks(text) == value and float(format_milliseconds(value)) <= float(text)
