"""Follows the list service: whole lists, changes, gaps and failures; keeps the last list on disk.

`ListFollower` passes the list on to the driver's module, the nodes' side, moves and sites. Retry delays and
how far an old list is trusted are decided in `curlewhall.start`.
"""

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

from . import peer_lists
from .driver import Driver
from .nodes import module_row
from .peer_lists import current_stamp

SILENCE_TIMEOUT_S = 5.0  # a stream without a line, ticks included, for this long is taken for dead
NODE_STATES = ("serving", "draining", "gone")
KEPT_LIST_REFRESH_S = 60.0  # an unchanged list is written again this often, for its time of confirmation
STREAM_TIMEOUT_S = 86_400.0  # the stream stays open; the HTTP client requires a limit


def count_changes(old: dict[str, forms.Row], rows: list[forms.Row], whole: bool) -> int:
    """Count the rows of `old` that `rows` invalidates: node gone, restarted, or at another address."""
    now = {row.node: row for row in rows}
    return sum(
        new.state == "gone"
        or (new.started_ms, new.address, new.port) != (row.started_ms, row.address, row.port)
        if (new := now.get(name))
        else whole
        for name, row in old.items()
    )


def replace_file(path: str, data: bytes) -> None:
    """Write a new file and rename it over the old one, so that the file on disk is always complete."""
    Path(path + ".new").write_bytes(data)
    os.replace(path + ".new", path)


