"""Tests of the judge: cases that break a rule, that just keep it, and that are excused."""

import pytest

from curlewhall import records
from curlewhall.rules import RuleLimits, judge
from curlewhall.rules.judge import OUTCOMES, summary

S = 10_000  # ticks in a second
LIMITS = RuleLimits(
    frozenset({"paid"}),
    {"paid": 1, "plain": 0},
    {"paid": 2, "plain": 0},
    S,
    S,
    4.0,
    0.4,
    5 * S,
    10 * S,
    1,
    0.1,
)


def ask(t, ask="v/0", product="plain", front="a", limit=3 * S, **more):
    return {
        "t": t,
        "at": "viewer",
        "what": "ask",
        "ask": ask,
        "front": front,
        "product": product,
        "limit": limit,
        "importance": 1,
        "target": S,
        "first": True,
        "wanted": 10,
    } | more


def answer(t, status=200, ask="v/0", play="p", product="plain", took=0):
    return {
        "t": t,
        "at": "viewer",
        "what": "answer",
        "ask": ask,
        "status": status,
        "play": play,
        "product": product,
        "took": took,
    }


def no_answer(t, how="late", what="no_answer", ask="v/0"):
    return {"t": t, "at": "viewer", "what": what, "ask": ask, "how": how}


def setup(t, node="n", play="p", number=0, product="plain", front="a", rung=1, title="x"):
    return {
        "t": t,
        "at": f"node:{node}",
        "what": "setup",
        "play": play,
        "number": number,
        "front": front,
        "product": product,
        "rung": rung,
        "title": title,
    }


def allocation_end(t, node="n", play="p", number=0, why="cancelled"):
    return {"t": t, "at": f"node:{node}", "what": "end", "play": play, "number": number, "why": why}


def let_go(t, node="n", play="p", number=0, front="a"):
    return {"t": t, "at": f"node:{node}", "what": "let_go", "play": play, "number": number, "front": front}


def handed(t, node="n", play="p", number=0, front="a"):
    return {"t": t, "at": f"node:{node}", "what": "handed", "play": play, "number": number, "front": front}


def told(t, state, node="n", front="a", how="changes", started=0):
    return {
        "t": t,
        "at": "list",
        "what": "told",
        "front": front,
        "how": how,
        "rows": [[node, state, started]],
    }


def drill_action(t, what, front="a"):
    return {"t": t, "at": "drill", "what": what, "front": front}


def start(t, node="n", cold=True):
    return {"t": t, "at": f"node:{node}", "what": "start", "cold": cold, "streams": 40}


