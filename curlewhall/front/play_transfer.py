"""Transfers plays from a front that stops without a successor to its peers.

The node decides which front holds a play: a peer that accepts an offer asks the node to change the play's
front, so that exactly one front holds it at any time. Offers are signed with the key of the viewers'
tokens, which fronts and nodes share (RFC 7519).
"""

import asyncio
import time

from curlewhall.dash import tokens
from curlewhall.wire import forms
from curlewhall.wire.http import request_bytes
from curlewhall.wire.server import Exchange

from . import problems
from .driver import ActivePlay
from .transfer_rules import has_free_seat, peer_order

OFFER_AUDIENCE = "curlewhall:offer"  # a viewer's token names its node here
MAX_CONCURRENT_OFFERS = 32  # peers also have to serve their viewers
OFFER_TIMEOUT_S = 1.5  # includes the peer's request to the node
TRANSFER_TIMEOUT_S = 6.0  # for all plays; the rest stay at their nodes until the front's next start
TOKEN_LIFETIME_S = 10.0


class PlayTransfer:
    """The side of the front that stops. `front`: its `FrontProcess`."""

    def __init__(self, front) -> None:
        self.front = front
        self.driver = front.driver
        self.peer_pools = list(front.peer_pools.values())
        self.transferred = 0

    async def transfer_all(self) -> int:
        """Offer every play to the peers; return how many were accepted."""
        waiting = [
            active_play
            for active_play in self.driver.plays.values()
            if active_play.playing_number is not None
        ]
        deadline = self.front.loop.time() + TRANSFER_TIMEOUT_S

        async def worker() -> None:
            while waiting and self.front.loop.time() < deadline:
                await self.transfer(waiting.pop())

        if self.peer_pools:
            await asyncio.gather(*(worker() for _ in range(min(MAX_CONCURRENT_OFFERS, len(waiting)))))
        return self.transferred

    async def transfer(self, active_play: ActivePlay) -> None:
        """Offer one play to one peer after the other until one accepts."""
        info = active_play.info
        for i in peer_order(info.play, len(self.peer_pools)):
            if active_play.playing_number is None:
                return  # ended meanwhile
            number = active_play.playing_number + active_play.number_offset
            current_info = forms.msgspec.structs.replace(info, number=number, rung=active_play.rung)
            session = tokens.Session(
                info.play, number, OFFER_AUDIENCE, self.front.viewers.front, info.title, info.product
            )
            token = tokens.sign(session, self.front.viewers.token_key, time.time(), TOKEN_LIFETIME_S)
            pool = self.peer_pools[i]
            body = forms.encode(forms.Offer(self.front.viewers.front, current_info, active_play.node))
            reply = await pool.fetch(
                request_bytes("POST", "/v1/offer", pool.host, body, authorization=f"Bearer {token}"),
                OFFER_TIMEOUT_S,
            )
            if reply.outcome == "ok" and reply.message.status == 204:
                self.transferred += 1
                self.driver.plays.pop(info.play, None)
                self.driver.play_store.play_ended(info.play)
                return
            if reply.outcome not in ("ok", "unreached", "not_sent"):
                return  # this peer may have accepted it: a second one could end up holding it too


class OfferReceiver:
    """The side of the peer."""

    def __init__(self, viewers) -> None:
        self.viewers = viewers
        self.driver = viewers.driver

    def handle_offer(self, exchange: Exchange) -> None:
        """Answer `POST /v1/offer`: 204 accepted, 409 not accepted, 400 or 403 for an invalid offer."""
        bearer = exchange.request.headers.get("authorization", "")
        try:
            offer = forms.decode(forms.Offer, exchange.request.body)
            session = tokens.check(bearer.removeprefix("Bearer "), self.viewers.token_key, OFFER_AUDIENCE)
        except forms.DecodeError as err:
            problems.answer(exchange, 400, err.detail, remedy=err.remedy)
            return
        except tokens.TokenError as err:
            problems.answer(exchange, 403, f"The offer has no valid token: {err}")
            return
        info = offer.facts
        if (session.play, session.number, session.front) != (info.play, info.number, offer.front):
            problems.answer(exchange, 403, "The token is for another play, number or front than the offer")
        elif not self.can_take(offer):
            problems.answer(exchange, 409, "This front can't accept the play")
        else:
            self.take_over(exchange, offer)

    def can_take(self, offer: forms.Offer) -> bool:
        """Whether this front can accept the play: node and title known, a seat free, not shutting down."""
        driver, info = self.driver, offer.facts
        node = driver.nodes.nodes.get(offer.node)
        if (
            not self.viewers.accepting
            or driver.successor is not None
            or node is None
            or not node.hello_received
            or node.stream is None
            or info.play in driver.plays
            or info.play in driver.plays_at_predecessor
            or info.title not in self.viewers.titles
            or info.product not in self.viewers.products
        ):
            return False
        index = self.viewers.products[info.product][0]
        plays_held = sum(
            active_play.info.title == info.title and active_play.info.product == info.product
            for plays in (driver.plays, driver.plays_at_predecessor)
            for active_play in plays.values()
        )
        return has_free_seat(driver.start_settings["specifics.seats"][index], plays_held)

    def take_over(self, exchange: Exchange, offer: forms.Offer) -> None:
        """Ask the node to change the play's front to this one.

        The module counts the play's seat from here on, before the node confirms, so that the seat is never
        counted by no front; if the node does not confirm, the module is told that the play ended, so that
        not two count it.
        """
        driver, info = self.driver, offer.facts
        now = driver.clock.now()
        active_play = ActivePlay(info, self.viewers.titles[info.title], None, now, now)
        active_play.latest_node = offer.node
        driver.plays_at_predecessor[info.play] = active_play
        driver.register_existing_play(active_play, offer.node)
        body = forms.encode(
            forms.FrontChange(info.number, self.viewers.front, self.viewers.manifest_location(info))
        )
        node = driver.nodes.nodes[offer.node]
        data = request_bytes("PUT", f"/v1/plays/{info.play}/front", node.pool.host, body)
        node.pool.request(
            data, OFFER_TIMEOUT_S / 2, lambda reply: self.node_responded(exchange, offer, active_play, reply)
        )

    def node_responded(self, exchange: Exchange, offer: forms.Offer, active_play: ActivePlay, reply) -> None:
        """Adopt the play if its node has changed the front, and answer the offer accordingly."""
        driver, play = self.driver, offer.facts.play
        driver.plays_at_predecessor.pop(play, None)
        if reply.outcome == "ok" and reply.message.status == 204:
            driver.adopt_play(active_play, offer.node)
            driver.log.info("play taken over from a peer", play=play, node=offer.node, front=offer.front)
            exchange.reply(204)
            return
        driver.dispatch("ended", play, 0, offer.node, "withdrawn", True, 0, {})
        node = driver.nodes.nodes.get(offer.node)
        if reply.outcome not in ("ok", "unreached", "not_sent") and node is not None and node.stream:
            # The node may have made the change: its next hello shows, and lets the play be resumed.
            node.hello_received = False
            node.stream.withdraw()
        problems.answer(exchange, 409, "Its node did not confirm the change of front")
