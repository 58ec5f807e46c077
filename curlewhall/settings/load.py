"""Loading and checking the operator's file. Nothing is started from a file with a complaint against it."""

import ipaddress
import os
import re
import stat
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

from google.protobuf import text_format

from curlewhall.errors import CurlewhallError

from . import front_pb2
from .keys import read_keys
from .positions import positions


class Complaint(NamedTuple):
    line: int
    column: int
    where: str  # the field's path; "" where the text itself can't be read
    found: str
    expected: str

    def __str__(self) -> str:
        field = f"{self.where}: " if self.where else ""
        return f"line {self.line}, column {self.column}: {field}found {self.found}, expected {self.expected}"


class SettingsError(CurlewhallError):
    """A file that is refused, with everything that is wrong with it."""

    remedy = (
        "Correct the places named above; 'curlewhall check FILE' reads the file without " "starting anything."
    )

    def __init__(self, path: str, complaints: list[Complaint]) -> None:
        super().__init__("\n".join(f"{path}: {c}" for c in complaints))
        self.path, self.complaints = path, complaints


def load(path: str | os.PathLike) -> front_pb2.FrontFile:
    """Read and check a file; `SettingsError` with all complaints, `OSError` where it can't be read."""
    raw = Path(path).read_bytes()
    try:
        text = raw.decode("utf-8-sig")
    except UnicodeDecodeError as err:
        line = raw.count(b"\n", 0, err.start) + 1
        column = err.start - (raw.rfind(b"\n", 0, err.start) + 1) + 1
        wrong = Complaint(line, column, "", f"byte 0x{raw[err.start]:02x}", "text in UTF-8")
        raise SettingsError(str(path), [wrong]) from None
    return parse(text, str(path))


def parse(text: str, path: str = "settings") -> front_pb2.FrontFile:
    """The same of a text."""
    found = front_pb2.FrontFile()
    try:
        text_format.Parse(text, found)
    except text_format.ParseError as err:
        line, column, why = err.GetLine() or 1, err.GetColumn() or 1, str(err)
        why = re.sub(r"^'?\d+:\d+ : ('.*': )?", "", why, flags=re.S).strip("'.")
        raise SettingsError(
            path, [Complaint(line, column, "", why, "protobuf text as in the guide")]
        ) from None
    places = positions(text)
    complaints = []
    for where, seen, expected in checks(found):
        line, column = place_of(where, places)
        complaints.append(Complaint(line, column, where, seen, expected))
    if complaints:
        raise SettingsError(path, sorted(complaints))
    return found


def place_of(where: str, places: dict[str, tuple[int, int]]) -> tuple[int, int]:
    """Where a field stands; a missing one, where its group does."""
    while where:
        if where in places:
            return places[where]
        where = where.rpartition(".")[0]
    return 1, 1


Wrong = Iterator[tuple[str, str, str]]  # field, found, expected

NEEDED = {
    "identity": ("name", "index", "fronts", "zone"),
    "listen": ("address", "port"),
    "list_service": ("address", "port"),
    "ladder": ("rung_kb", "worth"),
    "fleet": ("kind", "zone", "places", "racks", "uplink_kb", "link_unit_kb"),
    "reports": ("how",),
    "permissions": ("max_allocations",),
    "tokens": ("key_file",),
    "rules": ("drain_grace_ms", "fall_ms", "overload_factor", "start_capacity", "warm_within_ms"),
}
NEEDED_OF_EACH = {
    "peer": ("index", "address", "port"),
    "customer": ("name", "allowance_per_s"),
    "product": ("name", "importance", "first_frame_target_ms", "time_limit_ms", "idempotency"),
}


def missing(message, names) -> list[str]:
    there = {field.name for field, _ in message.ListFields()}
    return [
        name
        for name in names
        if name not in there
        and not (not message.DESCRIPTOR.fields_by_name[name].is_repeated and message.HasField(name))
    ]


def checks(file: front_pb2.FrontFile) -> Wrong:
    """Everything that is wrong, field by field."""
    needed = (
        NEEDED
        if not file.inventory.file or file.HasField("list_service")
        else {name: fields for name, fields in NEEDED.items() if name != "list_service"}
    )
    lacking = [name for name in needed if not file.HasField(name)]
    for name in lacking:
        more = ", or an inventory { file: ... }" if name == "list_service" else ""
        yield name, "nothing", f"a group {name} {{ ... }}{more}"
    for name, fields in needed.items():
        for field in missing(getattr(file, name), fields) if name not in lacking else ():
            yield f"{name}.{field}", "nothing", "a value"
    for name, fields in NEEDED_OF_EACH.items():
        for i, message in enumerate(getattr(file, name)):
            for field in missing(message, fields):
                yield f"{name}[{i}].{field}", "nothing", "a value"
    if not file.product:
        yield "product", "none", "one product at least"
    for check in (addresses, ladder, products, fleet, rules, limits, keys, console, inventory):
        yield from check(file)