def setup_burst(count, *, begin=100 * S, front="a", span=S):
    return [setup(begin + i * span // count, play=f"{front}{i}", front=front) for i in range(count)]


CASES = {
    "answer in time": ("", [ask(0), answer(3 * S)]),
    "answer read late on a busy machine": ("", [ask(0), answer(3 * S + 2000)]),
    "late answer": ("1", [ask(0), answer(3 * S + 3000)]),
    "two answers": ("1", [ask(0), answer(S), answer(S + 1)]),
    "no answer": ("1", [ask(0), no_answer(4 * S)]),
    "connection broken": ("1", [ask(0), no_answer(S, "broken")]),
    "no front reached": ("", [ask(0), no_answer(S, "unreached")]),
    "viewer left": ("", [ask(0), no_answer(S, what="hung_up")]),
    "front killed": ("", [ask(0), drill_action(S, "killed"), no_answer(S, "broken")]),
    "another front killed": ("1", [ask(0), drill_action(S, "killed", "b"), no_answer(S, "broken")]),
    "front killed long after the limit": ("1", [ask(0), no_answer(4 * S), drill_action(9 * S, "killed")]),
    "no end on record": ("1", [ask(0)]),
    "no end on record, front killed": ("1", [ask(0), drill_action(S, "killed")]),
    "viewer terminated": ("", [ask(0), no_answer(S, "over", "hung_up")]),
    "viewer terminated past the limit": ("1", [ask(0), no_answer(4 * S, "over")]),
    "front paused": ("", [ask(0), drill_action(S, "paused"), no_answer(4 * S), drill_action(9 * S, "woken")]),
    "front paused and never resumed": ("", [ask(0), drill_action(S, "paused"), no_answer(4 * S)]),
    "front paused before the request": (
        "1",
        [drill_action(0, "paused"), drill_action(S, "woken"), ask(2 * S), no_answer(6 * S)],
    ),
    "late answer of a paused front": (
        "",
        [ask(0), drill_action(S, "paused"), drill_action(5 * S, "woken"), answer(5 * S)],
    ),
    "two answers after a pause": (
        "1",
        [ask(0), drill_action(S, "paused"), drill_action(2 * S, "woken"), answer(3 * S), answer(4 * S)],
    ),
    "given up without the node's knowledge, then sent elsewhere": (
        "",
        [setup(0), let_go(S), setup(S + 1, "m", number=1), allocation_end(9 * S)],
    ),
    "given up after the next set-up": (
        "2",
        [setup(0), setup(S, "m", number=1), let_go(3 * S), allocation_end(9 * S)],
    ),
    "given up at another node": (
        "2",
        [setup(0), let_go(S, "o"), setup(S + 1, "m", number=1), allocation_end(9 * S)],
    ),
    "given up before the set-up arrived": (
        "",
        [let_go(S), setup(S + 1, "m", number=1), setup(2 * S), allocation_end(2 * S + 1)],
    ),
    "paid, given up, sent again": (
        "2",
        [setup(0, product="paid"), let_go(S), setup(S + 1, "m", number=1, product="paid")],
    ),
    "paid, given up before the set-up arrived": (
        "2",
        [
            let_go(S),
            setup(S + 1, "m", number=1, product="paid"),
            setup(2 * S, product="paid"),
            allocation_end(2 * S + 1),
        ],
    ),
    "drain told to a paused front": (
        "",
        [drill_action(0, "paused"), told(S, "draining"), drill_action(9 * S, "woken"), setup(9 * S + 9)],
    ),
    "drain told long before the pause": (
        "3",
        [told(0, "draining"), drill_action(S, "paused"), drill_action(9 * S, "woken"), setup(9 * S + 9)],
    ),
    "second allocation after the end of the first": (
        "",
        [setup(0), allocation_end(S), setup(S + 1, "m", number=1)],
    ),
    "end and set-up recorded in the wrong order": (
        "",
        [setup(0), setup(S, "m", number=1), allocation_end(S + 900)],
    ),
    "two pending allocations": ("2", [setup(0), setup(S, "m", number=1), allocation_end(2 * S)]),
    "two pending allocations without an end": ("2", [setup(0), setup(S, "m", number=1)]),
    "two pending allocations within the recorder's lag": (
        "",
        [
            setup(0),
            setup(S, "m", number=1),
            {"t": S, "at": "fleet", "what": "lag", "span": 2000},
            allocation_end(S + 6000),
        ],
    ),
    "two pending allocations beyond the recorder's lag": (
        "2",
        [
            setup(0),
            setup(S, "m", number=1),
            allocation_end(2 * S),
            {"t": S, "at": "fleet", "what": "lag", "span": 2000},
        ],
    ),
    "paid, sent again": (
        "2",
        [setup(0, product="paid"), allocation_end(S), setup(2 * S, "m", number=1, product="paid")],
    ),
    "paid, refused, sent to the next node": ("", [setup(S, "m", number=1, product="paid")]),
    "paid, declined after a set-up": (
        "2",
        [setup(0, product="paid"), ask(0, product="paid"), allocation_end(S), answer(S, 503, product="paid")],
    ),
    "paid, failed after a set-up": (
        "",
        [setup(0, product="paid"), allocation_end(S), ask(0, product="paid"), answer(S, 502, product="paid")],
    ),
    "not paid, declined after a set-up": ("", [setup(0), allocation_end(S), ask(0), answer(S, 503)]),
    "set-up within the drain's grace": ("", [told(0, "draining"), setup(S)]),
    "set-up past the drain's grace": ("3", [told(0, "draining"), setup(2 * S)]),
    "set-up refused by a node that is gone": ("3", [told(0, "gone"), dict(setup(2 * S), what="refused")]),
    "node missing from a whole list": (
        "3",
        [told(0, "serving"), told(S, "serving", "m", how="whole"), setup(3 * S)],
    ),
    "drain told to another front": ("", [told(0, "draining", front="b"), setup(2 * S)]),
    "drain called back": ("", [told(0, "draining"), told(S, "serving"), setup(3 * S)]),
    "new front that was not told of the drain": (
        "",
        [told(0, "draining"), drill_action(S, "killed"), drill_action(S, "started"), setup(3 * S)],
    ),
    "set-up below the floor": ("5", [setup(0, product="paid", rung=0)]),
    "step below the floor": ("5", [dict(setup(0, product="paid"), what="rung", rung=0)]),
    "seats full": ("", [setup(i, play=f"p{i}", product="paid") for i in range(2)]),
    "over the seats": ("5", [setup(i, play=f"p{i}", product="paid") for i in range(3)]),
    "seat freed by an end": (
        "",
        [
            setup(0, play="p0", product="paid"),
            setup(1, play="p1", product="paid"),
            allocation_end(S, play="p0"),
            setup(S + 1, play="p2", product="paid"),
        ],
    ),
    "seats of another front": ("", [setup(i, play=f"p{i}", product="paid", front=f"{i}") for i in range(3)]),
    "set-ups at a cold node that no front knew of": ("", [start(99 * S), *setup_burst(40)]),
    "set-ups at a cold node whose start was told": (
        "4",
        [start(99 * S), told(99 * S, "serving", started=1), *setup_burst(40)],
    ),
    "set-ups at a cold node whose end the fronts saw": (
        "4",
        [{"t": 9, "at": "node:n", "what": "die", "fronts": ["a"]}, start(99 * S), *setup_burst(40)],
    ),
    "set-ups at a cold node by fronts started after it": (
        "4",
        [start(99 * S), drill_action(99 * S, "started"), *setup_burst(40)],
    ),
    "set-ups at a cold node that few of the fronts knew of": (
        "",
        [start(99 * S), told(99 * S, "serving", started=1), *setup_burst(8), *setup_burst(32, front="b")],
    ),
    "set-ups at a warm node": (
        "",
        [start(9 * S, cold=True), told(99 * S, "serving", started=1), *setup_burst(40)],
    ),
    "set-ups at a cold node within its capacity": (
        "",
        [start(99 * S), told(99 * S, "serving", started=1), *setup_burst(16)],
    ),
    "within the budget": (
        "",
        [row for i in range(10) for row in (ask(i, f"v{i}/0"), answer(i + 20, ask=f"v{i}/0"))]
        + [setup(S, number=1, play=q) for q in "ab"],
    ),
    "within a worker's budget": (
        "",
        [
            row
            for i in range(10)
            for row in (ask(i, f"v{i}/0"), answer(i + 20, ask=f"v{i}/0", play=f"a-w1-7f-{i}"))
        ]
        + [setup(S, number=1, play=f"a-w1-7f-{i}", front="a-w1") for i in range(2)],
    ),
    "another worker's requests don't count": (
        "6",
        [
            row
            for i in range(10)
            for row in (ask(i, f"v{i}/0"), answer(i + 20, ask=f"v{i}/0", play=f"a-w0-7f-{i}"))
        ]
        + [setup(S, number=1, play=f"a-w1-7f-{i}", front="a-w1") for i in range(2)],
    ),
    "over the budget": (
        "6",
        [row for i in range(10) for row in (ask(i, f"v{i}/0"), answer(i + 20, ask=f"v{i}/0"))]
        + [setup(S, number=1, play=f"q{i}") for i in range(3)],
    ),
    "further allocations sent apart, delayed by a cut link": (
        "",
        [
            *(handed(i * 11 * S, number=1, play=f"p{i}") for i in range(3)),
            *(setup(40 * S, number=1, play=f"p{i}") for i in range(3)),
        ],
    ),
    "further allocations sent together that never arrived": (
        "6",
        [handed(S, number=1, play=f"p{i}") for i in range(3)],
    ),
    "further allocations in different windows": (
        "",
        [setup(S, number=1, play="a"), setup(12 * S, number=1, play="b")],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_judge_reports_the_expected_rule(name):
    rule, rows = CASES[name]
    violations = judge(sorted(rows, key=lambda row: row["t"]), LIMITS)
    assert {violation.rule for violation in violations} == ({rule} if rule else set())
    assert all(violation.records and violation.reason for violation in violations)


def test_service_is_share_of_importance_answered_within_target():
    rows = [
        ask(0, "a/0", importance=3),
        answer(S, ask="a/0", took=S - 1),
        ask(0, "b/0"),
        answer(2 * S, ask="b/0", took=S + 1),
        ask(0, "c/0"),
        answer(1, 503, ask="c/0"),
        ask(S, "c/1", first=False),
        answer(S + 9, ask="c/1"),
        ask(0, "d/0"),
        no_answer(4 * S, ask="d/0"),
    ]
    found = summary(rows)
    assert (found["service"], found["plays"], found["unanswered"], found["declined"]) == (0.5, 5, 1, 1)


def test_each_request_has_one_outcome():
    rows = [
        ask(0, "a/0"),
        answer(S, ask="a/0"),
        answer(S + 1, ask="a/0"),
        ask(0, "b/0"),
        no_answer(S, what="hung_up", ask="b/0"),
        ask(0, "c/0"),
        no_answer(S, "unreached", ask="c/0"),
        ask(0, "d/0"),
        no_answer(S, "not_sent", ask="d/0"),
        ask(0, "e/0", front="b"),
        drill_action(S, "killed", "b"),
        no_answer(S, "broken", ask="e/0"),
        ask(0, "f/0"),
        no_answer(4 * S, ask="f/0"),
        ask(0, "g/0"),
    ]
    found = summary(rows)
    assert {outcome: found[outcome] for outcome in OUTCOMES} == {
        "answered": 1,
        "unanswered": 2,
        "hung_up": 1,
        "lost_with_front": 1,
        "not_taken": 2,
    }
    assert sum(found[outcome] for outcome in OUTCOMES) == found["plays"] == 7


def test_records_are_read_as_written_without_an_unfinished_last_line(tmp_path):
    path = tmp_path / "r"
    writer = records.Writer(path)
    for i in range(300):
        writer.write("node:n", "setup", number=i)
    writer.close()
    with open(path, "ab") as file:
        file.write(b'{"t":1,"at":"no')
    rows = records.read_merged([path])
    assert [row["number"] for row in rows] == list(range(300))


@pytest.mark.parametrize("line", [b"[]\n", b"{}\n", b"nonsense\n"])
def test_invalid_record_is_reported_with_its_line(tmp_path, line):
    path = tmp_path / "r"
    path.write_bytes(b'{"t":1,"at":"a","what":"b"}\n' + line + b'{"t":1,"at":"a","what":"b"}\n')
    with pytest.raises(records.TruncatedRecordError, match="line 2"):
        list(records.read(path))
