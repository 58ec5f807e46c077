"""Parses and checks viewers' set-ups. No I/O, no clock."""

import re
from collections.abc import Mapping
from typing import Any, NamedTuple

from curlewhall.codecs import messages
from curlewhall.errors import CurlewhallError
from curlewhall.platform_names import milliseconds_to_ticks

MAX_PATIENCE = 10  # times a product's time limit: viewers wait no longer than that limit
TITLE_ID = re.compile(rb"[0-9a-f]{16}")
VIEWER_ID = re.compile(r"[0-9a-f]{1,16}")
NUMBER = re.compile(r"\d{1,9}")


class SetUpError(CurlewhallError):
    """A set-up that can't be accepted; the text says why."""

    remedy = "Look at the client that sent it: its set-up breaks the protocol, and it was refused."


class PlayInfo(NamedTuple):
    """What a set-up says of its play, and where the title is held."""

    play: str
    product: str
    viewer: str
    title: str
    top: int
    rung: int
    first_place: int
    places: int
    customer: str = ""
    number: int = 0


class ParsedSetUp(NamedTuple):
    """A set-up that can be used."""

    info: PlayInfo
    attributes: dict[str, str]
    patience: int  # ticks; 0 for a session that runs already


class SetUpForm:
    """What a set-up must look like, by the start settings."""

    def __init__(self, start_settings: Mapping[str, Any]) -> None:
        floors = start_settings["specifics.floor_by_class"]
        # product -> its lowest rung, and the longest patience that is accepted
        self.products = {
            p["name"]: (floors[i], MAX_PATIENCE * p["time_limit"])
            for i, p in enumerate(start_settings["products"])
        }
        self.places = max(1, start_settings["specifics.places"])
        self.rungs = len(start_settings["specifics.rung_kb"])

    def parse(self, message: messages.Message) -> ParsedSetUp:
        """The parts of a set-up; raises `SetUpError` for what the module must not get."""
        fields = message.fields
        missing = [
            code
            for code in (messages.PRODUCT, messages.TITLE, messages.ATTRIBUTES, messages.DESCRIPTION)
            if code not in fields
        ]
        if missing:
            raise SetUpError(f"set-up lacks parameters {missing}")
        if not int(message.session, 16):
            raise SetUpError("session id must not be 0")
        product = self.products.get(fields[messages.PRODUCT].decode("latin-1"))
        if product is None:
            raise SetUpError(f"product {fields[messages.PRODUCT][:40]!r} is unknown")
        if not TITLE_ID.fullmatch(fields[messages.TITLE]):
            raise SetUpError(f"title must be 16 hex digits, not {fields[messages.TITLE][:40]!r}")
        text = fields[messages.ATTRIBUTES].decode("latin-1")
        pairs = [part.partition(":") for part in text.split(";") if part]
        attributes = {key: value for key, _, value in pairs}
        if len(attributes) != len(pairs) or not VIEWER_ID.fullmatch(attributes.get("viewer", "")):
            raise SetUpError("attributes must name each key once, and a hexadecimal viewer")
        home, copies, top = (
            self.parse_number(attributes.get(key, ""), key) for key in ("home", "copies", "top")
        )
        if home >= self.places or not 0 < copies <= self.places or top >= self.rungs:
            raise SetUpError(
                f"home {home}, copies {copies} or top {top} is out of range "
                f"with {self.places} places and {self.rungs} rungs"
            )
        patience = 0
        if "at" not in attributes:
            patience = milliseconds_to_ticks(
                self.parse_number(fields.get(messages.PATIENCE, b"").decode("latin-1"), "patience")
            )
            if not 0 < patience <= product[1]:
                raise SetUpError(f"patience must be above 0 and at most {product[1] // 10} ms")
        info = PlayInfo(
            message.session,
            fields[messages.PRODUCT].decode("latin-1"),
            attributes["viewer"],
            fields[messages.TITLE].decode("latin-1"),
            top,
            product[0],
            home,
            copies,
        )
        return ParsedSetUp(info, attributes, patience)

    def parse_number(self, text: str, name: str) -> int:
        """A number of a set-up; raises `SetUpError`, which names it, if `text` is none."""
        if not NUMBER.fullmatch(text):
            raise SetUpError(f"{name} must be a number of at most 9 digits, not {text[:40]!r}")
        return int(text)