def bound(where: str, value: float, low: float, high: float, unit: str = "") -> Wrong:
    if not low <= value <= high:
        yield where, f"{value:g}", f"{low:g} to {high:g}{unit}"


def once(where: Callable[[int], str], values: list) -> Wrong:
    for i, value in enumerate(values):
        if value in values[:i]:
            yield where(i), repr(value), f"a value not used before (it stands in entry {values.index(value)})"


def addresses(file) -> Wrong:
    pairs = [
        ("listen", file.listen, "address", "port"),
        ("list_service", file.list_service, "address", "port"),
    ]
    if file.listen.peer_port:
        pairs.append(("listen", file.listen, "peer_address", "peer_port"))
    pairs += [(f"peer[{i}]", peer, "address", "port") for i, peer in enumerate(file.peer)]
    for head, message, address, port in pairs:
        if message.HasField(address):
            try:
                ipaddress.ip_address(getattr(message, address))
            except ValueError:
                yield f"{head}.{address}", repr(getattr(message, address)), "an IPv4 or IPv6 address"
        if message.HasField(port):
            yield from bound(f"{head}.{port}", getattr(message, port), 1, 65535)
    identity = file.identity
    if identity.HasField("fronts"):
        yield from bound("identity.fronts", identity.fronts, 1, 10_000)
        if identity.HasField("index") and identity.index >= max(1, identity.fronts):
            yield "identity.index", str(identity.index), f"less than identity.fronts ({identity.fronts})"
    if identity.HasField("name") and not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", identity.name):
        yield "identity.name", repr(identity.name), "1 to 64 letters, digits, dots, dashes"
    yield from once(lambda i: f"peer[{i}].index", [peer.index for peer in file.peer])
    for i, peer in enumerate(file.peer):
        if peer.url and not re.fullmatch(r"http://([0-9.]+|\[[0-9a-fA-F:]+\]):\d{1,5}/?", peer.url):
            yield f"peer[{i}].url", repr(peer.url), "http://ADDRESS:PORT"
        if peer.HasField("index") and peer.index == identity.index:
            yield f"peer[{i}].index", str(peer.index), "another front's index, not this one's"


def ladder(file) -> Wrong:
    rungs, worth = list(file.ladder.rung_kb), list(file.ladder.worth)
    if rungs and len(rungs) != len(worth):
        yield "ladder.worth", f"{len(worth)} values", f"one for each rung ({len(rungs)})"
    for name, values in (("rung_kb", rungs), ("worth", worth)):
        for i, value in enumerate(values):
            low = values[i - 1] if i else 0
            if not low < value <= 1e12:
                yield f"ladder.{name}[{i}]", f"{value:g}", f"more than {low:g}: rungs rise, to 1e12 at most"


def products(file) -> Wrong:
    yield from once(lambda i: f"product[{i}].name", [p.name for p in file.product])
    yield from once(lambda i: f"customer[{i}].name", [c.name for c in file.customer])
    highest = max(0, len(file.ladder.rung_kb) - 1)
    for i, product in enumerate(file.product):
        head = f"product[{i}]"
        if product.HasField("importance"):
            yield from bound(f"{head}.importance", product.importance, 1e-6, 1e6)
        if product.HasField("time_limit_ms"):
            yield from bound(f"{head}.time_limit_ms", product.time_limit_ms, 100, 600_000, " ms")
        if product.first_frame_target_ms > product.time_limit_ms:
            yield (
                f"{head}.first_frame_target_ms",
                str(product.first_frame_target_ms),
                f"the time limit ({product.time_limit_ms}) at most",
            )
        if product.time_limit_ms and file.limits.answer_margin_ms * 2 > product.time_limit_ms:
            yield (
                f"{head}.time_limit_ms",
                str(product.time_limit_ms),
                f"twice limits.answer_margin_ms ({file.limits.answer_margin_ms}) at least",
            )
        if product.HasField("top"):
            yield from bound(f"{head}.top", product.top, 0, highest)
        if product.floor > (product.top if product.HasField("top") else highest):
            yield f"{head}.floor", str(product.floor), "its highest rung at most"
        if product.HasField("scale"):
            yield from bound(f"{head}.scale", product.scale, 0.01, 100)
    for i, customer in enumerate(file.customer):
        yield from bound(f"customer[{i}].allowance_per_s", customer.allowance_per_s, 0, 1e9)


