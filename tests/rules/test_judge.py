"""The judge, a table a rule: what is broken, what just holds, and what is excused."""

import pytest

from curlewhall import records
from curlewhall.rules import Terms, judge
from curlewhall.rules.judge import FATES, summary

S = 10_000
TERMS = Terms(
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


def none(t, how="late", what="no_answer", ask="v/0"):
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


def end(t, node="n", play="p", number=0, why="cancelled"):
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


def drill(t, what, front="a"):
    return {"t": t, "at": "drill", "what": what, "front": front}


def start(t, node="n", cold=True):
    return {"t": t, "at": f"node:{node}", "what": "start", "cold": cold, "streams": 40}


def rushed(count, *, begin=100 * S, front="a", span=S):
    return [setup(begin + i * span // count, play=f"{front}{i}", front=front) for i in range(count)]


DAY = {
    "in time": ("", [ask(0), answer(3 * S)]),
    "a machine reads late": ("", [ask(0), answer(3 * S + 2000)]),
    "late": ("1", [ask(0), answer(3 * S + 3000)]),
    "twice": ("1", [ask(0), answer(S), answer(S + 1)]),
    "never": ("1", [ask(0), none(4 * S)]),
    "broken off": ("1", [ask(0), none(S, "broken")]),
    "never taken": ("", [ask(0), none(S, "unreached")]),
    "the viewer left": ("", [ask(0), none(S, what="hung_up")]),
    "its front was killed": ("", [ask(0), drill(S, "killed"), none(S, "broken")]),
    "another front was killed": ("1", [ask(0), drill(S, "killed", "b"), none(S, "broken")]),
    "killed long after": ("1", [ask(0), none(4 * S), drill(9 * S, "killed")]),
    "no end on record": ("1", [ask(0)]),
    "no end on record, its front killed": ("1", [ask(0), drill(S, "killed")]),
    "the viewer was told to end": ("", [ask(0), none(S, "over", "hung_up")]),
    "told to end past its limit": ("1", [ask(0), none(4 * S, "over")]),
    "its front stood still": ("", [ask(0), drill(S, "paused"), none(4 * S), drill(9 * S, "woken")]),
    "its front never woke": ("", [ask(0), drill(S, "paused"), none(4 * S)]),
    "its front stood still before": ("1", [drill(0, "paused"), drill(S, "woken"), ask(2 * S), none(6 * S)]),
    "late by a pause": ("", [ask(0), drill(S, "paused"), drill(5 * S, "woken"), answer(5 * S)]),
    "twice after a pause": (
        "1",
        [ask(0), drill(S, "paused"), drill(2 * S, "woken"), answer(3 * S), answer(4 * S)],
    ),
    "let go, its node not told": ("", [setup(0), let_go(S), setup(S + 1, "m", number=1), end(9 * S)]),
    "let go after the next": ("2", [setup(0), setup(S, "m", number=1), let_go(3 * S), end(9 * S)]),
    "let go elsewhere": ("2", [setup(0), let_go(S, "o"), setup(S + 1, "m", number=1), end(9 * S)]),
    "let go before it came": ("", [let_go(S), setup(S + 1, "m", number=1), setup(2 * S), end(2 * S + 1)]),
    "paid, let go, sent again": (
        "2",
        [setup(0, product="paid"), let_go(S), setup(S + 1, "m", number=1, product="paid")],
    ),
    "paid, let go before it came": (
        "2",
        [
            let_go(S),
            setup(S + 1, "m", number=1, product="paid"),
            setup(2 * S, product="paid"),
            end(2 * S + 1),
        ],
    ),
    "told while it stood still": (
        "",
        [drill(0, "paused"), told(S, "draining"), drill(9 * S, "woken"), setup(9 * S + 9)],
    ),
    "told long before it stood still": (
        "3",
        [told(0, "draining"), drill(S, "paused"), drill(9 * S, "woken"), setup(9 * S + 9)],
    ),
    "one after the other": ("", [setup(0), end(S), setup(S + 1, "m", number=1)]),
    "written the wrong way round": ("", [setup(0), setup(S, "m", number=1), end(S + 900)]),
    "two out": ("2", [setup(0), setup(S, "m", number=1), end(2 * S)]),
    "two out and no end": ("2", [setup(0), setup(S, "m", number=1)]),
    "two out, read late": (
        "",
        [
            setup(0),
            setup(S, "m", number=1),
            {"t": S, "at": "fleet", "what": "lag", "span": 2000},
            end(S + 6000),
        ],
    ),
    "two out for long, read late": (
        "2",
        [setup(0), setup(S, "m", number=1), end(2 * S), {"t": S, "at": "fleet", "what": "lag", "span": 2000}],
    ),
    "paid and sent again": (
        "2",
        [setup(0, product="paid"), end(S), setup(2 * S, "m", number=1, product="paid")],
    ),
    "paid, refused, sent on": ("", [setup(S, "m", number=1, product="paid")]),
    "paid and declined": (
        "2",
        [setup(0, product="paid"), ask(0, product="paid"), end(S), answer(S, 503, product="paid")],
    ),
    "paid and failed": (
        "",
        [setup(0, product="paid"), end(S), ask(0, product="paid"), answer(S, 502, product="paid")],
    ),
    "harmless and declined": ("", [setup(0), end(S), ask(0), answer(S, 503)]),
    "within the grace": ("", [told(0, "draining"), setup(S)]),
    "past the grace": ("3", [told(0, "draining"), setup(2 * S)]),
    "gone and refused there": ("3", [told(0, "gone"), dict(setup(2 * S), what="refused")]),
    "missing from a whole list": (
        "3",
        [told(0, "serving"), told(S, "serving", "m", how="whole"), setup(3 * S)],
    ),
    "another front was told": ("", [told(0, "draining", front="b"), setup(2 * S)]),
    "told serving again": ("", [told(0, "draining"), told(S, "serving"), setup(3 * S)]),
    "a new front was not told": (
        "",
        [told(0, "draining"), drill(S, "killed"), drill(S, "started"), setup(3 * S)],
    ),
    "under the floor": ("5", [setup(0, product="paid", rung=0)]),
    "stepped under the floor": ("5", [dict(setup(0, product="paid"), what="rung", rung=0)]),
    "seats full": ("", [setup(i, play=f"p{i}", product="paid") for i in range(2)]),
    "over the seats": ("5", [setup(i, play=f"p{i}", product="paid") for i in range(3)]),
    "a seat given back": (
        "",
        [
            setup(0, play="p0", product="paid"),
            setup(1, play="p1", product="paid"),
            end(S, play="p0"),
            setup(S + 1, play="p2", product="paid"),
        ],
    ),
    "seats of another front": ("", [setup(i, play=f"p{i}", product="paid", front=f"{i}") for i in range(3)]),
    "a crowd where nobody knew": ("", [start(99 * S), *rushed(40)]),
    "a crowd told of the start": ("4", [start(99 * S), told(99 * S, "serving", started=1), *rushed(40)]),
    "a crowd that saw it die": (
        "4",
        [{"t": 9, "at": "node:n", "what": "die", "fronts": ["a"]}, start(99 * S), *rushed(40)],
    ),
    "a crowd of fronts born after": ("4", [start(99 * S), drill(99 * S, "started"), *rushed(40)]),
    "few of whom knew": (
        "",
        [start(99 * S), told(99 * S, "serving", started=1), *rushed(8), *rushed(32, front="b")],
    ),
    "a warm node": ("", [start(9 * S, cold=True), told(99 * S, "serving", started=1), *rushed(40)]),
    "as many as are borne": ("", [start(99 * S), told(99 * S, "serving", started=1), *rushed(16)]),
    "within the budget": (
        "",
        [row for i in range(10) for row in (ask(i, f"v{i}/0"), answer(i + 20, ask=f"v{i}/0"))]
        + [setup(S, number=1, play=q) for q in "ab"],
    ),
    "a worker's budget": (
        "",
        [
            row
            for i in range(10)
            for row in (ask(i, f"v{i}/0"), answer(i + 20, ask=f"v{i}/0", play=f"a-w1-7f-{i}"))
        ]
        + [setup(S, number=1, play=f"a-w1-7f-{i}", front="a-w1") for i in range(2)],
    ),
    "another worker's budget": (
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
    "sent apart, held back by a cut, and arrived together": (
        "",
        [
            *(handed(i * 11 * S, number=1, play=f"p{i}") for i in range(3)),
            *(setup(40 * S, number=1, play=f"p{i}") for i in range(3)),
        ],
    ),
    "sent together, and never arrived": ("6", [handed(S, number=1, play=f"p{i}") for i in range(3)]),
    "over the budget, long ago": ("", [setup(S, number=1, play="a"), setup(12 * S, number=1, play="b")]),
}


@pytest.mark.parametrize("name", DAY)
def test_the_judge(name):
    rule, rows = DAY[name]
    found = judge(sorted(rows, key=lambda row: row["t"]), TERMS)
    assert {broken.rule for broken in found} == ({rule} if rule else set())
    assert all(broken.records and broken.why for broken in found)


def test_service_is_the_importance_answered_within_the_target_over_that_asked():
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
        none(4 * S, ask="d/0"),
    ]
    found = summary(rows)
    assert (found["service"], found["plays"], found["unanswered"], found["declined"]) == (0.5, 5, 1, 1)


def test_every_request_is_in_one_bin_and_the_bins_add_up():
    rows = [
        ask(0, "a/0"),
        answer(S, ask="a/0"),
        answer(S + 1, ask="a/0"),
        ask(0, "b/0"),
        none(S, what="hung_up", ask="b/0"),
        ask(0, "c/0"),
        none(S, "unreached", ask="c/0"),
        ask(0, "d/0"),
        none(S, "not_sent", ask="d/0"),
        ask(0, "e/0", front="b"),
        drill(S, "killed", "b"),
        none(S, "broken", ask="e/0"),
        ask(0, "f/0"),
        none(4 * S, ask="f/0"),
        ask(0, "g/0"),
    ]
    found = summary(rows)
    assert {fate: found[fate] for fate in FATES} == {
        "answered": 1,
        "unanswered": 2,
        "hung_up": 1,
        "lost_with_front": 1,
        "not_taken": 2,
    }
    assert sum(found[fate] for fate in FATES) == found["plays"] == 7


def test_records_are_read_as_written_and_a_torn_end_is_left_out(tmp_path):
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
def test_what_is_no_record_is_told_with_its_line(tmp_path, line):
    path = tmp_path / "r"
    path.write_bytes(b'{"t":1,"at":"a","what":"b"}\n' + line + b'{"t":1,"at":"a","what":"b"}\n')
    with pytest.raises(records.TruncatedRecordError, match="line 2"):
        list(records.read(path))
