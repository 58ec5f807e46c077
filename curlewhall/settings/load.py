"""Loads and validates the operator's file.

The command line, the daemon and its workers call `load`; no front starts from a file with a problem in it.
"""

import ipaddress
import os
import re
import stat
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

from google.protobuf import text_format
from google.protobuf.message import Message

from curlewhall.errors import CurlewhallError

from . import front_pb2
from .keys import read_keys
from .positions import Position, positions


class Problem(NamedTuple):
    """One invalid or missing value, with its position in the file."""

    line: int
    column: int
    field: str  # path of the field, such as `product[1].floor`; "" for a syntax or encoding error
    found: str
    expected: str

    def __str__(self) -> str:
        prefix = f"{self.field}: " if self.field else ""
        return f"line {self.line}, column {self.column}: {prefix}found {self.found}, expected {self.expected}"


class SettingsError(CurlewhallError):
    """The settings file is invalid. `problems` lists everything that is wrong with it."""

    remedy = (
        "Correct the fields named above; 'curlewhall check FILE' validates a file without starting a front."
    )

    def __init__(self, path: str, problems: list[Problem]) -> None:
        super().__init__("\n".join(f"{path}: {problem}" for problem in problems))
        self.path = path
        self.problems = problems


def load(path: str | os.PathLike) -> front_pb2.FrontFile:
    """Reads and validates the file at `path`.

    Raises `SettingsError` with every problem, or `OSError` if the file can't be read.
    """
    raw = Path(path).read_bytes()
    try:
        text = raw.decode("utf-8-sig")
    except UnicodeDecodeError as err:
        line = raw.count(b"\n", 0, err.start) + 1
        column = err.start - (raw.rfind(b"\n", 0, err.start) + 1) + 1
        problem = Problem(line, column, "", f"byte 0x{raw[err.start]:02x}", "text in UTF-8")
        raise SettingsError(str(path), [problem]) from None
    return parse(text, str(path))


def parse(text: str, path: str = "settings") -> front_pb2.FrontFile:
    """Parses and validates a settings text; `path` names it in error messages.

    Raises `SettingsError` with every problem.
    """
    settings = front_pb2.FrontFile()
    try:
        text_format.Parse(text, settings)
    except text_format.ParseError as err:
        line, column, why = err.GetLine() or 1, err.GetColumn() or 1, str(err)
        # the parser's message starts with its own line and column, which `Problem` states already
        why = re.sub(r"^'?\d+:\d+ : ('.*': )?", "", why, flags=re.S).strip("'.")
        raise SettingsError(
            path, [Problem(line, column, "", why, "valid protobuf text format as in the guide")]
        ) from None
    field_positions = positions(text)
    problems = []
    for field, found, expected in check_settings(settings):
        line, column = position_of(field, field_positions)
        problems.append(Problem(line, column, field, found, expected))
    if problems:
        raise SettingsError(path, sorted(problems))
    return settings


def position_of(field: str, field_positions: dict[str, Position]) -> Position:
    """The position of a field, or of the nearest message around it if the field is missing."""
    while field:
        if field in field_positions:
            return field_positions[field]
        field = field.rpartition(".")[0]
    return 1, 1


Findings = Iterator[tuple[str, str, str]]  # for each problem: field path, what was found, what was expected

HS256_MIN_KEY_BYTES = 32  # RFC 7518 section 3.2: an HS256 key has at least 256 bits
MIN_MEMBER_KEY_FILE_BYTES = 32  # one key of 16 bytes in hexadecimal
MIN_CONSOLE_TOKEN_BYTES = 16

