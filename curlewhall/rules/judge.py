"""Judges the six rules from the records of a drill, with the limits of the operator's settings file. No I/O.

Called by the drills and by tests. All times are in ticks of a tenth of a millisecond on one monotonic clock
that all processes share. A process writes a record when it gets to it, which may be later than the event, so
each rule allows a little slack, stated beside its constant. The judge uses no statement of a front about
itself.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from curlewhall.records import Record

ANSWER_SLACK_TICKS = 2500  # a busy machine may read late an answer that was sent in time
OVERLAP_SLACK_TICKS = 1000  # a node may read the end of one connection after the first byte of another
DRAIN_SLACK_TICKS = 1500  # from the list service's write to the front's read, and on to the node
WINDOW_SLACK_TICKS = 500  # at each end of the budget's window, which the recorders see from elsewhere
LAG_FACTOR = 3  # slack per lag that the recorders report of themselves
MAX_LAG_SLACK_TICKS = 20_000
COLD_START_SLACK = 1  # set-ups: the capacity is a fraction, the count is whole
NO_END_TICKS = 1 << 62
OUTCOMES = ("answered", "unanswered", "hung_up", "lost_with_front", "not_taken")  # each request has one


class RuleLimits(NamedTuple):
    """The limits of the six rules in the operator's settings file. Times in ticks."""

    paid: frozenset[str]
    floor: dict[str, int]
    seats: dict[str, int]
    drain_grace: int
    fall: int
    overload_factor: float
    start_capacity: float
    warm_within: int
    look_back: int | None
    spare: int
    extra: float


def rule_limits(file) -> RuleLimits:
    """Returns the limits of a checked `settings.front_pb2.FrontFile`."""
    rules = file.rules
    return RuleLimits(
        frozenset(p.name for p in file.product if p.idempotency == 1),
        {p.name: p.floor for p in file.product},
        {p.name: p.seats for p in file.product},
        10 * rules.drain_grace_ms,
        10 * rules.fall_ms,
        rules.overload_factor,
        rules.start_capacity,
        10 * rules.warm_within_ms,
        10 * rules.look_back_ms if rules.HasField("look_back_ms") else None,
        rules.spare_allocations,
        rules.extra_per_request,
    )


class Violation(NamedTuple):
    """A broken rule and the records that show it, in order of time."""

    rule: str
    t: int
    reason: str
    records: list[Record]


def judge(records: Iterable[Record], limits: RuleLimits) -> list[Violation]:
    """Returns all violations, sorted by time. `records` must be sorted by time."""
    rows = list(records)
    by_kind = group_by_kind(rows)
    lag = RecorderLag(by_kind["lag"])
    found = [
        *check_answers(by_kind, lag),
        *check_allocations(rows, limits, lag),
        *check_drains(rows, pause_spans(by_kind), limits, lag),
        *check_cold_starts(by_kind, limits),
        *check_floors(by_kind, limits),
        *check_seats(rows, limits),
        *check_budget(by_kind, limits),
    ]
    return sorted(found, key=lambda violation: (violation.t, violation.rule))


def group_by_kind(rows: Iterable[Record]) -> dict[str, list[Record]]:
    """Groups records by their `what`, in their order; a kind without records has an empty list."""
    by_kind: dict[str, list[Record]] = defaultdict(list)
    for row in rows:
        by_kind[row["what"]].append(row)
    return by_kind


class RecorderLag:
    """Slack for recorders that ran late: a process on a busy machine reads its sockets late and in its own
    order. Built from the "lag" records.
    """

    def __init__(self, rows: list[Record]) -> None:
        self.times = [row["t"] for row in rows]
        self.spans = [row["span"] for row in rows]

    def around(self, t: int) -> int:
        """Returns the slack in ticks for an event at `t`."""
        first = bisect_left(self.times, t - MAX_LAG_SLACK_TICKS)
        last = bisect_right(self.times, t + MAX_LAG_SLACK_TICKS)
        return min(MAX_LAG_SLACK_TICKS, LAG_FACTOR * max(self.spans[first:last], default=0))


