"""Copies of the list between fronts, for a front that can't get it from the list service.

`GET /v1/list?have=VERSION&life=LIFE` at a front has the format of the list service and is answered with one
line. `Age` (RFC 9111 section 5.1) tells how long ago the service confirmed the list. The requester proves
with a token signed with the fronts' shared key that it belongs to the fleet. `curlewhall.start` decides
when a front asks, and which peer.
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

TOKEN_AUDIENCE = "curlewhall:list"
TOKEN_LIFETIME_S = 10.0
REQUEST_TIMEOUT_S = 1.0  # a list of 1,000 nodes takes about 10 ms
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


@cache
def boot_id() -> str:
    """Return the kernel's id of this boot; "" on systems without one. Constant while a process runs."""
    return BOOT_ID_FILE.read_text().strip() if BOOT_ID_FILE.exists() else ""


def current_stamp() -> Timestamp:
    """Return the present time for a list on disk; without a boot id only its wall clock is used."""
    return Timestamp(
        int(time.time() * 1000), boot_id(), time.clock_gettime(time.CLOCK_BOOTTIME) if boot_id() else 0.0
    )


def list_status(follower) -> ListVersion:
    """Return the life, version and age of the follower's list."""
    return ListVersion(
        follower.subscription.epoch,
        follower.subscription.latest_version,
        seconds_between(follower.confirmed_stamp, current_stamp()),
    )


def retry_after_s(reply: Reply) -> float | None:
    """Return the seconds of `Retry-After` in a 503 response; None if there is none."""
    declined = reply.message is not None and reply.message.status == 503
    after = reply.message.headers.get("retry-after", "") if declined else ""
    return float(after) if after.isascii() and after.isdigit() else None


class NoPeerListClient:
    """Null object for a front that has no peers to ask, or no list service."""

    def start(self) -> None: ...

    def on_service_failure(self) -> None: ...

    def close(self) -> None: ...


class PeerListClient(NoPeerListClient):
    """Asks peers for their list, one at a time, while the follower has no current one.

    `pools`: connections to the peers, by index.
    """

    def __init__(self, follower, pools: dict[int, Pool], token_key: bytes, seed: int) -> None:
        self.follower = follower
        self.pools = pools
        self.token_key = token_key
        self.timers = follower.driver.timers
        self.timer = None
        self.request = None
        self.borrows = PeerListRequests(seed, list(pools), follower.driver.start_settings.get("fronts", 1))
        self.closed = False

    def start(self) -> None:
        """Schedule the first request; sooner if the follower has no list at all."""
        wait = self.borrows.first_delay(without_list=not self.follower.rows)
        if wait is not None:
            self.timer = self.timers.after(wait, self.ask_next_peer)

    def on_service_failure(self) -> None:
        """Schedule a request because the list service has just failed."""
        if self.timer is None and self.request is None and not self.closed:
            self.timer = self.timers.after(self.borrows.backoff.next_delay(), self.ask_next_peer)

    def ask_next_peer(self) -> None:
        """Request the list of the next peer, unless the follower has a current one."""
        self.timer = None
        if self.closed or self.follower.leaving or not self.follower.needs_list:
            return
        peer = self.borrows.next_peer(time.monotonic())
        if peer is None:
            self.schedule_next(None, accepted=False)
            return
        follower, pool = self.follower, self.pools[peer]
        session = tokens.Session("list", 0, TOKEN_AUDIENCE, follower.front, "", "")
        token = tokens.sign(session, self.token_key, time.time(), TOKEN_LIFETIME_S)
        have = follower.subscription.latest_version if follower.rows else 0
        target = f"/v1/list?have={have}&life={quote(follower.subscription.epoch, safe='')}"
        data = request_bytes("GET", target, pool.host, authorization=f"Bearer {token}")
        self.request = pool.request(
            data, REQUEST_TIMEOUT_S, lambda reply: self.response_received(peer, reply)
        )

    def schedule_next(self, peer: int | None, accepted: bool, retry_after: float | None = None) -> None:
        """Schedule the next request after the result of `peer` (None: no peer could be asked)."""
        if not self.closed:
            wait = self.borrows.next_delay(time.monotonic(), peer, accepted, retry_after)
            self.timer = self.timers.after(wait, self.ask_next_peer)

    def response_received(self, peer: int, reply: Reply) -> None:
        """Pass a peer's list to the follower, if it still needs one."""
        self.request = None
        if reply.outcome != "ok" or reply.message.status != 200:
            self.schedule_next(peer, False, retry_after_s(reply))
            return
        try:
            listing = forms.decode(forms.Listing, reply.message.body)
            seconds = float(reply.message.headers.get("age", ""))
        except (forms.DecodeError, ValueError) as err:
            self.follower.driver.log.warning(
                "malformed list from a peer; ignored", peer=peer, why=describe(err)
            )
            self.schedule_next(peer, False)
            return
        if self.follower.needs_list:
            self.follower.accept_peer_list(listing, seconds)
        self.schedule_next(peer, True)

    def close(self) -> None:
        """Send no further request."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()


class PeerListServer:
    """Answers peers' requests for this front's list."""

    def __init__(self, follower, token_key: bytes) -> None:
        self.follower = follower
        self.token_key = token_key
        self.lends = PeerListLimiter()

    def handle_request(self, exchange: Exchange, query: str) -> None:
        """Answer `GET /v1/list`: the whole list, or only a confirmation where the peer has the same version.

        403 without a valid token, 404 without a recently confirmed list, 503 after too many whole lists.
        """
        bearer, follower = exchange.request.headers.get("authorization", ""), self.follower
        try:
            tokens.check(bearer.removeprefix("Bearer "), self.token_key, TOKEN_AUDIENCE)
        except tokens.TokenError as err:
            problems.answer(exchange, 403, f"Lists are given only to fronts of this fleet: {err}")
            return
        own, params = list_status(follower), dict(parse_qsl(query))
        if not follower.rows or not self.lends.is_trusted(own, follower.churn.trust(own.age_s)):
            problems.answer(exchange, 404, "This front has no recently confirmed list")
            return
        up_to_date = (params.get("have"), params.get("life", "")) == (str(own.version), own.epoch)
        if not up_to_date and not self.lends.allow(time.monotonic()):
            problems.answer(
                exchange,
                503,
                "This front has sent the most whole lists that it may send for now",
                retry_after=int(PEER_LIST_RETRY_AFTER_S * 10_000),
            )
            return
        rows = [] if up_to_date else [row for row in follower.rows.values() if row.state != "gone"]
        titles = [] if up_to_date else list(follower.titles.values())
        listing = forms.Listing(
            "changes" if up_to_date else "whole",
            own.version,
            own.version if up_to_date else 0,
            rows,
            titles,
            own.epoch,
        )
        exchange.reply(
            200,
            {"content-type": "application/jsonl", "age": str(ceil(own.age_s))},
            forms.encode(listing) + b"\n",
        )


def is_acceptable(follower, listing: forms.Listing, seconds: float) -> bool:
    """Whether a peer's list, confirmed `seconds` ago, is valid and better than the follower's."""
    offered = ListVersion(listing.life, listing.version, seconds if seconds >= 0 else None)
    return (
        listing.how in ("whole", "changes")
        and peer_list_is_better(list_status(follower), offered)
        and PeerListLimiter.is_trusted(offered, follower.churn.trust(offered.age_s))
    )
