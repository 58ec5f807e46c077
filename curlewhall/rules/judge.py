"""Judges the six rules from records alone, with the figures of the operator's file. No I/O.

Records of different processes carry times of one clock but are written when a process gets to them, so each
rule has a little slack, stated beside it. A front's own word is never asked for.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from typing import Any, NamedTuple

from curlewhall.records import Record

ANSWER_SLACK = 2500  # tenths: a busy machine reads an answer late that went out in time
OVERLAP_SLACK = 1000  # a node may read one connection's end after another's first byte
DRAIN_SLACK = 1500  # from the list service's write to the front's reading it, and on to the node
WINDOW_SLACK = 500  # each end of the budget's window, as seen from elsewhere
LAG_SLACK, MOST_LAG = 3, 20_000  # times the lateness that the recorders tell of themselves; at most
FATES = ("answered", "unanswered", "hung_up", "lost_with_front", "not_taken")  # each request is in one
CROWD_SLACK = 1  # set-ups: budgets are fractions, set-ups are whole


class Terms(NamedTuple):
    """What the operator's file says about the rules. Times in tenths of a millisecond."""

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


def terms_of(file) -> Terms:
    """Terms of a checked `settings.front_pb2.FrontFile`."""
    rules = file.rules
    return Terms(
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


class Broken(NamedTuple):
    """A broken rule and the records that show it, in order of time."""

    rule: str
    t: int
    why: str
    records: list[Record]


def judge(records: Iterable[Record], terms: Terms) -> list[Broken]:
    """Everything that is broken, the first first. `records` are in the order of their times."""
    rows = list(records)
    by_what = grouped(rows)
    late = Lateness(by_what["lag"])
    found = [
        *answers(by_what, late),
        *duplicates(rows, terms, late),
        *drains(rows, pauses(by_what), terms, late),
        *crowds(by_what, terms),
        *floors(by_what, terms),
        *seats(rows, terms),
        *budget(by_what, terms),
    ]
    return sorted(found, key=lambda broken: (broken.t, broken.rule))


def grouped(rows: Iterable[Record]) -> dict[str, list[Record]]:
    """Records by what they tell of, in their order; nothing is told of what has none."""
    by_what: dict[str, list[Record]] = defaultdict(list)
    for row in rows:
        by_what[row["what"]].append(row)
    return by_what


class Lateness:
    """How late recorders were about a time: a process of a busy machine reads its sockets in its own
    order.
    """

    def __init__(self, rows: list[Record]) -> None:
        self.times, self.spans = [row["t"] for row in rows], [row["span"] for row in rows]

    def about(self, t: int) -> int:
        first, last = bisect_left(self.times, t - MOST_LAG), bisect_right(self.times, t + MOST_LAG)
        return min(MOST_LAG, LAG_SLACK * max(self.spans[first:last], default=0))


def lives(by_what: dict) -> dict[str, list[int]]:
    """When each front was killed."""
    killed = defaultdict(list)
    for row in by_what["killed"]:
        killed[row["front"]].append(row["t"])
    return killed


def pauses(by_what: dict) -> dict[str, list[tuple[int, int]]]:
    """When each front stood still, from a pause to its waking; one that was never woken stands to the end."""
    found = defaultdict(list)
    for row in sorted([*by_what["paused"], *by_what["woken"]], key=lambda row: row["t"]):
        spans = found[row["front"]]
        if row["what"] == "paused":
            spans.append((row["t"], 1 << 62))
        elif spans:
            spans[-1] = spans[-1][0], row["t"]
    return found


def stood_still(ask: Record, paused: dict[str, list[tuple[int, int]]]) -> bool:
    """Whether its front was made to stand still while the request was out: nothing can be answered then."""
    due = ask["t"] + ask["limit"] + ANSWER_SLACK
    return any(
        begin <= due and end >= ask["t"] - OVERLAP_SLACK for begin, end in paused.get(ask["front"], ())
    )


def lost_with_front(ask: Record, killed: dict[str, list[int]], paused: dict) -> bool:
    due = ask["t"] + ask["limit"] + ANSWER_SLACK
    return stood_still(ask, paused) or any(
        ask["t"] - OVERLAP_SLACK <= at <= due for at in killed.get(ask["front"], ())
    )


def answers(by_what: dict, late: Lateness) -> Iterable[Broken]:
    """Rule 1: each request that a running front took has one answer, in time."""
    paused = pauses(by_what)
    for ask, got, fate, end in fates(by_what):
        due = ask["t"] + ask["limit"]
        if len(got) > 1:
            yield Broken("1", got[1]["t"], "answered twice", [ask, *got])
        elif got and stood_still(ask, paused):
            continue
        elif got and got[0]["t"] > due + ANSWER_SLACK + late.about(due):
            yield Broken(
                "1",
                got[0]["t"],
                f"answered {(got[0]['t'] - due) / 10:.0f} ms after the time limit",
                [ask, *got],
            )
        elif fate == "unanswered":
            how = end["how"] if end else "and no end on record"
            yield Broken("1", due, f"no answer ({how})", [ask, end] if end else [ask])


def fates(by_what: dict) -> Iterable[tuple[Record, list[Record], str, Record | None]]:
    """Each request with its answers, what became of it, and the record of its end without an answer.

    `answered`; `hung_up`, the viewer left before its limit; `not_taken`, no front accepted it;
    `lost_with_front`, a front held it that was killed or paused; `unanswered`, all else. Danger: a request
    with no end on record would be nobody's: viewers write one for each, also when the day ends, so it is
    `unanswered`.
    """
    answered = defaultdict(list)
    for row in by_what["answer"]:
        answered[row["ask"]].append(row)
    ended = {row["ask"]: row for what in ("no_answer", "hung_up") for row in by_what[what]}
    killed, paused = lives(by_what), pauses(by_what)
    for ask in by_what["ask"]:
        got, end = answered[ask["ask"]], ended.get(ask["ask"])
        if got:
            fate = "answered"
        elif end is None:
            fate = "unanswered"
        elif end["what"] == "hung_up":
            fate = "hung_up"
        elif end["how"] in ("unreached", "not_sent"):
            fate = "not_taken"
        elif lost_with_front(ask, killed, paused):
            fate = "lost_with_front"  # what a killed front held is no longer its duty
        else:
            fate = "unanswered"
        yield ask, got, fate, end


def duplicates(rows: list[Record], terms: Terms, late: Lateness) -> Iterable[Broken]:
    """Rule 2: never two allocations out; a paid play is sent again or declined only if none can have run."""
    plays: dict[str, list[Record]] = defaultdict(list)
    for row in rows:
        if row["what"] in ("setup", "end", "let_go") or (
            row["what"] == "answer" and row["status"] == 503 and row["play"]
        ):
            plays[row["play"]].append(row)
    for story in plays.values():
        # A cut link hides from a node that its front has let go: what the front's side saw counts as well. A
        # set-up that comes after that was out before it came.
        ends = {
            (row["at"], row["number"]): row for row in reversed(story) if row["what"] in ("end", "let_go")
        }
        setups = [
            row
            for row in story
            if row["what"] == "setup"
            and (row["product"] in terms.paid or not late_setup(row, ends.get((row["at"], row["number"]))))
        ]
        for earlier, later in zip(setups, setups[1:], strict=False):
            if later["product"] in terms.paid:
                yield Broken(
                    "2", later["t"], "a paid play sent again though its set-up may have run", [earlier, later]
                )
            end = ends.get((earlier["at"], earlier["number"]))
            if end is None or end["t"] > later["t"] + OVERLAP_SLACK + late.about(later["t"]):
                yield Broken(
                    "2", later["t"], "two allocations out at once", [earlier, later] + ([end] if end else [])
                )
        for row in story:
            if row["what"] == "answer" and row["product"] in terms.paid and setups:
                yield Broken(
                    "2", row["t"], "a paid play declined though its set-up may have run", [setups[0], row]
                )


def late_setup(setup: Record, end: Record | None) -> bool:
    """Whether its front had let it go before it reached its node."""
    return end is not None and end["what"] == "let_go" and end["t"] < setup["t"]


def drains(rows: list[Record], still: dict, terms: Terms, late: Lateness) -> Iterable[Broken]:
    """Rule 3: nothing new to a node past the grace after its front was told that it drains or is gone.

    `still`: when fronts were paused.
    """
    told: dict[tuple[str, str], Record] = {}
    known: dict[str, set[str]] = defaultdict(set)
    for row in rows:
        if row["what"] == "told":
            front, named = row["front"], {node for node, _, _ in row["rows"]}
            for node, state, _ in row["rows"]:
                if state == "serving":
                    told.pop((front, node), None)
                else:
                    told.setdefault((front, node), row)
            if row["how"] == "whole":
                for node in known[front] - named:
                    told.setdefault((front, node), row)
            known[front] |= named
        elif row["what"] in ("started", "killed"):  # a new process was told nothing yet
            for key in [key for key in told if key[0] == row["front"]]:
                del told[key]
        elif row["what"] in ("setup", "refused"):
            news = told.get((row["front"], row["at"].partition(":")[2]))
            slack = DRAIN_SLACK + late.about(row["t"])
            # what came while a front stood still it reads once it wakes
            heard = news and max(
                [
                    news["t"],
                    *(
                        end
                        for begin, end in still.get(row["front"], ())
                        if begin <= news["t"] <= end <= row["t"]
                    ),
                ]
            )
            if news and row["t"] > heard + terms.drain_grace + slack:
                span = (row["t"] - heard) / 10
                yield Broken("3", row["t"], f"sent {span:.0f} ms after it was told", [news, row])


def crowds(by_what: dict, terms: Terms) -> Iterable[Broken]:
    """Rule 4: a node that has just started is not pushed over by fronts that could know of its start."""
    setups, starts, deaths = defaultdict(list), defaultdict(list), defaultdict(list)
    for row in by_what["setup"]:
        setups[row["at"]].append(row)
    for row in by_what["start"]:
        if row["cold"]:
            starts[row["at"]].append(row)
    for what in ("die", "fall"):
        for row in by_what[what]:
            deaths[row["at"]].append(row)
    told = defaultdict(list)
    for row in by_what["told"]:
        for node, _, started in row["rows"]:
            if started:
                told[row["front"], f"node:{node}"].append(row["t"])
    born = defaultdict(list)
    for row in by_what["started"]:
        born[row["front"]].append(row["t"])
    for at, colds in starts.items():
        for cold in colds:
            witnesses = {front for row in deaths[at] if row["t"] <= cold["t"] for front in row["fronts"]}
            window: deque[Record] = deque()
            for row in setups[at]:
                age = row["t"] - cold["t"]
                if not 0 <= age < terms.warm_within:
                    continue
                window.append(row)
                while window[0]["t"] <= row["t"] - terms.fall:
                    window.popleft()
                warmth = terms.start_capacity + (1 - terms.start_capacity) * age / terms.warm_within
                bears = terms.overload_factor * cold["streams"] / terms.warm_within * warmth * terms.fall
                knew = sum(
                    r["front"] in witnesses
                    or any(cold["t"] <= t <= r["t"] for t in born[r["front"]])
                    or any(cold["t"] <= t <= r["t"] for t in told[r["front"], at])
                    for r in window
                )
                if len(window) > bears + CROWD_SLACK and knew * 2 > len(window):
                    why = f"{len(window)} set-ups in a window that bears {bears:.1f}, {knew} by who knew"
                    yield Broken("4", row["t"], why, [cold, *window])
                    break


def floors(by_what: dict, terms: Terms) -> Iterable[Broken]:
    """Rule 5, first half: never under a product's floor."""
    for what in ("setup", "rung"):
        for row in by_what[what]:
            if row["rung"] < terms.floor.get(row["product"], 0):
                yield Broken("5", row["t"], f"rung {row['rung']} under the floor of {row['product']}", [row])


def seats(rows: list[Record], terms: Terms) -> Iterable[Broken]:
    """Rule 5, second half: never more plays of a title and product at a front than its seats."""
    if not any(terms.seats.values()):
        return
    held: dict[tuple, dict[tuple, Record]] = defaultdict(dict)
    where: dict[tuple, tuple] = {}
    over: list[tuple[Record, list[Record]]] = []
    for row in rows:
        if row["what"] == "setup" and terms.seats.get(row["product"]):
            key = row["front"], row["title"], row["product"]
            held[key][row["at"], row["play"], row["number"]] = row
            where[row["at"], row["play"], row["number"]] = key
            if len(held[key]) > terms.seats[row["product"]]:
                over.append((row, list(held[key].values())))
        elif row["what"] == "end":
            name = row["at"], row["play"], row["number"]
            if name in where:
                held[where[name]].pop(name, None)
        elif row["what"] == "given" and (name := (row["at"], row["play"], row["number"])) in where:
            there = held[where[name]].pop(name, None)
            key = where[name] = row["front"], *where[name][1:]
            if there is not None:
                held[key][name] = there
                if len(held[key]) > terms.seats[key[2]]:
                    over.append((row | {"product": key[2]}, list(held[key].values())))
    ends = {(r["at"], r["play"], r["number"]): r["t"] for r in rows if r["what"] == "end"}
    for row, there in over:
        # an end on one node and a set-up on another may be written in either order
        still = [
            r
            for r in there
            if ends.get((r["at"], r["play"], r["number"]), 1 << 62) > row["t"] + OVERLAP_SLACK
        ]
        if len(still) > terms.seats[row["product"]]:
            yield Broken("5", row["t"], f"{len(still)} plays on {terms.seats[row['product']]} seats", still)


def budget(by_what: dict, terms: Terms) -> Iterable[Broken]:
    """Rule 6: further allocations in any window within a few plus a share of the plays taken in it.

    Counted as their fronts sent them, where links show that: what a cut held back arrives together with what
    was sent seconds later.
    """
    if terms.look_back is None:
        return
    taken, further = defaultdict(list), defaultdict(list)
    answered = {row["ask"]: row for row in by_what["answer"]}
    for row in by_what["ask"]:
        answer = answered.get(row["ask"], {"status": 0, "play": ""})
        if answer["status"] not in (400, 404):
            # a viewer meets one of a front's workers, each an instance; the play's id tells which
            name = answer["play"].rsplit("-", 2)
            taken[name[0] if len(name) == 3 else row["front"]].append(row["t"])
    for row in by_what["handed"] or [*by_what["setup"], *by_what["refused"]]:
        if row["number"] > 0:
            further[row["front"]].append(row)
    for front, rows in further.items():
        rows.sort(key=lambda row: row["t"])
        for i, row in enumerate(rows):
            since = row["t"] - terms.look_back
            recent = [r for r in rows[: i + 1] if r["t"] > since + WINDOW_SLACK]
            times = taken[front]
            takes = bisect_right(times, row["t"] + WINDOW_SLACK) - bisect_right(times, since - WINDOW_SLACK)
            if len(recent) > terms.spare + terms.extra * takes:
                yield Broken(
                    "6", row["t"], f"{len(recent)} further allocations for {takes} plays taken", recent
                )
                break


def summary(records: Iterable[Record]) -> dict[str, Any]:
    """Counts and service of a day, from the viewers' records."""
    by_what = grouped(records)
    asks = {row["ask"]: row for row in by_what["ask"]}
    status = {row["ask"]: row for row in by_what["answer"]}
    became = Counter(fate for _, _, fate, _ in fates(by_what))
    counts = {code: sum(row["status"] == code for row in status.values()) for code in (200, 502, 503)}
    firsts = [row for row in asks.values() if row["first"]]
    offered = sum(row["importance"] for row in firsts) or 1
    served = sum(
        row["importance"]
        for row in firsts
        if row["ask"] in status
        and status[row["ask"]]["status"] == 200
        and status[row["ask"]]["took"] <= row["target"]
    )
    watched = by_what["watched"]
    wanted = sum(row["importance"] * row["wanted"] for row in firsts) or 1
    earned = sum(row["importance"] * max(0.0, row["worth"] - 2 * row["stalled"]) for row in watched)
    seen = sum(row["seen"] for row in watched) or 1
    return {
        "plays": len(by_what["ask"]),
        **{fate: became[fate] for fate in FATES},
        "served": counts[200],
        "declined": counts[503],
        "failed": counts[502],
        "lag_ms": max((row["span"] for row in by_what["lag"]), default=0) / 10,
        "service": round(served / offered, 4),
        "worth": round(earned / wanted, 4),
        "stalled_share": round(sum(r["stalled"] for r in watched) / seen, 4),
        "wrong_segments": sum(row["wrong"] for row in watched),
    }