REQUIRED = {
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
REQUIRED_IN_EACH = {
    "peer": ("index", "address", "port"),
    "customer": ("name", "allowance_per_s"),
    "product": ("name", "importance", "first_frame_target_ms", "time_limit_ms", "idempotency"),
}


def missing_fields(message: Message, names: tuple[str, ...]) -> list[str]:
    """Those of `names` that have no value in `message`; an explicitly written default counts as a value."""
    present = {field.name for field, _ in message.ListFields()}
    return [
        name
        for name in names
        if name not in present
        and not (not message.DESCRIPTOR.fields_by_name[name].is_repeated and message.HasField(name))
    ]


def check_settings(file: front_pb2.FrontFile) -> Findings:
    """Every problem of a parsed file, in no particular order."""
    required = (
        REQUIRED
        if not file.inventory.file or file.HasField("list_service")
        else {name: fields for name, fields in REQUIRED.items() if name != "list_service"}
    )
    missing_groups = [name for name in required if not file.HasField(name)]
    for name in missing_groups:
        alternative = ", or an inventory { file: ... }" if name == "list_service" else ""
        yield name, "nothing", f"a group {name} {{ ... }}{alternative}"
    for name, fields in required.items():
        for field in missing_fields(getattr(file, name), fields) if name not in missing_groups else ():
            yield f"{name}.{field}", "nothing", "a value"
    for name, fields in REQUIRED_IN_EACH.items():
        for i, message in enumerate(getattr(file, name)):
            for field in missing_fields(message, fields):
                yield f"{name}[{i}].{field}", "nothing", "a value"
    if not file.product:
        yield "product", "none", "at least one product"
    for check in (
        check_addresses,
        check_ladder,
        check_products,
        check_fleet,
        check_rules,
        check_limits,
        check_tokens,
        check_console,
        check_inventory,
    ):
        yield from check(file)


def check_range(field: str, value: float, low: float, high: float, unit: str = "") -> Findings:
    """A problem if `value` lies outside `low` to `high`, both inclusive; NaN lies outside any range."""
    if not low <= value <= high:
        yield field, f"{value:g}", f"{low:g} to {high:g}{unit}"


def check_unique(field_of: Callable[[int], str], values: list) -> Findings:
    """A problem for each repeated value of the list; `field_of` names the field of an entry."""
    for i, value in enumerate(values):
        if value in values[:i]:
            yield field_of(i), repr(value), f"a value not used before (entry {values.index(value)} has it)"


def check_addresses(file: front_pb2.FrontFile) -> Findings:
    """Addresses, ports, peers and the identity of this front."""
    endpoints = [
        ("listen", file.listen, "address", "port"),
        ("list_service", file.list_service, "address", "port"),
    ]
    if file.listen.peer_port:
        endpoints.append(("listen", file.listen, "peer_address", "peer_port"))
    endpoints += [(f"peer[{i}]", peer, "address", "port") for i, peer in enumerate(file.peer)]
    for prefix, message, address, port in endpoints:
        if message.HasField(address):
            try:
                ipaddress.ip_address(getattr(message, address))
            except ValueError:
                yield f"{prefix}.{address}", repr(getattr(message, address)), "an IPv4 or IPv6 address"
        if message.HasField(port):
            yield from check_range(f"{prefix}.{port}", getattr(message, port), 1, 65535)
    identity = file.identity
    if identity.HasField("fronts"):
        yield from check_range("identity.fronts", identity.fronts, 1, 10_000)
        if identity.HasField("index") and identity.index >= max(1, identity.fronts):
            yield "identity.index", str(identity.index), f"less than identity.fronts ({identity.fronts})"
    if identity.HasField("name") and not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", identity.name):
        yield "identity.name", repr(identity.name), "1 to 64 letters, digits, dots, dashes"
    yield from check_unique(lambda i: f"peer[{i}].index", [peer.index for peer in file.peer])
    for i, peer in enumerate(file.peer):
        if peer.url and not re.fullmatch(r"http://([0-9.]+|\[[0-9a-fA-F:]+\]):\d{1,5}/?", peer.url):
            yield f"peer[{i}].url", repr(peer.url), "http://ADDRESS:PORT"
        if peer.HasField("index") and peer.index == identity.index:
            yield f"peer[{i}].index", str(peer.index), "another front's index, not this one's"


def check_ladder(file: front_pb2.FrontFile) -> Findings:
    """The ladder: as many worths as rungs, both strictly rising."""
    rungs, worth = list(file.ladder.rung_kb), list(file.ladder.worth)
    if rungs and len(rungs) != len(worth):
        yield "ladder.worth", f"{len(worth)} values", f"one for each rung ({len(rungs)})"
    for name, values in (("rung_kb", rungs), ("worth", worth)):
        for i, value in enumerate(values):
            low = values[i - 1] if i else 0
            if not low < value <= 1e12:
                yield (
                    f"ladder.{name}[{i}]",
                    f"{value:g}",
                    f"more than {low:g} (values must rise) and at most 1e12",
                )


def check_products(file: front_pb2.FrontFile) -> Findings:
    """Products and customers."""
    yield from check_unique(lambda i: f"product[{i}].name", [p.name for p in file.product])
    yield from check_unique(lambda i: f"customer[{i}].name", [c.name for c in file.customer])
    highest_rung = max(0, len(file.ladder.rung_kb) - 1)
    for i, product in enumerate(file.product):
        prefix = f"product[{i}]"
        if product.HasField("importance"):
            yield from check_range(f"{prefix}.importance", product.importance, 1e-6, 1e6)
        if product.HasField("time_limit_ms"):
            yield from check_range(f"{prefix}.time_limit_ms", product.time_limit_ms, 100, 600_000, " ms")
        if product.first_frame_target_ms > product.time_limit_ms:
            yield (
                f"{prefix}.first_frame_target_ms",
                str(product.first_frame_target_ms),
                f"at most the time limit ({product.time_limit_ms})",
            )
        if product.time_limit_ms and file.limits.answer_margin_ms * 2 > product.time_limit_ms:
            yield (
                f"{prefix}.time_limit_ms",
                str(product.time_limit_ms),
                f"at least twice limits.answer_margin_ms ({file.limits.answer_margin_ms})",
            )
        if product.HasField("top"):
            yield from check_range(f"{prefix}.top", product.top, 0, highest_rung)
        if product.floor > (product.top if product.HasField("top") else highest_rung):
            yield f"{prefix}.floor", str(product.floor), "at most its highest rung"
        if product.HasField("scale"):
            yield from check_range(f"{prefix}.scale", product.scale, 0.01, 100)
    for i, customer in enumerate(file.customer):
        yield from check_range(f"customer[{i}].allowance_per_s", customer.allowance_per_s, 0, 1e9)


def check_fleet(file: front_pb2.FrontFile) -> Findings:
    """Node kinds, places, racks, link rates and zones."""
    yield from check_unique(lambda i: f"fleet.kind[{i}].name", [kind.name for kind in file.fleet.kind])
    for i, kind in enumerate(file.fleet.kind):
        yield from check_range(f"fleet.kind[{i}].streams", kind.streams, 1, 1_000_000)
    for name in ("places", "racks"):
        if file.fleet.HasField(name):
            yield from check_range(f"fleet.{name}", getattr(file.fleet, name), 1, 1_000_000)
    for name in ("uplink_kb", "link_unit_kb"):
        if file.fleet.HasField(name):
            yield from check_range(f"fleet.{name}", getattr(file.fleet, name), 1e-3, 1e12, " kB/s")
    zones = list(file.fleet.zone)
    if zones and file.identity.HasField("zone") and file.identity.zone not in zones:
        yield "identity.zone", repr(file.identity.zone), f"one of fleet.zone ({', '.join(zones)})"


def check_rules(file: front_pb2.FrontFile) -> Findings:
    """Rules of admission and the number of allocations per play."""
    rules = file.rules
    for name, low, high in (("overload_factor", 1, 1000), ("start_capacity", 0.001, 1)):
        if rules.HasField(name):
            yield from check_range(f"rules.{name}", getattr(rules, name), low, high)
    for name in ("fall_ms", "warm_within_ms", "look_back_ms"):
        if rules.HasField(name):
            yield from check_range(f"rules.{name}", getattr(rules, name), 1, 86_400_000, " ms")
    if rules.HasField("extra_per_request"):
        yield from check_range("rules.extra_per_request", rules.extra_per_request, 0, 16)
    present = [
        name for name in ("look_back_ms", "spare_allocations", "extra_per_request") if rules.HasField(name)
    ]
    if present and len(present) < 3:
        yield (
            f"rules.{present[0]}",
            f"only {', '.join(present)}",
            "look_back_ms, spare_allocations and extra_per_request together, or none of them",
        )
    if file.permissions.HasField("max_allocations"):
        yield from check_range("permissions.max_allocations", file.permissions.max_allocations, 1, 16)


def check_limits(file: front_pb2.FrontFile) -> Findings:
    """Connection limits and the log level."""
    for field, value in file.limits.ListFields():
        low = 0 if field.name == "answer_margin_ms" else 1
        yield from check_range(f"limits.{field.name}", value, low, 1 << 30)
    if file.limits.HasField("head_bytes") and file.limits.line_bytes > file.limits.head_bytes:
        yield (
            "limits.line_bytes",
            str(file.limits.line_bytes),
            f"at most head_bytes ({file.limits.head_bytes})",
        )
    if file.logs.HasField("level") and file.logs.level not in ("debug", "info", "warning", "error"):
        yield "logs.level", repr(file.logs.level), "debug, info, warning or error"


def check_tokens(file: front_pb2.FrontFile) -> Findings:
    """The key file of the playback tokens."""
    if file.tokens.key_file:
        yield from check_secret_file("tokens.key_file", file.tokens.key_file, HS256_MIN_KEY_BYTES)


def check_console(file: front_pb2.FrontFile) -> Findings:
    """The number of workers and the console."""
    if file.daemon.HasField("workers"):
        yield from check_range("daemon.workers", file.daemon.workers, 1, 64)
    page = file.console
    if not file.HasField("console"):
        return
    for field in missing_fields(page, ("address", "port")):
        yield f"console.{field}", "nothing", "a value"
    if page.HasField("port"):
        yield from check_range("console.port", page.port, 1, 65535)
    if page.HasField("address"):
        try:
            exposed = not ipaddress.ip_address(page.address).is_loopback
        except ValueError:
            yield "console.address", repr(page.address), "an IPv4 or IPv6 address"
            return
        if exposed and not page.token_file:
            yield "console.address", repr(page.address), "a loopback address, or a token_file beside it"
    if page.token_file:
        yield from check_secret_file("console.token_file", page.token_file, MIN_CONSOLE_TOKEN_BYTES)


def check_secret_file(field: str, name: str, min_bytes: int) -> Findings:
    """Problems of the secret file `name`: unreadable, too short, or accessible to group or others."""
    try:
        status = os.stat(name)
    except OSError as err:
        yield field, f"{name!r}: {err.strerror}", "a file that can be read"
        return
    if status.st_size < min_bytes:
        yield field, f"{status.st_size} bytes", f"at least {min_bytes} bytes"
    if stat.S_IMODE(status.st_mode) & 0o077:
        yield field, f"mode {stat.S_IMODE(status.st_mode):o}", "no access but the owner's (600)"


def check_inventory(file: front_pb2.FrontFile) -> Findings:
    """The key file of the membership and the inventory files."""
    if file.HasField("members"):
        if not file.members.key_file:
            yield "members.key_file", "nothing", "the name of a key file"
        else:
            yield from check_secret_file("members.key_file", file.members.key_file, MIN_MEMBER_KEY_FILE_BYTES)
            try:
                read_keys(file.members.key_file)
            except (OSError, ValueError) as err:
                yield "members.key_file", str(err), "hexadecimal keys, one per line"
    if not file.HasField("inventory"):
        return
    if not file.inventory.file:
        yield "inventory.file", "nothing", "the name of a file"
    elif file.inventory.titles_file and file.inventory.file.lower().endswith((".yaml", ".yml")):
        yield (
            "inventory.titles_file",
            repr(file.inventory.titles_file),
            "no titles_file: a YAML inventory holds the titles itself",
        )