def fleet(file) -> Wrong:
    yield from once(lambda i: f"fleet.kind[{i}].name", [kind.name for kind in file.fleet.kind])
    for i, kind in enumerate(file.fleet.kind):
        yield from bound(f"fleet.kind[{i}].streams", kind.streams, 1, 1_000_000)
    for name in ("places", "racks"):
        if file.fleet.HasField(name):
            yield from bound(f"fleet.{name}", getattr(file.fleet, name), 1, 1_000_000)
    for name in ("uplink_kb", "link_unit_kb"):
        if file.fleet.HasField(name):
            yield from bound(f"fleet.{name}", getattr(file.fleet, name), 1e-3, 1e12, " kB a second")
    zones = list(file.fleet.zone)
    if zones and file.identity.HasField("zone") and file.identity.zone not in zones:
        yield "identity.zone", repr(file.identity.zone), f"one of fleet.zone ({', '.join(zones)})"


def rules(file) -> Wrong:
    found = file.rules
    for name, low, high in (("overload_factor", 1, 1000), ("start_capacity", 0.001, 1)):
        if found.HasField(name):
            yield from bound(f"rules.{name}", getattr(found, name), low, high)
    for name in ("fall_ms", "warm_within_ms", "look_back_ms"):
        if found.HasField(name):
            yield from bound(f"rules.{name}", getattr(found, name), 1, 86_400_000, " ms")
    if found.HasField("extra_per_request"):
        yield from bound("rules.extra_per_request", found.extra_per_request, 0, 16)
    stated = [
        name for name in ("look_back_ms", "spare_allocations", "extra_per_request") if found.HasField(name)
    ]
    if stated and len(stated) < 3:
        yield (
            f"rules.{stated[0]}",
            f"{', '.join(stated)} alone",
            "look_back_ms, spare_allocations and extra_per_request together, or none of them",
        )
    if file.permissions.HasField("max_allocations"):
        yield from bound("permissions.max_allocations", file.permissions.max_allocations, 1, 16)


def limits(file) -> Wrong:
    for field, value in file.limits.ListFields():
        low = 0 if field.name == "answer_margin_ms" else 1
        yield from bound(f"limits.{field.name}", value, low, 1 << 30)
    if file.limits.HasField("head_bytes") and file.limits.line_bytes > file.limits.head_bytes:
        yield (
            "limits.line_bytes",
            str(file.limits.line_bytes),
            f"head_bytes ({file.limits.head_bytes}) at most",
        )
    if file.logs.HasField("level") and file.logs.level not in ("debug", "info", "warning", "error"):
        yield "logs.level", repr(file.logs.level), "debug, info, warning or error"


def keys(file) -> Wrong:
    if file.tokens.key_file:  # RFC 7518 section 3.2: an HS256 key has 256 bits at least
        yield from secret("tokens.key_file", file.tokens.key_file, 32)


def console(file) -> Wrong:
    if file.daemon.HasField("workers"):
        yield from bound("daemon.workers", file.daemon.workers, 1, 64)
    page = file.console
    if not file.HasField("console"):
        return
    for field in missing(page, ("address", "port")):
        yield f"console.{field}", "nothing", "a value"
    if page.HasField("port"):
        yield from bound("console.port", page.port, 1, 65535)
    if page.HasField("address"):
        try:
            beyond = not ipaddress.ip_address(page.address).is_loopback
        except ValueError:
            yield "console.address", repr(page.address), "an IPv4 or IPv6 address"
            return
        if beyond and not page.token_file:
            yield "console.address", repr(page.address), "a loopback address, or a token_file beside it"
    if page.token_file:
        yield from secret("console.token_file", page.token_file, 16)


def secret(where: str, name: str, least: int) -> Wrong:
    try:
        facts = os.stat(name)
    except OSError as err:
        yield where, f"{name!r}: {err.strerror}", "a file that can be read"
        return
    if facts.st_size < least:
        yield where, f"{facts.st_size} bytes", f"{least} bytes at least"
    if stat.S_IMODE(facts.st_mode) & 0o077:
        yield where, f"mode {stat.S_IMODE(facts.st_mode):o}", "no access but the owner's (600)"


def inventory(file) -> Wrong:
    if file.HasField("members"):
        if not file.members.key_file:
            yield "members.key_file", "nothing", "the name of a file with keys"
        else:
            yield from secret("members.key_file", file.members.key_file, 32)
            try:
                read_keys(file.members.key_file)
            except (OSError, ValueError) as err:
                yield "members.key_file", str(err), "keys in hexadecimal, one a line"
    if not file.HasField("inventory"):
        return
    if not file.inventory.file:
        yield "inventory.file", "nothing", "the name of a file"
    elif file.inventory.titles_file and file.inventory.file.lower().endswith((".yaml", ".yml")):
        yield (
            "inventory.titles_file",
            repr(file.inventory.titles_file),
            "none: titles stand in the YAML file itself",
        )