def kill_times(by_kind: dict) -> dict[str, list[int]]:
    """Returns the times at which each front was killed."""
    killed = defaultdict(list)
    for row in by_kind["killed"]:
        killed[row["front"]].append(row["t"])
    return killed


def pause_spans(by_kind: dict) -> dict[str, list[tuple[int, int]]]:
    """Returns the spans (begin, end) in which each front was paused; a front that was never resumed is paused
    to the end.
    """
    found = defaultdict(list)
    for row in sorted([*by_kind["paused"], *by_kind["woken"]], key=lambda row: row["t"]):
        spans = found[row["front"]]
        if row["what"] == "paused":
            spans.append((row["t"], NO_END_TICKS))
        elif spans:
            spans[-1] = spans[-1][0], row["t"]
    return found


def front_was_paused(ask: Record, paused: dict[str, list[tuple[int, int]]]) -> bool:
    """Whether the request's front was paused while the request was pending: it can't answer then."""
    due = ask["t"] + ask["limit"] + ANSWER_SLACK_TICKS
    return any(
        begin <= due and end >= ask["t"] - OVERLAP_SLACK_TICKS for begin, end in paused.get(ask["front"], ())
    )


def front_was_lost(ask: Record, killed: dict[str, list[int]], paused: dict) -> bool:
    """Whether the request's front was killed or paused while the request was pending."""
    due = ask["t"] + ask["limit"] + ANSWER_SLACK_TICKS
    return front_was_paused(ask, paused) or any(
        ask["t"] - OVERLAP_SLACK_TICKS <= at <= due for at in killed.get(ask["front"], ())
    )


def check_answers(by_kind: dict, lag: RecorderLag) -> Iterable[Violation]:
    """Rule 1: each request that a running front accepted gets exactly one answer within its time limit."""
    paused = pause_spans(by_kind)
    for ask, answers, outcome, end in request_outcomes(by_kind):
        due = ask["t"] + ask["limit"]
        if len(answers) > 1:
            yield Violation("1", answers[1]["t"], "answered twice", [ask, *answers])
        elif answers and front_was_paused(ask, paused):
            continue
        elif answers and answers[0]["t"] > due + ANSWER_SLACK_TICKS + lag.around(due):
            yield Violation(
                "1",
                answers[0]["t"],
                f"answered {(answers[0]['t'] - due) / 10:.0f} ms after the time limit",
                [ask, *answers],
            )
        elif outcome == "unanswered":
            how = end["how"] if end else "no end on record"
            yield Violation("1", due, f"no answer ({how})", [ask, end] if end else [ask])


def request_outcomes(by_kind: dict) -> Iterable[tuple[Record, list[Record], str, Record | None]]:
    """Yields each request with its answers, its outcome, and the record of its end without an answer.

    Outcomes: `answered`; `hung_up`, the viewer left before the time limit; `not_taken`, no front accepted the
    request; `lost_with_front`, its front was killed or paused; `unanswered`, all others. Viewers write an end
    for each request, also when the drill ends, so a request without an end on record is `unanswered`:
    otherwise requests that were lost would be counted nowhere.
    """
    answered = defaultdict(list)
    for row in by_kind["answer"]:
        answered[row["ask"]].append(row)
    ended = {row["ask"]: row for what in ("no_answer", "hung_up") for row in by_kind[what]}
    killed, paused = kill_times(by_kind), pause_spans(by_kind)
    for ask in by_kind["ask"]:
        answers, end = answered[ask["ask"]], ended.get(ask["ask"])
        if answers:
            outcome = "answered"
        elif end is None:
            outcome = "unanswered"
        elif end["what"] == "hung_up":
            outcome = "hung_up"
        elif end["how"] in ("unreached", "not_sent"):
            outcome = "not_taken"
        elif front_was_lost(ask, killed, paused):
            outcome = "lost_with_front"  # a killed front owes no answer
        else:
            outcome = "unanswered"
        yield ask, answers, outcome, end


