"""Follows the list service: whole lists, changes, gaps and failures; keeps the last whole list on disk."""

import asyncio
import os
import time
from collections.abc import Callable
from pathlib import Path
from urllib.parse import quote

from curlewhall.errors import describe
from curlewhall.inventory.form import Inventory
from curlewhall.start import (
    ListChangeRate,
    ListSubscription,
    NodeTrust,
    Timestamp,
    is_ready,
    seconds_between,
)
from curlewhall.start.decide import READY_TIMEOUT_S
from curlewhall.wire import forms
from curlewhall.wire.client import Pool, Reply
from curlewhall.wire.http import request_bytes

from . import lists
from .driver import Driver
from .lists import stamp
from .nodes import module_row

SILENT = 5.0  # seconds without a line, ticks included, after which a stream is taken for dead
STATES = ("serving", "draining", "gone")
KEEP_EVERY = 60.0  # seconds after which a list that is confirmed again and again is written again


def changed(old: dict[str, forms.Row], rows: list[forms.Row], whole: bool) -> int:
    """How many lines of what was had stopped being true: gone, started anew, or at another address."""
    now = {row.node: row for row in rows}
    return sum(
        new.state == "gone"
        or (new.started_ms, new.address, new.port) != (row.started_ms, row.address, row.port)
        if (new := now.get(name))
        else whole
        for name, row in old.items()
    )


def put(path: str, data: bytes) -> None:
    """Write beside the old file and put it in its place: never half a list on disk."""
    Path(path + ".new").write_bytes(data)
    os.replace(path + ".new", path)


