"""Lists from front to front: one that has the list hands it to one that the list service leaves without.

`GET /v1/list?have=VERSION&life=LIFE` at a front, in the words of the list service, answered with one line.
`Age` (RFC 9111 section 5.1) tells how long ago the service confirmed it. The asker proves that it is a front
of the fleet by a token of the key that fronts share. When and whom is decided in `curlewhall.start`.
"""

import time
from functools import cache
from math import ceil
from pathlib import Path
from urllib.parse import parse_qsl, quote

from curlewhall.dash import tokens
from curlewhall.errors import describe
from curlewhall.start import (
    ListVersion,
    PeerListLimiter,
    PeerListRequests,
    Timestamp,
    peer_list_is_better,
    seconds_between,
)
from curlewhall.start.decide import PEER_LIST_RETRY_AFTER_S
from curlewhall.wire import forms
from curlewhall.wire.client import Pool, Reply
from curlewhall.wire.http import request_bytes
from curlewhall.wire.server import Exchange

from . import problems

AUDIENCE = "curlewhall:list"  # of an asker's token
LIFE = 10.0  # seconds that it holds
LIMIT = 1.0  # seconds for an answer: a list of 1,000 nodes takes some 10 ms
BOOT = Path("/proc/sys/kernel/random/boot_id")


@cache
def boot() -> str:
    """The machine's boot by name; "" on other systems. It does not change while a process lives."""
    return BOOT.read_text().strip() if BOOT.exists() else ""


def stamp() -> Timestamp:
    """Now, for a list on disk. Without a boot's name only the wall clock counts."""
    return Timestamp(
        int(time.time() * 1000), boot(), time.clock_gettime(time.CLOCK_BOOTTIME) if boot() else 0.0
    )


def had(follower) -> ListVersion:
    return ListVersion(
        follower.asks.epoch, follower.asks.latest_version, seconds_between(follower.stamp, stamp())
    )


def away(reply: Reply) -> float | None:
    """For how many seconds whoever turned a request away asks to be left alone; None: it did not say."""
    shed = reply.message is not None and reply.message.status == 503
    after = reply.message.headers.get("retry-after", "") if shed else ""
    return float(after) if after.isascii() and after.isdigit() else None


class NoBorrower:
    """A front that has no peers to ask, or no list service that could leave it without."""

    def start(self) -> None: ...

    def wanted(self) -> None: ...

    def close(self) -> None: ...


class Borrower(NoBorrower):
    """The side of the front that lacks a list that was confirmed lately."""

    def __init__(self, follower, pools: dict[int, Pool], key: bytes, seed: int) -> None:
        self.follower, self.pools, self.key = follower, pools, key
        self.timers, self.turn, self.ask = follower.driver.timers, None, None
        self.borrows = PeerListRequests(seed, list(pools), follower.driver.start_settings.get("fronts", 1))
        self.closed = False

    def start(self) -> None:
        wait = self.borrows.first_delay(without_list=not self.follower.rows)
        if wait is not None:
            self.turn = self.timers.after(wait, self.next)

    def wanted(self) -> None:
        """The service has just failed this front."""
        if self.turn is None and self.ask is None and not self.closed:
            self.turn = self.timers.after(self.borrows.backoff.next_delay(), self.next)

    def next(self) -> None:
        self.turn = None
        if self.closed or self.follower.leaving or not self.follower.astray:
            return
        peer = self.borrows.next_peer(time.monotonic())
        if peer is None:
            self.again(None, took=False)
            return
        follower, pool = self.follower, self.pools[peer]
        session = tokens.Session("list", 0, AUDIENCE, follower.front, "", "")
        proof = tokens.sign(session, self.key, time.time(), LIFE)
        have = follower.asks.latest_version if follower.rows else 0
        target = f"/v1/list?have={have}&life={quote(follower.asks.epoch, safe='')}"
        data = request_bytes("GET", target, pool.host, authorization=f"Bearer {proof}")
        self.ask = pool.ask(data, LIMIT, lambda reply: self.answered(peer, reply))

    def again(self, peer: int | None, took: bool, retry_after: float | None = None) -> None:
        if not self.closed:
            wait = self.borrows.next_delay(time.monotonic(), peer, took, retry_after)
            self.turn = self.timers.after(wait, self.next)

    def answered(self, peer: int, reply: Reply) -> None:
        self.ask = None
        if reply.ending != "ok" or reply.message.status != 200:
            self.again(peer, False, away(reply))
            return
        try:
            listing = forms.decode(forms.Listing, reply.message.body)
            seconds = float(reply.message.headers.get("age", ""))
        except (forms.DecodeError, ValueError) as err:
            self.follower.driver.log.warning("a peer's list is malformed", peer=peer, why=describe(err))
            self.again(peer, False)
            return
        if self.follower.astray:
            self.follower.lent(listing, seconds)
        self.again(peer, True)

    def close(self) -> None:
        self.closed = True
        if self.turn is not None:
            self.turn.cancel()


class Lender:
    """The side of the front that has one."""

    def __init__(self, follower, key: bytes) -> None:
        self.follower, self.key, self.lends = follower, key, PeerListLimiter()

    def asked(self, exchange: Exchange, query: str) -> None:
        bearer, follower = exchange.request.headers.get("authorization", ""), self.follower
        try:
            tokens.check(bearer.removeprefix("Bearer "), self.key, AUDIENCE)
        except tokens.TokenError as err:
            problems.answer(exchange, 403, f"lists are for fronts of this fleet: {err}")
            return
        mine, given = had(follower), dict(parse_qsl(query))
        if not follower.rows or not self.lends.is_trusted(mine, follower.churn.trust(mine.age_s)):
            problems.answer(exchange, 404, "This front has no list that was confirmed lately")
            return
        same = (given.get("have"), given.get("life", "")) == (str(mine.version), mine.epoch)
        if not same and not self.lends.allow(time.monotonic()):
            problems.answer(
                exchange,
                503,
                "This front has handed out enough lists for now",
                away=int(PEER_LIST_RETRY_AFTER_S * 10_000),
            )
            return
        rows = [] if same else [row for row in follower.rows.values() if row.state != "gone"]
        titles = [] if same else list(follower.titles.values())
        listing = forms.Listing(
            "changes" if same else "whole",
            mine.version,
            mine.version if same else 0,
            rows,
            titles,
            mine.epoch,
        )
        exchange.reply(
            200,
            {"content-type": "application/jsonl", "age": str(ceil(mine.age_s))},
            forms.encode(listing) + b"\n",
        )


def taken(follower, listing: forms.Listing, seconds: float) -> bool:
    """Whether a peer's list, confirmed so long ago, is to be gone by."""
    theirs = ListVersion(listing.life, listing.version, seconds if seconds >= 0 else None)
    return (
        listing.how in ("whole", "changes")
        and peer_list_is_better(had(follower), theirs)
        and PeerListLimiter.is_trusted(theirs, follower.churn.trust(theirs.age_s))
    )
