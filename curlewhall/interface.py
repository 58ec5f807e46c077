"""How a front is driven: the calls made on it and the answers it gives.

Whatever drives a front (the adapter in `curlewhall.simhost`, later a daemon) makes one `Front` for each
instance, calls it once for each thing that happens, in the order in which things happen, and carries out
the answers in the order given. A front owns no clock, thread or socket: `now` comes with each call.

Times are whole tenths of a millisecond: `now` and `limit` on the driver's own clock, the rest as lengths.
Ids of plays, nodes and customers are opaque strings, handed back unaltered.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Literal, NamedTuple, Protocol

# What a front was told at start: a flat map of dotted names, such as "specifics.rung_kb", to values.
StartSettings = Mapping[str, Any]

# How an allocation or a probe ended. "full", "unreached" and "not_sent" prove that nothing ran; "late" is a
# time-out, "broken" a lost connection, "withdrawn" a move, a withdrawal or a viewer who left.
Ending = Literal["ok", "error", "full", "late", "unreached", "broken", "withdrawn", "not_sent"]

# A load report, as far as the node gives one: "link_share" (link asked, 1 at most), "link_asked" (the same,
# also above 1), "uplink_asked" (of the rack's uplink), "streams", "queue", "setup_time", ...
Report = Mapping[str, float]

# What a note on a play tells: the share delivered there, the rung in force, the link asked over the link
# given, and the same of the rack's uplink.
NoteKind = Literal["delivered", "rung", "link_asked", "uplink_asked"]


class NodeRow(NamedTuple):
    """A line of the list of playout nodes."""

    node: str
    place: int  # tells the titles that it holds and, modulo the racks, its rack
    zone: str
    kind: str
    state: Literal["serving", "draining", "gone"]
    weight: float  # for comparison with other nodes' figures
    started: int  # time of its latest start; 0: long past


# What a front answers: plain tuples, the verb first.
Answer = (
    tuple[Literal["allocate"], str, str, int]  # play, node, time-out: ask the node to set the play up
    | tuple[Literal["rung"], str, int]  # play, rung: before its allocation, or while it plays
    | tuple[Literal["decline"], str, int]  # play, time to stay away (0: not told): final, nothing ran
    | tuple[Literal["fail"], str]  # play: final, with no assurance
    | tuple[Literal["withdraw"], str, int]  # play, number of the allocation: stop waiting for it
    | tuple[Literal["move"], str]  # play: end it there; it comes back to be asked again
    | tuple[Literal["probe"], str]  # node
    | tuple[Literal["tell"], int | None, bytes]  # peer (None: all), at most 256 bytes
    | tuple[Literal["wake"], int, int]  # time from now, label: call `wake` with it then
    | tuple[Literal["log"], str]  # a line for the people on call
)
Answers = Sequence[Answer]


class Front(Protocol):
    """One instance. It starts with no state and shares none; equal calls get equal answers."""

    def __init__(self, now: int, seed: int, start_settings: StartSettings) -> None:
        """Born at `now`, with the seed of its chance and what it is told at start."""

    def listed(
        self, now: int, how: Literal["changes", "whole", "old_copy", "failed"], rows: Iterable[NodeRow]
    ) -> Answers:
        """The list of nodes, or its changes. "whole" and "old_copy" hold every node; "failed" holds none."""

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
        """A viewer wants a play, answered before `limit`; `length` is a guess of how long it is watched."""

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

        `now` may lie before the front's birth, by as long as the play is known to have been there."""

    def first_frame(self, now: int, play: str, number: int, node: str, took: int) -> Answers:
        """Allocation `number` plays. That was the play's final answer."""

    def ended(
        self, now: int, play: str, number: int, node: str, how: Ending, final: bool, took: int, report: Report
    ) -> Answers:
        """Allocation `number` has ended; each does, once. Unless `final`, an answer is still owed."""

    def note(self, now: int, play: str, number: int, node: str, kind: NoteKind, value: float) -> Answers:
        """Something is told of a play under way."""

    def probed(self, now: int, node: str, how: Ending, took: int, report: Report) -> Answers:
        """A probe has ended."""

    def told(self, now: int, peer: int, body: bytes) -> Answers:
        """Another instance sent a message."""

    def thinned(self, now: int, parts: Mapping[str, float]) -> Answers:
        """Room is lost: plays of these products are placed only where a node's room is used to less than this
        part (0 to 1), the rest is kept for dearer ones. Those not named are as ever; the last call holds."""

    def wake(self, now: int, label: int) -> Answers:
        """A wake asked for earlier is due."""

    def left(self, now: int, play: str) -> Answers:
        """The viewer is gone; no answer is owed any more. Its allocation, if out, still ends."""
