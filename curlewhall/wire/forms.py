"""What fronts, nodes and the list service say to each other over HTTP, as JSON. See `docs/protocol.md`.

Times are milliseconds, rates kB a second, `started_ms` milliseconds since 1970 (0: long past).
"""

import ipaddress

import msgspec

from curlewhall.errors import CurlewhallError

LINE = 4 << 20  # bytes of one line of a stream at most: a hello that names 10,000 plays is half of that


class DecodeError(CurlewhallError):
    """What came is not of its form."""

    remedy = "See that both sides run versions that know each other; what was unreadable is left out."


class PlayInfo(msgspec.Struct, frozen=True):
    """What a node keeps of a play for the front that holds it, and gives back to one that starts anew."""

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
    """POST /v1/plays: set a play up, within `span_ms`."""

    front: str
    facts: PlayInfo
    span_ms: float


class SetUpDone(msgspec.Struct, frozen=True):
    """201: it plays. 503: refused, nothing ran. A node names itself, so that a stranger's answer is told."""

    node: str
    play: str = ""
    number: int = 0
    report: dict[str, float] = {}
    why: str = ""


class Rung(msgspec.Struct, frozen=True):
    """PUT /v1/plays/PLAY/rung."""

    number: int
    rung: int


class Given(msgspec.Struct, frozen=True):
    """PUT /v1/plays/PLAY/front: another front holds the play from now on; `location`: its manifest there."""

    number: int
    front: str
    location: str


class Offer(msgspec.Struct, frozen=True):
    """POST /v1/offer, at a front: take over this play, which plays at `node`."""

    front: str
    facts: PlayInfo
    node: str


class Load(msgspec.Struct, frozen=True):
    """GET /v1/load."""

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
    """A playout node, as the list service names it."""

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
    """A title, held by `places` places in a row from `first_place`."""

    title: str
    first_place: int
    places: int
    length_s: float


class Kept(msgspec.Struct, frozen=True, omit_defaults=True):
    """Of a list on disk: when the service last confirmed it (since 1970; the machine's boot and seconds since
    that), and how many changes were seen in how many node-seconds.
    """

    unix_ms: int = 0
    boot: str = ""
    steady_s: float = 0.0
    changes: float = 0.0
    watched_s: float = 0.0


class Listing(msgspec.Struct, frozen=True, omit_defaults=True):
    """A line of GET /v1/list?front=NAME&have=VERSION&life=LIFE.

    `how`: whole, changes (since `since`; none, and the same version: what is had stands), tick. `life` names
    the service's life, in which versions count.
    """

    how: str
    version: int = 0
    since: int = 0
    rows: list[Row] = []
    titles: list[Title] = []
    life: str = ""
    kept: Kept | None = None


# What a list or an inventory may say; beyond it there is a slip, or nothing that can be reckoned with.
ROW_BOUNDS = {"port": (1, 65535), "place": (0, 1_000_000), "weight": (1e-3, 1e6), "started_ms": (0, 1 << 53)}
TITLE_BOUNDS = {"first_place": (0, 1_000_000), "places": (1, 1_000_000), "length_s": (0.1, 1e7)}


def wrong(thing: Row | Title) -> str:
    """What can't be right about a row or title; "" where nothing is."""
    for name, (low, high) in (ROW_BOUNDS if isinstance(thing, Row) else TITLE_BOUNDS).items():
        if not low <= getattr(thing, name) <= high:
            return f"{name}: found {getattr(thing, name):g}, expected {low:g} to {high:g}"
    return (
        ""
        if isinstance(thing, Title) or is_address(thing.address)
        else f"address: found {thing.address[:40]!r}, expected an IPv4 or IPv6 address"
    )


def is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


encode = msgspec.json.Encoder().encode
_decoders: dict[type, msgspec.json.Decoder] = {}


def decode(form: type, data: bytes):
    """`data` as a `form`, or `DecodeError` with what is wrong."""
    decoder = _decoders.get(form)
    if decoder is None:
        decoder = _decoders[form] = msgspec.json.Decoder(form)
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise DecodeError(str(err)) from None


class Lines:
    """Cuts a stream into its lines; `DecodeError` for one without end."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > LINE:
            raise DecodeError("a line without end")
        return [line for line in lines if line]