def check_allocations(rows: list[Record], limits: RuleLimits, lag: RecorderLag) -> Iterable[Violation]:
    """Rule 2: a play never has two pending allocations; a paid play is sent again or declined only if no
    earlier allocation can have run.
    """
    plays: dict[str, list[Record]] = defaultdict(list)
    for row in rows:
        if row["what"] in ("setup", "end", "let_go") or (
            row["what"] == "answer" and row["status"] == 503 and row["play"]
        ):
            plays[row["play"]].append(row)
    for history in plays.values():
        # A cut link hides from a node that its front has given up an allocation, so the end that the front's
        # side of the link saw counts too. A set-up that reaches its node after that end was no longer
        # pending.
        ends = {
            (row["at"], row["number"]): row for row in reversed(history) if row["what"] in ("end", "let_go")
        }
        setups = [
            row
            for row in history
            if row["what"] == "setup"
            and (
                row["product"] in limits.paid
                or not arrived_after_end(row, ends.get((row["at"], row["number"])))
            )
        ]
        for earlier, later in zip(setups, setups[1:], strict=False):
            if later["product"] in limits.paid:
                yield Violation(
                    "2",
                    later["t"],
                    "a paid play was sent again though its set-up may have run",
                    [earlier, later],
                )
            end = ends.get((earlier["at"], earlier["number"]))
            if end is None or end["t"] > later["t"] + OVERLAP_SLACK_TICKS + lag.around(later["t"]):
                yield Violation(
                    "2",
                    later["t"],
                    "a play had two pending allocations",
                    [earlier, later] + ([end] if end else []),
                )
        for row in history:
            if row["what"] == "answer" and row["product"] in limits.paid and setups:
                yield Violation(
                    "2", row["t"], "a paid play was declined though its set-up may have run", [setups[0], row]
                )


def arrived_after_end(setup: Record, end: Record | None) -> bool:
    """Whether the front had given up the allocation before its set-up reached the node."""
    return end is not None and end["what"] == "let_go" and end["t"] < setup["t"]


def check_drains(
    rows: list[Record], paused: dict, limits: RuleLimits, lag: RecorderLag
) -> Iterable[Violation]:
    """Rule 3: a node gets no new play once the grace is over after its front learned that it drains or is
    gone.

    `paused` holds the spans of `pause_spans`.
    """
    notices: dict[tuple[str, str], Record] = {}
    known: dict[str, set[str]] = defaultdict(set)
    for row in rows:
        if row["what"] == "told":
            front, named = row["front"], {node for node, _, _ in row["rows"]}
            for node, state, _ in row["rows"]:
                if state == "serving":
                    notices.pop((front, node), None)
                else:
                    notices.setdefault((front, node), row)
            if row["how"] == "whole":
                for node in known[front] - named:
                    notices.setdefault((front, node), row)
            known[front] |= named
        elif row["what"] in ("started", "killed"):  # a new process has received no list yet
            for key in [key for key in notices if key[0] == row["front"]]:
                del notices[key]
        elif row["what"] in ("setup", "refused"):
            notice = notices.get((row["front"], row["at"].partition(":")[2]))
            slack = DRAIN_SLACK_TICKS + lag.around(row["t"])
            # A paused front reads what arrived meanwhile once it is resumed.
            received = notice and max(
                [
                    notice["t"],
                    *(
                        end
                        for begin, end in paused.get(row["front"], ())
                        if begin <= notice["t"] <= end <= row["t"]
                    ),
                ]
            )
            if notice and row["t"] > received + limits.drain_grace + slack:
                span = (row["t"] - received) / 10
                yield Violation(
                    "3",
                    row["t"],
                    f"sent {span:.0f} ms after the front learned that the node drains or is gone",
                    [notice, row],
                )


