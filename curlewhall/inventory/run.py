"""Loads inventory files and watches them for changes while the front runs.

The command line calls `load`; a front runs a `Watcher`. Times are in seconds for timers and in ticks of a
tenth of a millisecond for deadlines.
"""

import hashlib
import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from curlewhall.errors import describe
from curlewhall.wire import forms

from . import csvform, yamlform
from .decide import compare, implausible, rows_in_effect
from .form import Inventory, InventoryError, Problem, decode_text

POLL_INTERVAL_S = 0.5
YAML_SUFFIXES = (".yaml", ".yml")


class Files(NamedTuple):
    """The paths of an inventory: one YAML file, or a CSV file of hosts and optionally one of titles."""

    hosts: str
    titles: str = ""


class LoadedInventory(NamedTuple):
    """A valid inventory, and the digest of the files that it was read from."""

    inventory: Inventory
    digest: str


def load(files: Files, places: int = 0) -> LoadedInventory:
    """Reads and validates the files; `InventoryError` with every problem, `OSError` if one can't be read.

    `places` is the number of places in the fleet; 0: unknown.
    """
    raw = [Path(name).read_bytes() for name in files if name]
    texts = [decode_text(data, name) for data, name in zip(raw, filter(None, files), strict=True)]
    if Path(files.hosts).suffix.lower() in YAML_SUFFIXES:
        if files.titles:
            raise InventoryError(
                [
                    Problem(
                        1,
                        "a separate titles file, but a YAML inventory holds the titles itself",
                        files.titles,
                    )
                ]
            )
        inventory = yamlform.read(texts[0], places, files.hosts)
    else:
        inventory = csvform.read(
            texts[0], texts[1] if files.titles else None, places, (files.hosts, files.titles)
        )
    return LoadedInventory(inventory, hashlib.sha256(b"\0".join(raw)).hexdigest()[:12])


def file_signature(files: Files) -> tuple:
    """Changes when a file is replaced by a rename, through a symbolic link, or written in place."""
    signature = []
    for name in filter(None, files):
        try:
            status = os.stat(name)
            signature.append((status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns))
        except OSError as err:
            signature.append((err.errno,))
    return tuple(signature)


