"""JSON messages between fronts, nodes and the list service over HTTP. See `docs/protocol.md`.

Times are in milliseconds, rates in kB per second; `started_ms` is in milliseconds since 1970 (0: long ago).
"""

import ipaddress

import msgspec

from curlewhall.codecs.lines import LineBuffer
from curlewhall.errors import CurlewhallError

MAX_LINE_BYTES = 4 << 20  # of a stream: a hello with 10,000 plays has half as many


class DecodeError(CurlewhallError):
    """Received data that can't be decoded as the expected message."""

    remedy = "Check that both sides run compatible versions; the message was ignored."


class PlayInfo(msgspec.Struct, frozen=True):
    """A play as a node stores it for the front that is responsible for it, and reports it to a front that has
    restarted.
    """

    play: str
    number: int
    product: str
    customer: str
    viewer: str
    title: str
    top: int
    rung: int
    floor: int = 0


class SetUp(msgspec.Struct, frozen=True):
    """POST /v1/plays: set up a play, within `span_ms`. `node`: the node that is meant; another process, which
    has its address by now, must not run it ("" from fronts that don't say).
    """

    front: str
    facts: PlayInfo
    span_ms: float
    node: str = ""


class SetUpDone(msgspec.Struct, frozen=True):
    """The answer to `SetUp`. 201: the play is set up. 421: another node was meant, 503: it was refused; in
    both cases nothing ran.

    `node` is the name of the node that answers, so that the answer of another program can be recognised.
    """

    node: str
    play: str = ""
    number: int = 0
    report: dict[str, float] = {}
    why: str = ""


class Rung(msgspec.Struct, frozen=True):
    """PUT /v1/plays/PLAY/rung: change the rung of an allocation."""

    number: int
    rung: int


class FrontChange(msgspec.Struct, frozen=True):
    """PUT /v1/plays/PLAY/front: another front is responsible for the play from now on; its manifest is at
    `location`.
    """

    number: int
    front: str
    location: str


class Offer(msgspec.Struct, frozen=True):
    """POST /v1/offer, at a front: take over this play, which runs at `node`."""

    front: str
    facts: PlayInfo
    node: str


class Load(msgspec.Struct, frozen=True):
    """The answer to GET /v1/load: the load report of a node."""

    node: str
    report: dict[str, float] = {}


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """A line of GET /v1/events?front=NAME. `kind`: hello, tick, ended, buffer, delivered, link_asked,
    uplink_asked.
    """

    kind: str
    play: str = ""
    number: int = 0
    value: float = 0.0
    how: str = ""
    node: str = ""
    plays: list[PlayInfo] = []


class Row(msgspec.Struct, frozen=True, omit_defaults=True):
    """A playout node in the list of the list service."""

    node: str
    address: str
    port: int
    place: int
    zone: str
    kind: str
    state: str = "serving"  # or "draining", "gone"
    weight: float = 1.0
    started_ms: int = 0


class Title(msgspec.Struct, frozen=True):
    """A title, stored at `places` consecutive places from `first_place` on."""

    title: str
    first_place: int
    places: int
    length_s: float


class StoredListState(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of a list stored on disk: when the service last confirmed it, and how often it changes.

    `unix_ms` is that time since 1970, `steady_s` the same since the machine's boot `boot`. `changes` changes
    were seen in `watched_s` node-seconds.
    """

    unix_ms: int = 0
    boot: str = ""
    steady_s: float = 0.0
    changes: float = 0.0
    watched_s: float = 0.0


class Listing(msgspec.Struct, frozen=True, omit_defaults=True):
    """A line of GET /v1/list?front=NAME&have=VERSION&life=LIFE.

    `how`: whole, changes (since version `since`; none, with the same version: the list is unchanged), tick.
    `life` identifies the run of the service; versions of different runs can't be compared.
    """

    how: str
    version: int = 0
    since: int = 0
    rows: list[Row] = []
    titles: list[Title] = []
    life: str = ""
    kept: StoredListState | None = None


# Valid values in a list or an inventory, both bounds included.
ROW_BOUNDS = {"port": (1, 65535), "place": (0, 1_000_000), "weight": (1e-3, 1e6), "started_ms": (0, 1 << 53)}
TITLE_BOUNDS = {"first_place": (0, 1_000_000), "places": (1, 1_000_000), "length_s": (0.1, 1e7)}


def find_fault(entry: Row | Title) -> str:
    """The first invalid value of a row or title, as an error message; "" if there is none."""
    for name, (low, high) in (ROW_BOUNDS if isinstance(entry, Row) else TITLE_BOUNDS).items():
        if not low <= getattr(entry, name) <= high:
            return f"{name}: found {getattr(entry, name):g}, expected {low:g} to {high:g}"
    return (
        ""
        if isinstance(entry, Title) or is_address(entry.address)
        else f"address: found {entry.address[:40]!r}, expected an IPv4 or IPv6 address"
    )


def is_address(text: str) -> bool:
    """Whether a text is an IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


encode = msgspec.json.Encoder().encode
_decoders: dict[type, msgspec.json.Decoder] = {}


def decode(message_type: type, data: bytes):
    """`data` as a `message_type`; `DecodeError` says what is wrong."""
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = _decoders[message_type] = msgspec.json.Decoder(message_type)
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise DecodeError(str(err)) from None


class LineSplitter:
    """Splits a stream into lines; `DecodeError` if one is longer than MAX_LINE_BYTES."""

    def __init__(self) -> None:
        self.buffer = LineBuffer()

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that `data` completes, without empty ones."""
        lines = self.buffer.feed(data)
        if len(self.buffer) > MAX_LINE_BYTES:
            raise DecodeError(f"a line of more than {MAX_LINE_BYTES} bytes")
        return [line for line in lines if line]
