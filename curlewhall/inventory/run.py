"""Reads inventory files and follows them while plays run. The only part with I/O."""

import hashlib
import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from curlewhall.errors import describe
from curlewhall.wire import forms

from . import csvform, yamlform
from .decide import applied, compare, implausible
from .form import Complaint, Inventory, InventoryError, text_of

EVERY = 0.5  # seconds between two looks at the files
YAML = (".yaml", ".yml")


class Files(NamedTuple):
    """Where an inventory stands: one YAML file, or one or two of CSV."""

    hosts: str
    titles: str = ""


class Read(NamedTuple):
    inventory: Inventory
    digest: str


def load(files: Files, places: int = 0) -> Read:
    """Read and check; `InventoryError` with all complaints, `OSError` where a file can't be read."""
    raw = [Path(name).read_bytes() for name in files if name]
    texts = [text_of(data, name) for data, name in zip(raw, filter(None, files), strict=True)]
    if Path(files.hosts).suffix.lower() in YAML:
        if files.titles:
            raise InventoryError(
                [Complaint(1, "the titles of a YAML inventory stand in the same file", files.titles)]
            )
        found = yamlform.read(texts[0], places, files.hosts)
    else:
        found = csvform.read(
            texts[0], texts[1] if files.titles else None, places, (files.hosts, files.titles)
        )
    return Read(found, hashlib.sha256(b"\0".join(raw)).hexdigest()[:12])


def stamp(files: Files) -> tuple:
    """What tells that a file is another one: replaced by a rename, through a link, or written in place."""
    found = []
    for name in filter(None, files):
        try:
            facts = os.stat(name)
            found.append((facts.st_dev, facts.st_ino, facts.st_size, facts.st_mtime_ns))
        except OSError as err:
            found.append((err.errno,))
    return tuple(found)


class Watcher:
    """Follows the files. `take(rows, titles)` gets each list to act on; `held(node)` counts plays there."""

    def __init__(
        self,
        files: Files,
        places: int,
        drain_within: int,
        timers,
        clock,
        log,
        take: Callable[[list[forms.Row], list[forms.Title]], None],
        held: Callable[[str], int],
        base: Callable[[], Inventory | None] = lambda: None,
    ) -> None:
        self.files, self.places, self.drain_within = files, places, drain_within
        self.timers, self.clock, self.log, self.take, self.held = timers, clock, log, take, held
        self.base = base  # what a process before took last, so that its checks hold over a restart
        self.good: Read | None = None
        self.seen: tuple = ()  # at the last look
        self.done: tuple = ()  # what was read last, good or bad
        self.waiting = ""  # the digest of a change that waits for a person's word
        self.complaints = ""
        self.leaving: dict[str, tuple[forms.Row, int]] = {}
        self.timer, self.closed, self.acted = None, False, ()

    def start(self) -> None:
        """Read what is there now; a bad file at the start is told, and looked at again."""
        self.seen = stamp(self.files)
        self.look()

    def look(self) -> None:
        if self.closed:
            return
        now = stamp(self.files)
        # Danger: a file that is half written when it is read. Only one that two looks find alike is read,
        # and only if it is still the same afterwards.
        if now == self.seen and now != self.done:
            self.read(now)
        elif self.leaving:
            self.act()
        self.seen = now
        self.timer = self.timers.after(EVERY, self.look)

    def read(self, now: tuple) -> None:
        try:
            found = load(self.files, self.places)
        except InventoryError as err:
            self.refuse(describe(err), now)
            return
        except OSError as err:
            self.refuse(f"{err.filename}: {err.strerror}", now)
            return
        if stamp(self.files) != now:
            return  # written meanwhile: the next look tells
        self.done, self.complaints = now, ""
        self.consider(found)

    def refuse(self, why: str, now: tuple) -> None:
        if stamp(self.files) == now:
            self.done, self.complaints = now, why
            self.log.error("the inventory is refused; the last good one is kept", why=why)

    def consider(self, found: Read, confirmed: bool = False) -> None:
        old = self.good.inventory if self.good is not None else self.base()
        if old is not None:
            difference = compare(old, found.inventory)
            if not difference and self.good is not None:
                self.good, self.waiting = found, ""
                return
            why = implausible(old, difference)
            if why and not confirmed:
                self.waiting = found.digest
                self.log.error("the inventory's change waits to be confirmed", why=why, digest=found.digest)
                return
            until = self.clock.now() + self.drain_within
            for node in difference.gone:
                row = forms.msgspec.structs.replace(old.rows[node], state="draining")
                self.leaving[node] = row, until
            self.log.info("inventory changed", changes=difference.lines()[:40], digest=found.digest)
        else:
            self.log.info(
                "inventory read",
                nodes=len(found.inventory.rows),
                titles=len(found.inventory.titles),
                digest=found.digest,
            )
        self.good, self.waiting = found, ""
        self.act()

    def act(self) -> None:
        """Danger: a node taken out of the file with plays on it drains first; plays are moved, not cut."""
        held = {node: self.held(node) for node in self.leaving}
        rows, self.leaving = applied(self.clock.now(), self.good.inventory, self.leaving, held)
        acted = self.good.digest, frozenset(self.leaving)
        if acted != self.acted:
            self.acted = acted
            self.take(rows, list(self.good.inventory.titles.values()))

    def confirm(self, digest: str) -> str:
        """Take the change that waits, if it is still this one; "" or what is wrong."""
        if not self.waiting:
            return "no change waits to be confirmed"
        try:
            found = load(self.files, self.places)
        except (InventoryError, OSError) as err:
            return describe(err)
        if digest != self.waiting or found.digest != digest:
            return f"the change that waits is {self.waiting}, the file is {found.digest} now"
        self.consider(found, confirmed=True)
        return ""

    def state(self) -> dict:
        return {
            "files": [name for name in self.files if name],
            "digest": self.good.digest if self.good else "",
            "nodes": len(self.good.inventory.rows) if self.good else 0,
            "waiting": self.waiting,
            "leaving": sorted(self.leaving),
            "complaints": self.complaints.splitlines()[:20],
        }

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