class Watcher:
    """Watches the files and passes each accepted inventory on.

    An invalid file is logged and the last valid inventory stays in use. An implausible change is held back
    until an operator confirms it by its digest.
    """

    def __init__(
        self,
        files: Files,
        places: int,
        drain_within: int,
        timers,
        clock,
        log,
        on_change: Callable[[list[forms.Row], list[forms.Title]], None],
        count_plays: Callable[[str], int],
        previous_inventory: Callable[[], Inventory | None] = lambda: None,
    ) -> None:
        """`places`: number of places in the fleet; `drain_within`: maximum duration of a drain, in ticks.

        `on_change(rows, titles)` receives each inventory that takes effect; `count_plays(node)` returns the
        number of plays held at a node. `previous_inventory()` returns what the previous process used, so that
        the check for implausible changes also covers a restart; None if there is none.
        """
        self.files = files
        self.places = places
        self.drain_within = drain_within
        self.timers = timers
        self.clock = clock
        self.log = log
        self.on_change = on_change
        self.count_plays = count_plays
        self.previous_inventory = previous_inventory
        self.current: LoadedInventory | None = None
        self.last_signature: tuple = ()  # at the last poll
        self.processed_signature: tuple = ()  # of the files read last, valid or not
        self.pending_digest = ""  # of a change that needs confirmation
        self.error = ""  # why the files read last were rejected
        self.removed: dict[str, tuple[forms.Row, int]] = {}  # node -> its row, end of its drain in ticks
        self.timer = None
        self.closed = False
        self.published = ()  # the digest and the removed nodes of the last call of `on_change`

    def start(self) -> None:
        """Reads the files and starts polling; an invalid file is logged and polled like later ones."""
        self.last_signature = file_signature(self.files)
        self.poll()

    def poll(self) -> None:
        """Reads the files if they have changed, and schedules the next poll."""
        if self.closed:
            return
        signature = file_signature(self.files)
        # A file may still be being written: it is read only when two polls find the same signature, and used
        # only if the signature is still the same after reading.
        if signature == self.last_signature and signature != self.processed_signature:
            self.read(signature)
        elif self.removed:
            self.publish()
        self.last_signature = signature
        self.timer = self.timers.after(POLL_INTERVAL_S, self.poll)

    def read(self, signature: tuple) -> None:
        """Reads the files and uses, holds back or rejects their inventory."""
        try:
            loaded = load(self.files, self.places)
        except InventoryError as err:
            self.reject(describe(err), signature)
            return
        except OSError as err:
            self.reject(f"{err.filename}: {err.strerror}", signature)
            return
        if file_signature(self.files) != signature:
            return  # changed during reading: the next poll reads it again
        self.processed_signature = signature
        self.error = ""
        self.consider(loaded)

    def reject(self, why: str, signature: tuple) -> None:
        """Keeps the current inventory and reports why, unless the files have changed again."""
        if file_signature(self.files) == signature:
            self.processed_signature = signature
            self.error = why
            self.log.error("inventory rejected; the last valid one stays in use", why=why)

    def consider(self, loaded: LoadedInventory, confirmed: bool = False) -> None:
        """Puts a valid inventory into use, or holds it back if it is implausible and not `confirmed`."""
        old = self.current.inventory if self.current is not None else self.previous_inventory()
        if old is not None:
            difference = compare(old, loaded.inventory)
            if not difference and self.current is not None:
                self.current = loaded
                self.pending_digest = ""
                return
            why = implausible(old, difference)
            if why and not confirmed:
                self.pending_digest = loaded.digest
                self.log.error("inventory change needs confirmation", why=why, digest=loaded.digest)
                return
            deadline = self.clock.now() + self.drain_within
            for node in difference.removed:
                row = forms.msgspec.structs.replace(old.rows[node], state="draining")
                self.removed[node] = row, deadline
            self.log.info("inventory changed", changes=difference.lines()[:40], digest=loaded.digest)
        else:
            self.log.info(
                "inventory loaded",
                nodes=len(loaded.inventory.rows),
                titles=len(loaded.inventory.titles),
                digest=loaded.digest,
            )
        self.current = loaded
        self.pending_digest = ""
        self.publish()

    def publish(self) -> None:
        """Calls `on_change` if the inventory or the set of removed nodes still draining has changed.

        A removed node with plays stays in the rows as draining, so that its plays are moved and not cut off.
        """
        plays_by_node = {node: self.count_plays(node) for node in self.removed}
        rows, self.removed = rows_in_effect(
            self.clock.now(), self.current.inventory, self.removed, plays_by_node
        )
        published = self.current.digest, frozenset(self.removed)
        if published != self.published:
            self.published = published
            self.on_change(rows, list(self.current.inventory.titles.values()))

    def confirm(self, digest: str) -> str:
        """Puts the change that needs confirmation into use if the files still have `digest`.

        Returns "", or why the change was not made.
        """
        if not self.pending_digest:
            return "no inventory change needs confirmation"
        try:
            loaded = load(self.files, self.places)
        except (InventoryError, OSError) as err:
            return describe(err)
        if digest != self.pending_digest or loaded.digest != digest:
            return (
                f"the change that needs confirmation has digest {self.pending_digest}, "
                f"the file has {loaded.digest} now"
            )
        self.consider(loaded, confirmed=True)
        return ""

    def state(self) -> dict:
        """The state as served at `/v1/inventory`."""
        return {
            "files": [name for name in self.files if name],
            "digest": self.current.digest if self.current else "",
            "nodes": len(self.current.inventory.rows) if self.current else 0,
            "waiting": self.pending_digest,
            "leaving": sorted(self.removed),
            "complaints": self.error.splitlines()[:20],
        }

    def close(self) -> None:
        """Stops polling."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