class Follower:
    """One subscription, asked for again with growing pauses while it can't be had (`start.decide`)."""

    def __init__(
        self,
        driver: Driver,
        pool: Pool | None,
        front: str,
        kept: str = "",
        seed: int = 0,
        helped: bool = False,
    ) -> None:
        self.driver, self.pool, self.front, self.kept = driver, pool, front, kept
        self.rows: dict[str, forms.Row] = {}
        self.titles: dict[str, forms.Title] = {}
        self.asks = ListSubscription(seed, driver.start_settings.get("fronts", 1), helped)
        self.lines, self.stream, self.silence, self.failing = forms.Lines(), None, None, False
        self.spoken, self.watcher = False, None  # whether the service has; the operators' files
        self.leaving = False  # the successor follows; what it hears is told to this front
        self.tell: Callable[[forms.Listing], None] | None = None  # a predecessor that hears through this one
        self.spread: Callable | None = None  # tells the other workers what an operator told this one
        self.turn = None  # when it is asked next
        self.keeping, self.unkept = None, False  # a write under way; whether more is known than it holds
        self.written_at = 0.0
        self.borrower = lists.NoBorrower()
        self.began, self.outcome = time.monotonic(), pool is None  # whether the service's first word is known
        self.on_ready: Callable[[], None] | None = None
        self.drained: set[str] = set()  # by this front's operator, whatever the list says
        self.belief, self.churn = NodeTrust(), ListChangeRate()
        self.stamp = Timestamp(0, "", 0.0)  # when the list was last confirmed
        self.stamped = 0.0  # the same in steady seconds

    @property
    def version(self) -> int:
        """The version of the list that this front goes by; 0: none that could be confirmed."""
        return self.asks.version

    @version.setter
    def version(self, version: int) -> None:
        self.asks.version = version

    def start(self) -> None:
        """Believe the kept list, if there is one, until the service says more; then subscribe."""
        if self.kept and os.path.exists(self.kept) and not self.rows:
            try:
                self.read(Path(self.kept))
            except (OSError, forms.DecodeError) as err:
                self.driver.log.warning("the kept list can't be read", why=describe(err))
        wait = self.asks.first_delay(self.asks.epoch, self.version)
        if self.watcher is not None:
            self.watcher.start()
        if self.pool is not None:
            self.turn = self.driver.timers.after(wait, self.subscribe)
            self.borrower.start()

    def when_ready(self, call: Callable[[], None]) -> None:
        """Call it once this front can place plays, or decline them with reason."""
        self.on_ready = call
        self.driver.timers.after(READY_TIMEOUT_S, self.look_ready)
        self.look_ready()

    @property
    def ready(self) -> bool:
        return is_ready(len(self.sure(self.rows.values())), self.outcome, time.monotonic() - self.began)

    def look_ready(self) -> None:
        if self.on_ready is not None and self.ready:
            call, self.on_ready = self.on_ready, None
            call()

    @property
    def astray(self) -> bool:
        """Whether the list service has left this front without its word."""
        return self.pool is not None and (self.failing or not self.spoken or self.asks.service_is_behind)

    def lent(self, listing: forms.Listing, seconds: float) -> None:
        """Go by a peer's list, confirmed so long ago, if it is better than what is had."""
        if not lists.taken(self, listing, seconds):
            return
        now = stamp()
        self.stamp = Timestamp(now.unix_ms - int(1000 * seconds), now.boot_id, now.steady_s - seconds)
        whole, before = listing.how == "whole", self.belief.untrusted
        rows = {row.node for row in (listing.rows if whole else self.rows.values())}
        self.belief.use_unconfirmed_list(rows, self.churn.trust(seconds))
        if whole:
            self.asks.adopt_peer_list(listing.life, listing.version)
            self.take(listing, "old_copy")
        else:
            self.tell_module([self.rows[name] for name in sorted(before - self.belief.untrusted & rows)])
        self.driver.log.info("list from a peer", version=listing.version, age_s=round(seconds), whole=whole)

    def read(self, path: Path) -> None:
        """Go by the kept list, as far as its age lets it be believed. `OSError`, `DecodeError`."""
        old = forms.decode(forms.Listing, path.read_bytes())
        kept = old.kept or forms.Kept(unix_ms=int(path.stat().st_mtime * 1000))  # an earlier program's
        self.stamp = Timestamp(kept.unix_ms, kept.boot, kept.steady_s)
        self.churn = ListChangeRate(kept.changes, kept.watched_s)
        seconds = seconds_between(self.stamp, stamp())
        trust = self.churn.trust(seconds)
        self.belief.use_unconfirmed_list({row.node for row in old.rows}, trust)
        self.take(old, "old_copy")
        self.asks.epoch = old.life
        facts = {
            "nodes": len(old.rows),
            "version": old.version,
            "trust": round(trust, 3),
            "age_s": None if seconds is None else round(seconds),
        }
        if not self.belief.untrusted:
            self.driver.log.info("kept list read", **facts)
        else:
            how = "too old to be believed" if self.belief.list_outdated else "old"
            self.driver.log.warning(
                f"the kept list is {how}: nodes get plays once they have answered", **facts
            )

    def answered(self, name: str, named: str) -> None:
        """A node's stream began; whoever answers at its address calls itself `named`."""
        sure = self.belief.node_answered(name, named)
        if sure is not None and name in self.rows:
            self.tell_module(
                [self.rows[name] if sure else forms.msgspec.structs.replace(self.rows[name], state="gone")]
            )

    def tell_module(self, rows: list[forms.Row]) -> None:
        """Tell module and mover of nodes that may get plays now, or not any more; the list is as it was."""
        now, unix = self.driver.clock.now(), int(time.time() * 1000)
        self.driver.update_nodes("changes", [self.for_module(self.shown(row)) for row in rows])
        self.driver.moves.nodes_listed(self.sure(self.rows.values()), now, unix)
        self.look_ready()

    def for_module(self, row: forms.Row):
        told = module_row(row, self.driver)
        return told._replace(started=self.driver.sites.effective_start(row, told.started))

    @property
    def unsure(self) -> set[str]:
        """Nodes that get no plays, whatever the list says."""
        return self.belief.untrusted | self.driver.sites.hidden_nodes

    def sure(self, rows) -> list[forms.Row]:
        """Those that may get plays, as they are shown."""
        return [self.shown(row) for row in rows if row.state != "gone" and row.node not in self.unsure]

    def as_inventory(self) -> Inventory | None:
        """What this front goes by now; None where it knows nothing yet."""
        rows = {row.node: row for row in self.rows.values() if row.state != "gone"}
        return Inventory(rows, dict(self.titles)) if rows else None

    def from_files(self, rows: list[forms.Row], titles: list[forms.Title]) -> None:
        """The operators' inventory, whole. Where there is a list service too, its word counts once it speaks:
        it knows what runs; the files say what should.
        """
        if self.spoken:
            missing = {row.node for row in rows} ^ {r.node for r in self.rows.values() if r.state != "gone"}
            self.driver.log.warning("inventory and list service differ", nodes=sorted(missing)[:20])
            return
        how = "whole" if self.pool is None else "old_copy"
        self.take(forms.Listing("whole", self.version + 1 if self.pool is None else 0, 0, rows, titles), how)

    def subscribe(self) -> None:
        self.turn = None
        if self.leaving:
            self.stream = None
            return
        self.lines = forms.Lines()
        target = f"/v1/list?front={self.front}&have={self.version}&life={quote(self.asks.epoch, safe='')}"
        self.stream = self.pool.ask(
            request_bytes("GET", target, self.pool.host), 86_400.0, self.ended, tell=self.told
        )
        self.listen()

    def listen(self) -> None:
        if self.silence is not None:
            self.silence.cancel()
        self.silence = self.driver.timers.after(SILENT, self.stream.withdraw)

    def told(self, message, piece: bytes) -> None:
        if message.status != 200:
            return
        self.listen()
        try:
            for line in self.lines.feed(piece):
                self.line(forms.decode(forms.Listing, line))
        except forms.DecodeError as err:
            self.driver.log.warning("the list is malformed", why=describe(err))
            self.driver.timers.after(0, self.stream.withdraw)

    def line(self, listing: forms.Listing) -> None:
        self.failing = False
        if listing.how == "whole":
            if self.asks.accept_full_list(listing.life, listing.version):
                self.heard(changed(self.rows, listing.rows, whole=True))
                self.take(listing, "whole")
            else:
                self.driver.log.warning(
                    "the list service is behind what this front knows",
                    have=self.asks.latest_version,
                    told=listing.version,
                )
        elif listing.how != "changes":
            self.asks.keepalive_received()
            if self.version and not self.asks.service_is_behind:
                self.heard(0)
                if time.monotonic() - self.written_at > KEEP_EVERY:
                    self.keep()  # only its stamp is new
        elif self.asks.accept_change(listing.life, listing.since, listing.version):
            freed = self.heard(changed(self.rows, listing.rows, whole=False))
            self.take(listing, "changes")
            if freed:
                self.tell_module([self.rows[name] for name in sorted(freed) if name in self.rows])
        elif self.asks.reveals_newer(listing.life, listing.version):
            # Danger: a change built on one never seen. A gap is closed by the whole list.
            self.driver.log.warning("a gap in the list", have=self.version, since=listing.since)
            self.asks.discard_version()
            self.driver.timers.after(0, self.stream.withdraw)

    def heard(self, changes: int) -> set[str]:
        """The service has confirmed what this front goes by, but for what it tells next; the nodes that may
        get plays by that.
        """
        now, spoken, self.spoken, self.outcome = time.monotonic(), self.spoken, True, True
        self.churn.record(changes, len(self.rows) * (now - self.stamped) if spoken else 0.0)
        self.stamped, self.stamp = now, stamp()
        return self.belief.list_confirmed()

    def take(self, listing: forms.Listing, how: str) -> None:
        rows = self.sound(listing.rows)
        if how != "changes":
            self.rows, self.titles = {}, {}
        self.rows |= {row.node: row for row in rows}
        self.rows = {name: row for name, row in self.rows.items() if row.state != "gone"}
        self.titles |= {
            title.title: title for title in listing.titles if not self.refused(title.title, title)
        }
        self.version = listing.version
        self.driver.viewers.titles = self.titles
        self.driver.sites.nodes_listed(rows, how != "changes")
        rows, unsure = [self.shown(row) for row in rows], self.unsure
        # Danger: of a node that the module may still hold for serving, that it drains or is gone must be told
        left = [
            row if row.node not in unsure else forms.msgspec.structs.replace(row, state="gone")
            for row in rows
            if row.node not in unsure or row.state != "serving" and row.node not in self.belief.untrusted
        ]
        now, unix = self.driver.clock.now(), int(time.time() * 1000)
        self.driver.nodes.listed(rows, whole=how != "changes")  # first: the module may allocate at once
        self.driver.update_nodes(how, [self.for_module(row) for row in left])
        self.driver.moves.nodes_listed(self.sure(self.rows.values()), now, unix)
        if self.tell is not None:
            self.tell(listing)
        self.driver.log.info("list", how=how, version=listing.version, rows=len(rows))
        self.look_ready()
        if how != "old_copy":
            self.keep()

    def sound(self, rows: list[forms.Row]) -> list[forms.Row]:
        """What can be right of a list. Of a row that can't, a known node's state still counts (rule 3)."""
        found = []
        for row in rows:
            if row.state in STATES and self.refused(row.node, row):
                known = self.rows.get(row.node)
                row = known and forms.msgspec.structs.replace(known, state=row.state)
            if row is not None and row.state in STATES:
                found.append(row)
        return found

    def refused(self, name: str, thing: forms.Row | forms.Title) -> bool:
        """Danger: a port or weight that can't be reckoned with fails calls that are about other plays."""
        why = forms.wrong(thing)
        if why:
            self.driver.log.warning("a line of the list is refused", name=name, why=why)
        return bool(why)

    def shown(self, row: forms.Row) -> forms.Row:
        """A line with the operator's own drains laid over it."""
        if row.node in self.drained and row.state == "serving":
            return forms.msgspec.structs.replace(row, state="draining")
        return row

    def drain(self, node: str, back: bool, spread: bool = True) -> None:
        """Drain a node at this front, or call its drain back; the other workers of a daemon are told too."""
        if spread and self.spread is not None:
            self.spread("drain", node, back)
        (self.drained.discard if back else self.drained.add)(node)
        if node in self.rows:
            self.take(forms.Listing("changes", self.version, self.version, [self.rows[node]]), "changes")

    def leave(self) -> None:
        """Danger: two subscriptions under one name, each taken for the other's death, end each other."""
        self.leaving = True
        if self.watcher is not None:
            self.watcher.close()
        if self.silence is not None:
            self.silence.cancel()

    def come_back(self) -> None:
        self.leaving = False
        if self.watcher is not None:
            self.watcher.closed = False
            self.watcher.look()
        if self.pool is None:
            return
        if self.stream is None:
            if self.turn is not None:
                self.turn.cancel()
            self.subscribe()
        else:
            self.listen()

    def keep(self) -> None:
        """Have what is known written, beside the loop; while one is being written the latest waits.

        Danger: on a busy disk the renaming alone takes a fifth of a second, and a release tells a change each
        second: within the loop it would cost plays their time limits.
        """
        if not self.kept or self.leaving:
            return
        self.unkept = True
        if self.keeping is None:
            self.write()

    def write(self) -> None:
        self.unkept = False
        rows = [row for row in self.rows.values() if row.state != "gone"]
        kept = forms.Kept(
            self.stamp.unix_ms,
            self.stamp.boot_id,
            self.stamp.steady_s,
            self.churn.changes,
            self.churn.node_seconds,
        )
        self.written_at = time.monotonic()
        whole = forms.Listing(
            "whole", self.version, 0, rows, list(self.titles.values()), self.asks.epoch, kept
        )
        self.keeping = asyncio.get_running_loop().run_in_executor(None, put, self.kept, forms.encode(whole))
        self.keeping.add_done_callback(self.written)

    def written(self, done: asyncio.Future) -> None:
        self.keeping = None
        if not done.cancelled() and done.exception() is not None:
            self.driver.log.warning("the list can't be kept", why=str(done.exception()))
        if self.unkept:
            self.keep()

    def ended(self, reply: Reply) -> None:
        if self.silence is not None:
            self.silence.cancel()
        if self.pool.closed or self.leaving:
            self.stream = None
            return
        if not self.failing:
            self.failing = True
            self.driver.update_nodes("failed", [])
            self.driver.log.warning("the list service is out of reach", how=reply.ending)
        self.outcome = True
        self.look_ready()
        self.turn = self.driver.timers.after(self.asks.retry_delay(lists.away(reply)), self.subscribe)
        self.borrower.wanted()

    def state(self) -> dict:
        """For `/v1/state`: what the front goes by, and whether the service has said so in this process."""
        return {
            "version": self.version,
            "life": self.asks.epoch,
            "confirmed": self.spoken,
            "reached": self.spoken and not self.failing,
            "behind": self.asks.service_is_behind,
            "trust": round(self.belief.trust, 3),
            "unsure": len(self.belief.untrusted),
            "age_s": seconds_between(self.stamp, stamp()),
        }

    def close(self) -> None:
        self.borrower.close()
        if self.turn is not None:
            self.turn.cancel()
        if self.watcher is not None:
            self.watcher.close()
        if self.pool is not None:
            self.pool.close()