def check_cold_starts(by_kind: dict, limits: RuleLimits) -> Iterable[Violation]:
    """Rule 4: a node that has just started is not overloaded by all fronts together, as far as they could
    know of its start.
    """
    setups, starts, deaths = defaultdict(list), defaultdict(list), defaultdict(list)
    for row in by_kind["setup"]:
        setups[row["at"]].append(row)
    for row in by_kind["start"]:
        if row["cold"]:
            starts[row["at"]].append(row)
    for what in ("die", "fall"):
        for row in by_kind[what]:
            deaths[row["at"]].append(row)
    notice_times = defaultdict(list)
    for row in by_kind["told"]:
        for node, _, started in row["rows"]:
            if started:
                notice_times[row["front"], f"node:{node}"].append(row["t"])
    front_starts = defaultdict(list)
    for row in by_kind["started"]:
        front_starts[row["front"]].append(row["t"])
    for at, cold_starts in starts.items():
        for cold in cold_starts:
            witnesses = {front for row in deaths[at] if row["t"] <= cold["t"] for front in row["fronts"]}
            window: deque[Record] = deque()
            for row in setups[at]:
                age = row["t"] - cold["t"]
                if not 0 <= age < limits.warm_within:
                    continue
                window.append(row)
                while window[0]["t"] <= row["t"] - limits.fall:
                    window.popleft()
                warmth = limits.start_capacity + (1 - limits.start_capacity) * age / limits.warm_within
                capacity = (
                    limits.overload_factor * cold["streams"] / limits.warm_within * warmth * limits.fall
                )
                informed = sum(
                    r["front"] in witnesses
                    or any(cold["t"] <= t <= r["t"] for t in front_starts[r["front"]])
                    or any(cold["t"] <= t <= r["t"] for t in notice_times[r["front"], at])
                    for r in window
                )
                if len(window) > capacity + COLD_START_SLACK and informed * 2 > len(window):
                    reason = (
                        f"{len(window)} set-ups in a window with capacity for {capacity:.1f}, "
                        f"{informed} of them from fronts that could know of the start"
                    )
                    yield Violation("4", row["t"], reason, [cold, *window])
                    break


def check_floors(by_kind: dict, limits: RuleLimits) -> Iterable[Violation]:
    """Rule 5, first half: no play gets a rung below its product's floor."""
    for what in ("setup", "rung"):
        for row in by_kind[what]:
            if row["rung"] < limits.floor.get(row["product"], 0):
                yield Violation(
                    "5", row["t"], f"rung {row['rung']} is below the floor of {row['product']}", [row]
                )


def check_seats(rows: list[Record], limits: RuleLimits) -> Iterable[Violation]:
    """Rule 5, second half: a front never has more plays of a title and product than the product has seats."""
    if not any(limits.seats.values()):
        return
    seated: dict[tuple, dict[tuple, Record]] = defaultdict(dict)
    seat_keys: dict[tuple, tuple] = {}
    suspects: list[tuple[Record, list[Record]]] = []
    for row in rows:
        if row["what"] == "setup" and limits.seats.get(row["product"]):
            key = row["front"], row["title"], row["product"]
            seated[key][row["at"], row["play"], row["number"]] = row
            seat_keys[row["at"], row["play"], row["number"]] = key
            if len(seated[key]) > limits.seats[row["product"]]:
                suspects.append((row, list(seated[key].values())))
        elif row["what"] == "end":
            allocation = row["at"], row["play"], row["number"]
            if allocation in seat_keys:
                seated[seat_keys[allocation]].pop(allocation, None)
        elif row["what"] == "given" and (allocation := (row["at"], row["play"], row["number"])) in seat_keys:
            setup = seated[seat_keys[allocation]].pop(allocation, None)
            key = seat_keys[allocation] = row["front"], *seat_keys[allocation][1:]
            if setup is not None:
                seated[key][allocation] = setup
                if len(seated[key]) > limits.seats[key[2]]:
                    suspects.append((row | {"product": key[2]}, list(seated[key].values())))
    ends = {(r["at"], r["play"], r["number"]): r["t"] for r in rows if r["what"] == "end"}
    for row, setups in suspects:
        # An end on one node and a set-up on another may be written in either order.
        remaining = [
            r
            for r in setups
            if ends.get((r["at"], r["play"], r["number"]), NO_END_TICKS) > row["t"] + OVERLAP_SLACK_TICKS
        ]
        if len(remaining) > limits.seats[row["product"]]:
            yield Violation(
                "5", row["t"], f"{len(remaining)} plays on {limits.seats[row['product']]} seats", remaining
            )


