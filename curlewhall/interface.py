"""The interface between a decision module and its driver: the calls of the driver and the answers to them.

A driver (`curlewhall.front`, `curlewhall.relay` or the adapter in `curlewhall.simhost`) makes one `Front` for
each instance, calls it once for each event in the order of the events, and carries out the answers in the
order given. A `Front` has no clock, thread or socket: `now` comes with each call.

Times are whole tenths of a millisecond: `now` and `limit` are points in time on the driver's clock, the
others durations. Ids of plays, nodes and customers are opaque strings, handed back unaltered.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Literal, NamedTuple, Protocol

# The settings that a front starts with: a flat map of dotted names, such as "specifics.rung_kb", to values.
StartSettings = Mapping[str, Any]

# How an allocation or a probe ended. "full", "unreached" and "not_sent" prove that nothing ran. "late" is a
# time-out, "broken" a lost connection, "withdrawn" a move, a withdrawal or a viewer who left.
Outcome = Literal["ok", "error", "full", "late", "unreached", "broken", "withdrawn", "not_sent"]

# A load report with the values that the node gives: "link_share" (link asked over link given, 1 at most),
# "link_asked" (the same without the limit), "uplink_asked" (the same of the rack's uplink), "streams",
# "queue", "setup_time", ...
LoadReport = Mapping[str, float]

# The value in a note on a play: the share (0 to 1) of its rate delivered, its rung, the link asked over the
# link given, and the same of the rack's uplink.
NoteKind = Literal["delivered", "rung", "link_asked", "uplink_asked"]


class NodeRow(NamedTuple):
    """A row of the list of playout nodes."""

    node: str
    place: int  # decides which titles it holds and, modulo the number of racks, its rack
    zone: str
    kind: str
    state: Literal["serving", "draining", "gone"]
    weight: float  # its link, in units of "specifics.link_unit_kb"
    started: int  # time of its latest start; 0: long ago


# The answers of a front: tuples of a verb and its arguments, which the comments name.
Answer = (
    tuple[Literal["allocate"], str, str, int]  # play, node, time-out: set the play up at the node
    | tuple[Literal["rung"], str, int]  # play, rung: for its next allocation, or while it plays
    | tuple[Literal["decline"], str, int]  # play, retry-after time (0: none): final, nothing ran
    | tuple[Literal["fail"], str]  # play: final, it may have run
    | tuple[Literal["withdraw"], str, int]  # play, number of the allocation: stop waiting
    | tuple[Literal["move"], str]  # play: end it at its node; its viewer asks again
    | tuple[Literal["probe"], str]  # node
    | tuple[Literal["tell"], int | None, bytes]  # peer (None: all), at most 256 bytes
    | tuple[Literal["wake"], int, int]  # time from now, label: call `wake` with the label then
    | tuple[Literal["log"], str]  # a line for the operators
)
Answers = Sequence[Answer]


class Front(Protocol):
    """One instance. It shares no state with others, and equal calls get equal answers."""

    def __init__(self, now: int, seed: int, start_settings: StartSettings) -> None:
        """Start at `now`, with the seed of its random numbers and its start settings."""

    def listed(
        self, now: int, how: Literal["changes", "whole", "old_copy", "failed"], rows: Iterable[NodeRow]
    ) -> Answers:
        """The list of nodes, or its changes. "whole" and "old_copy" hold every node, "failed" none."""

    def asked(
        self,
        now: int,
        play: str,
        product: str,
        customer: str,
        viewer: str,
        title: str,
        limit: int,
        first_place: int,
        places: int,
        top_rung: int,
        length: int | None,
        moved: bool,
        again: bool,
    ) -> Answers:
        """A viewer requests a play, to be answered before `limit`.

        `length` is an estimate of how long it is watched. `moved`: the request follows a `move`. `again`: the
        viewer has asked for it before.
        """

    def resumed(
        self,
        now: int,
        play: str,
        product: str,
        customer: str,
        viewer: str,
        title: str,
        first_place: int,
        places: int,
        top_rung: int,
        length: int | None,
        node: str,
    ) -> Answers:
        """A play was under way on `node` when the front started; it counts as allocation 0.

        `now` may lie before the front's start, by as long as the play is known to have been on the node.
        """

    def first_frame(self, now: int, play: str, number: int, node: str, took: int) -> Answers:
        """Allocation `number` plays, which is the final answer of the play. `took`: since it was sent."""

    def ended(
        self,
        now: int,
        play: str,
        number: int,
        node: str,
        how: Outcome,
        final: bool,
        took: int,
        report: LoadReport,
    ) -> Answers:
        """Allocation `number` has ended, as each does once. Unless `final`, an answer is still owed."""

    def note(self, now: int, play: str, number: int, node: str, kind: NoteKind, value: float) -> Answers:
        """A value of a play under way."""

    def probed(self, now: int, node: str, how: Outcome, took: int, report: LoadReport) -> Answers:
        """A probe has ended."""

    def told(self, now: int, peer: int, body: bytes) -> Answers:
        """Another instance sent a message."""

    def thinned(self, now: int, parts: Mapping[str, float]) -> Answers:
        """Capacity is lost: plays of these products are placed only on nodes with a load under this part.

        A part is 0 to 1; the rest is kept for more important products. Other products are not limited. A call
        replaces the limits of the one before.
        """

    def wake(self, now: int, label: int) -> Answers:
        """A wake that the front asked for is due."""

    def left(self, now: int, play: str) -> Answers:
        """The viewer is gone and no answer is owed any more. Its allocation, if pending, still ends."""