class ListFollower:
    """One subscription to the list service, retried with growing delays while it fails (`start.decide`).

    `pool`: connections to the list service; None where the inventory file is the only source. `kept_file`:
    where the list is saved ("": nowhere). `has_peers`: whether other fronts may be asked for their list.
    """

    def __init__(
        self,
        driver: Driver,
        pool: Pool | None,
        front: str,
        kept_file: str = "",
        seed: int = 0,
        has_peers: bool = False,
    ) -> None:
        self.driver = driver
        self.pool = pool
        self.front = front
        self.kept_file = kept_file
        self.rows: dict[str, forms.Row] = {}
        self.titles: dict[str, forms.Title] = {}
        self.subscription = ListSubscription(seed, driver.start_settings.get("fronts", 1), has_peers)
        self.line_parser = forms.LineSplitter()
        self.stream = None
        self.silence_timer = None
        self.service_failing = False
        self.service_heard = False  # whether the list service has sent a list to this process
        self.watcher = None  # watches the inventory files
        self.leaving = False  # handed over: the successor follows the list and passes it on to this front
        # Passes each listing on to a predecessor that is still finishing.
        self.on_listing: Callable[[forms.Listing], None] | None = None
        self.broadcast: Callable | None = None  # passes an operator's command on to the other workers
        self.retry_timer = None
        self.write_task = None
        self.write_pending = False  # whether there is something newer to write than the write in progress
        self.written_at = 0.0  # seconds, monotonic
        self.peer_list_client = peer_lists.NoPeerListClient()
        self.started_at = time.monotonic()
        # Whether the first request to the list service has succeeded or failed.
        self.first_result_known = pool is None
        self.on_ready: Callable[[], None] | None = None
        self.drained_nodes: set[str] = set()  # drained by an operator at this front, whatever the list says
        self.belief = NodeTrust()
        self.churn = ListChangeRate()
        self.confirmed_stamp = Timestamp(0, "", 0.0)  # when the list was last confirmed
        self.confirmed_at = 0.0  # the same in seconds of the monotonic clock

    @property
    def version(self) -> int:
        """The version of the current list; 0: none that the list service could confirm."""
        return self.subscription.version

    @version.setter
    def version(self, version: int) -> None:
        self.subscription.version = version

    def start(self) -> None:
        """Load the kept list, if there is one, and subscribe to the list service."""
        if self.kept_file and os.path.exists(self.kept_file) and not self.rows:
            try:
                self.read_kept_list(Path(self.kept_file))
            except (OSError, forms.DecodeError) as err:
                self.driver.log.warning("the kept list can't be read; starting without it", why=describe(err))
        wait = self.subscription.first_delay(self.subscription.epoch, self.version)
        if self.watcher is not None:
            self.watcher.start()
        if self.pool is not None:
            self.retry_timer = self.driver.timers.after(wait, self.subscribe)
            self.peer_list_client.start()

    def call_when_ready(self, callback: Callable[[], None]) -> None:
        """Call `callback` once this front can place plays, or knows that it has to decline them."""
        self.on_ready = callback
        self.driver.timers.after(READY_TIMEOUT_S, self.check_ready)
        self.check_ready()

    @property
    def ready(self) -> bool:
        """Whether viewers may be sent to this front."""
        return is_ready(
            len(self.trusted_rows(self.rows.values())),
            self.first_result_known,
            time.monotonic() - self.started_at,
        )

    def check_ready(self) -> None:
        """Call the callback of `call_when_ready` once, if this front is ready."""
        if self.on_ready is not None and self.ready:
            callback, self.on_ready = self.on_ready, None
            callback()

    @property
    def needs_list(self) -> bool:
        """Whether this front lacks a current list because the list service is silent, failing or behind."""
        return self.pool is not None and (
            self.service_failing or not self.service_heard or self.subscription.service_is_behind
        )

    def accept_peer_list(self, listing: forms.Listing, seconds: float) -> None:
        """Apply a peer's list, confirmed `seconds` ago, if it is better than the present one."""
        if not peer_lists.is_acceptable(self, listing, seconds):
            return
        now = current_stamp()
        self.confirmed_stamp = Timestamp(
            now.unix_ms - int(1000 * seconds), now.boot_id, now.steady_s - seconds
        )
        whole, before = listing.how == "whole", self.belief.untrusted
        rows = {row.node for row in (listing.rows if whole else self.rows.values())}
        self.belief.use_unconfirmed_list(rows, self.churn.trust(seconds))
        if whole:
            self.subscription.adopt_peer_list(listing.life, listing.version)
            self.apply_listing(listing, "old_copy")
        else:
            self.update_module([self.rows[name] for name in sorted(before - self.belief.untrusted & rows)])
        self.driver.log.info(
            "list received from a peer", version=listing.version, age_s=round(seconds), whole=whole
        )

    def read_kept_list(self, path: Path) -> None:
        """Apply the kept list, trusted according to its age; raises `OSError` or `DecodeError`."""
        kept_list = forms.decode(forms.Listing, path.read_bytes())
        # Lists written by older versions lack the time of confirmation; the file's own time stands for it.
        kept = kept_list.kept or forms.StoredListState(unix_ms=int(path.stat().st_mtime * 1000))
        self.confirmed_stamp = Timestamp(kept.unix_ms, kept.boot, kept.steady_s)
        self.churn = ListChangeRate(kept.changes, kept.watched_s)
        seconds = seconds_between(self.confirmed_stamp, current_stamp())
        trust = self.churn.trust(seconds)
        self.belief.use_unconfirmed_list({row.node for row in kept_list.rows}, trust)
        self.apply_listing(kept_list, "old_copy")
        self.subscription.epoch = kept_list.life
        fields = {
            "nodes": len(kept_list.rows),
            "version": kept_list.version,
            "trust": round(trust, 3),
            "age_s": None if seconds is None else round(seconds),
        }
        if not self.belief.untrusted:
            self.driver.log.info("kept list read", **fields)
        else:
            how = "too old to be trusted" if self.belief.list_outdated else "old"
            self.driver.log.warning(
                f"the kept list is {how}: nodes get plays once they have answered", **fields
            )

    def node_identified(self, name: str, named: str) -> None:
        """Handle the hello of the process at node `name`'s address, which calls itself `named`."""
        trusted = self.belief.node_answered(name, named)
        if trusted is not None and name in self.rows:
            self.update_module(
                [self.rows[name] if trusted else forms.msgspec.structs.replace(self.rows[name], state="gone")]
            )

    def update_module(self, rows: list[forms.Row]) -> None:
        """Tell the module and moves that these nodes may or may not get plays; the list does not change."""
        now, unix_ms = self.driver.clock.now(), int(time.time() * 1000)
        self.driver.update_nodes("changes", [self.to_module_row(self.with_local_drain(row)) for row in rows])
        self.driver.moves.nodes_listed(self.trusted_rows(self.rows.values()), now, unix_ms)
        self.check_ready()

    def to_module_row(self, row: forms.Row):
        """Convert a row for the module, with the start that `sites` counts for the node."""
        converted = module_row(row, self.driver)
        return converted._replace(started=self.driver.sites.effective_start(row, converted.started))

    @property
    def untrusted_nodes(self) -> set[str]:
        """Nodes that get no plays, whatever the list says: unconfirmed, or at a lost site."""
        return self.belief.untrusted | self.driver.sites.hidden_nodes

    def trusted_rows(self, rows) -> list[forms.Row]:
        """Return the rows of nodes that may get plays, with local drains applied."""
        return [
            self.with_local_drain(row)
            for row in rows
            if row.state != "gone" and row.node not in self.untrusted_nodes
        ]

    def as_inventory(self) -> Inventory | None:
        """Return the current list as an inventory; None if there is no list yet."""
        rows = {row.node: row for row in self.rows.values() if row.state != "gone"}
        return Inventory(rows, dict(self.titles)) if rows else None

    def apply_inventory(self, rows: list[forms.Row], titles: list[forms.Title]) -> None:
        """Apply the operators' inventory as a whole list.

        Once the list service has sent a list, the inventory is only compared with it: the service knows which
        nodes run, the files say which should.
        """
        if self.service_heard:
            missing = {row.node for row in rows} ^ {r.node for r in self.rows.values() if r.state != "gone"}
            self.driver.log.warning(
                "inventory and list service disagree about nodes", nodes=sorted(missing)[:20]
            )
            return
        how = "whole" if self.pool is None else "old_copy"
        self.apply_listing(
            forms.Listing("whole", self.version + 1 if self.pool is None else 0, 0, rows, titles), how
        )

    def subscribe(self) -> None:
        """Open the stream of lists, from the version that this front has."""
        self.retry_timer = None
        if self.leaving:
            self.stream = None
            return
        self.line_parser = forms.LineSplitter()
        target = (
            f"/v1/list?front={self.front}&have={self.version}&life={quote(self.subscription.epoch, safe='')}"
        )
        self.stream = self.pool.request(
            request_bytes("GET", target, self.pool.host),
            STREAM_TIMEOUT_S,
            self.stream_ended,
            on_body=self.stream_data_received,
        )
        self.restart_silence_timer()

    def restart_silence_timer(self) -> None:
        """Withdraw the stream if it stays silent for `SILENCE_TIMEOUT_S` from now."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.silence_timer = self.driver.timers.after(SILENCE_TIMEOUT_S, self.stream.withdraw)

    def stream_data_received(self, message, piece: bytes) -> None:
        """Handle the lines of a piece of the stream; a malformed one closes the stream."""
        if message.status != 200:
            return
        self.restart_silence_timer()
        try:
            for line in self.line_parser.feed(piece):
                self.handle_listing(forms.decode(forms.Listing, line))
        except forms.DecodeError as err:
            self.driver.log.warning(
                "malformed line from the list service; subscribing again", why=describe(err)
            )
            self.driver.timers.after(0, self.stream.withdraw)

    def handle_listing(self, listing: forms.Listing) -> None:
        """Handle one line of the list service: a whole list, changes or a tick."""
        self.service_failing = False
        if listing.how == "whole":
            if self.subscription.accept_full_list(listing.life, listing.version):
                self.list_confirmed(count_changes(self.rows, listing.rows, whole=True))
                self.apply_listing(listing, "whole")
            else:
                self.driver.log.warning(
                    "the list service sent an older list than this front has; ignored",
                    have=self.subscription.latest_version,
                    told=listing.version,
                )
        elif listing.how != "changes":
            self.subscription.keepalive_received()
            if self.version and not self.subscription.service_is_behind:
                self.list_confirmed(0)
                if time.monotonic() - self.written_at > KEPT_LIST_REFRESH_S:
                    self.save()  # only the time of confirmation is new
        elif self.subscription.accept_change(listing.life, listing.since, listing.version):
            now_trusted = self.list_confirmed(count_changes(self.rows, listing.rows, whole=False))
            self.apply_listing(listing, "changes")
            if now_trusted:
                self.update_module([self.rows[name] for name in sorted(now_trusted) if name in self.rows])
        elif self.subscription.reveals_newer(listing.life, listing.version):
            # These changes build on a version that was never received: ask for the whole list.
            self.driver.log.warning(
                "a gap in the list's versions; asking for the whole list",
                have=self.version,
                since=listing.since,
            )
            self.subscription.discard_version()
            self.driver.timers.after(0, self.stream.withdraw)

    def list_confirmed(self, changes: int) -> set[str]:
        """Record that the list service has confirmed the list, apart from `changes` rows.

        Returns the nodes that may get plays because of it.
        """
        now = time.monotonic()
        heard_before = self.service_heard
        self.service_heard = True
        self.first_result_known = True
        self.churn.record(changes, len(self.rows) * (now - self.confirmed_at) if heard_before else 0.0)
        self.confirmed_at, self.confirmed_stamp = now, current_stamp()
        return self.belief.list_confirmed()

    def apply_listing(self, listing: forms.Listing, how: str) -> None:
        """Apply a listing: `whole` and `old_copy` replace the list, `changes` updates it."""
        rows = self.valid_rows(listing.rows)
        rows += self.displaced_rows(rows)
        if how != "changes":
            self.rows, self.titles = {}, {}
        self.rows |= {row.node: row for row in rows}
        self.rows = {name: row for name, row in self.rows.items() if row.state != "gone"}
        self.titles |= {
            title.title: title for title in listing.titles if not self.is_invalid(title.title, title)
        }
        self.version = listing.version
        self.driver.viewers.titles = self.titles
        self.driver.sites.nodes_listed(rows, how != "changes")
        rows, untrusted = [self.with_local_drain(row) for row in rows], self.untrusted_nodes
        # The module may still use an untrusted node, so it must be told that such a node drains or is gone.
        module_rows = [
            row if row.node not in untrusted else forms.msgspec.structs.replace(row, state="gone")
            for row in rows
            if row.node not in untrusted or row.state != "serving" and row.node not in self.belief.untrusted
        ]
        now, unix_ms = self.driver.clock.now(), int(time.time() * 1000)
        self.driver.nodes.listed(rows, whole=how != "changes")  # first: the module may allocate at once
        self.driver.update_nodes(how, [self.to_module_row(row) for row in module_rows])
        self.driver.moves.nodes_listed(self.trusted_rows(self.rows.values()), now, unix_ms)
        if self.on_listing is not None:
            self.on_listing(listing)
        self.driver.log.info("list applied", how=how, version=listing.version, rows=len(rows))
        self.check_ready()
        if how != "old_copy":
            self.save()

    def valid_rows(self, rows: list[forms.Row]) -> list[forms.Row]:
        """Return the valid rows; an invalid row of a known node still changes its state (rule 3)."""
        valid = []
        for row in rows:
            if row.state in NODE_STATES and self.is_invalid(row.node, row):
                known = self.rows.get(row.node)
                row = known and forms.msgspec.structs.replace(known, state=row.state)
            if row is not None and row.state in NODE_STATES:
                valid.append(row)
        return valid

    def displaced_rows(self, rows: list[forms.Row]) -> list[forms.Row]:
        """Rows of known nodes whose address a node in `rows` takes, as gone: the process there is another one
        now, whether or not the list has told yet that they are gone.
        """
        named = {row.node for row in rows}
        takers = {(row.address, row.port) for row in rows if self.takes_address(row)}
        return [
            forms.msgspec.structs.replace(row, state="gone")
            for row in self.rows.values()
            if row.node not in named and (row.address, row.port) in takers
        ]

    def takes_address(self, row: forms.Row) -> bool:
        """Whether a row names a node in service at an address at which it was not before."""
        known = self.rows.get(row.node)
        return row.state == "serving" and (
            known is None or (known.address, known.port) != (row.address, row.port)
        )

    def is_invalid(self, name: str, item: forms.Row | forms.Title) -> bool:
        """Whether a row or title has a value out of range, which would break calls about other plays."""
        why = forms.find_fault(item)
        if why:
            self.driver.log.warning("invalid row or title in the list; ignored", name=name, why=why)
        return bool(why)

    def with_local_drain(self, row: forms.Row) -> forms.Row:
        """Return the row, as `draining` if an operator drains the node at this front."""
        if row.node in self.drained_nodes and row.state == "serving":
            return forms.msgspec.structs.replace(row, state="draining")
        return row

    def drain_node(self, node: str, back: bool, broadcast: bool = True) -> None:
        """Drain a node at this front or cancel its drain; `broadcast`: at the daemon's other workers too."""
        if broadcast and self.broadcast is not None:
            self.broadcast("drain", node, back)
        (self.drained_nodes.discard if back else self.drained_nodes.add)(node)
        if node in self.rows:
            self.apply_listing(
                forms.Listing("changes", self.version, self.version, [self.rows[node]]), "changes"
            )

    def pause_following(self) -> None:
        """Stop following because a successor does.

        The list service allows one subscription per front name: two would keep ending each other.
        """
        self.leaving = True
        if self.watcher is not None:
            self.watcher.close()
        if self.silence_timer is not None:
            self.silence_timer.cancel()

    def resume_following(self) -> None:
        """Follow again after a successor failed."""
        self.leaving = False
        if self.watcher is not None:
            self.watcher.closed = False
            self.watcher.poll()
        if self.pool is None:
            return
        if self.stream is None:
            if self.retry_timer is not None:
                self.retry_timer.cancel()
            self.subscribe()
        else:
            self.restart_silence_timer()

    def save(self) -> None:
        """Write the list to the kept file in a thread; during a write, the newest list waits for its end.

        On a busy disk the rename alone takes 200 ms, and during a release there is a change every second:
        in the event loop, plays would miss their time limits.
        """
        if not self.kept_file or self.leaving:
            return
        self.write_pending = True
        if self.write_task is None:
            self.start_write()

    def start_write(self) -> None:
        """Start writing the current list in a thread."""
        self.write_pending = False
        rows = [row for row in self.rows.values() if row.state != "gone"]
        kept = forms.StoredListState(
            self.confirmed_stamp.unix_ms,
            self.confirmed_stamp.boot_id,
            self.confirmed_stamp.steady_s,
            self.churn.changes,
            self.churn.node_seconds,
        )
        self.written_at = time.monotonic()
        whole = forms.Listing(
            "whole", self.version, 0, rows, list(self.titles.values()), self.subscription.epoch, kept
        )
        self.write_task = asyncio.get_running_loop().run_in_executor(
            None, replace_file, self.kept_file, forms.encode(whole)
        )
        self.write_task.add_done_callback(self.write_done)

    def write_done(self, done: asyncio.Future) -> None:
        """Handle the end of a write, and start the next one if the list has changed meanwhile."""
        self.write_task = None
        if not done.cancelled() and done.exception() is not None:
            self.driver.log.warning("the list can't be written to the kept file", why=str(done.exception()))
        if self.write_pending:
            self.save()

    def stream_ended(self, reply: Reply) -> None:
        """Handle the end of the subscription: retry later, and meanwhile ask a peer."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        if self.pool.closed or self.leaving:
            self.stream = None
            return
        if not self.service_failing:
            self.service_failing = True
            self.driver.update_nodes("failed", [])
            self.driver.log.warning(
                "the list service can't be reached; keeping the present list", how=reply.outcome
            )
        self.first_result_known = True
        self.check_ready()
        self.retry_timer = self.driver.timers.after(
            self.subscription.retry_delay(peer_lists.retry_after_s(reply)), self.subscribe
        )
        self.peer_list_client.on_service_failure()

    def state(self) -> dict:
        """Return the list's part of `/v1/state`."""
        return {
            "version": self.version,
            "life": self.subscription.epoch,
            "confirmed": self.service_heard,
            "reached": self.service_heard and not self.service_failing,
            "behind": self.subscription.service_is_behind,
            "trust": round(self.belief.trust, 3),
            "unsure": len(self.belief.untrusted),
            "age_s": seconds_between(self.confirmed_stamp, current_stamp()),
        }

    def close(self) -> None:
        """Cancel timers and close the connections to the list service."""
        self.peer_list_client.close()
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        if self.watcher is not None:
            self.watcher.close()
        if self.pool is not None:
            self.pool.close()