def check_budget(by_kind: dict, limits: RuleLimits) -> Iterable[Violation]:
    """Rule 6: the further allocations in any window stay within a fixed number plus a share of the plays
    accepted in it.

    Where links record it, allocations count at the time their fronts sent them: those that a cut link held
    back arrive together with others that were sent seconds later.
    """
    if limits.look_back is None:
        return
    accepted, further = defaultdict(list), defaultdict(list)
    answered = {row["ask"]: row for row in by_kind["answer"]}
    for row in by_kind["ask"]:
        answer = answered.get(row["ask"], {"status": 0, "play": ""})
        if answer["status"] not in (400, 404):
            # Each worker of a front has a budget of its own; the play's id begins with the worker's name.
            name = answer["play"].rsplit("-", 2)
            accepted[name[0] if len(name) == 3 else row["front"]].append(row["t"])
    for row in by_kind["handed"] or [*by_kind["setup"], *by_kind["refused"]]:
        if row["number"] > 0:
            further[row["front"]].append(row)
    for front, rows in further.items():
        rows.sort(key=lambda row: row["t"])
        for i, row in enumerate(rows):
            since = row["t"] - limits.look_back
            recent = [r for r in rows[: i + 1] if r["t"] > since + WINDOW_SLACK_TICKS]
            times = accepted[front]
            play_count = bisect_right(times, row["t"] + WINDOW_SLACK_TICKS) - bisect_right(
                times, since - WINDOW_SLACK_TICKS
            )
            if len(recent) > limits.spare + limits.extra * play_count:
                yield Violation(
                    "6",
                    row["t"],
                    f"{len(recent)} further allocations for {play_count} accepted plays",
                    recent,
                )
                break


def summary(records: Iterable[Record]) -> dict[str, Any]:
    """Returns the counts of a drill and the quality of its service, from the viewers' records.

    `service` is the importance of the requests answered within the first-frame target, `worth` the
    importance-weighted quality watched minus twice the stalled time, each as a share of what was asked for.
    """
    by_kind = group_by_kind(records)
    asks = {row["ask"]: row for row in by_kind["ask"]}
    answers = {row["ask"]: row for row in by_kind["answer"]}
    outcome_counts = Counter(outcome for _, _, outcome, _ in request_outcomes(by_kind))
    status_counts = {code: sum(row["status"] == code for row in answers.values()) for code in (200, 502, 503)}
    first_asks = [row for row in asks.values() if row["first"]]
    offered = sum(row["importance"] for row in first_asks) or 1
    served = sum(
        row["importance"]
        for row in first_asks
        if row["ask"] in answers
        and answers[row["ask"]]["status"] == 200
        and answers[row["ask"]]["took"] <= row["target"]
    )
    watched = by_kind["watched"]
    wanted = sum(row["importance"] * row["wanted"] for row in first_asks) or 1
    earned = sum(row["importance"] * max(0.0, row["worth"] - 2 * row["stalled"]) for row in watched)
    seen = sum(row["seen"] for row in watched) or 1
    return {
        "plays": len(by_kind["ask"]),
        **{outcome: outcome_counts[outcome] for outcome in OUTCOMES},
        "served": status_counts[200],
        "declined": status_counts[503],
        "failed": status_counts[502],
        "lag_ms": max((row["span"] for row in by_kind["lag"]), default=0) / 10,
        "service": round(served / offered, 4),
        "worth": round(earned / wanted, 4),
        "stalled_share": round(sum(r["stalled"] for r in watched) / seen, 4),
        "wrong_segments": sum(row["wrong"] for row in watched),
    }
