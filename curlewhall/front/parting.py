"""A front that leaves without a successor gives the plays that it holds to its peers, and takes theirs.

The node is where it is settled whose a play is: the peer that takes it asks the node to change its front, so
that at each moment one front holds it. Offers are signed with the key of the viewers' tokens, which fronts
and nodes share (RFC 7519).
"""

import asyncio
import time

from curlewhall.dash import tokens
from curlewhall.wire import forms
from curlewhall.wire.http import request_bytes
from curlewhall.wire.server import Exchange

from . import problems
from .driver import ActivePlay
from .sharing import order, takes

AUDIENCE = "curlewhall:offer"  # of an offer's token, where a viewer's has its node
OUT = 32  # offers under way at once: a peer's loop is busy with viewers as well
LIMIT = 1.5  # seconds for an answer, in which the peer asks the node
LONGEST = 6.0  # seconds for all of them; what is left stays at its node for the next start
LIFE = 10.0  # seconds that an offer's token holds


class Giving:
    """The side of the front that leaves."""

    def __init__(self, front) -> None:
        self.front, self.driver, self.peers = front, front.driver, list(front.fellows.values())
        self.given = 0

    async def all(self) -> int:
        """Offer every play; answers how many were taken."""
        waiting = [
            active_play
            for active_play in self.driver.plays.values()
            if active_play.playing_number is not None
        ]
        until = self.front.loop.time() + LONGEST

        async def worker() -> None:
            while waiting and self.front.loop.time() < until:
                await self.one(waiting.pop())

        if self.peers:
            await asyncio.gather(*(worker() for _ in range(min(OUT, len(waiting)))))
        return self.given

    async def one(self, active_play: ActivePlay) -> None:
        facts = active_play.info
        for i in order(facts.play, len(self.peers)):
            if active_play.playing_number is None:
                return  # over meanwhile
            number = active_play.playing_number + active_play.number_offset
            now = forms.msgspec.structs.replace(facts, number=number, rung=active_play.rung)
            session = tokens.Session(
                facts.play, number, AUDIENCE, self.front.viewers.front, facts.title, facts.product
            )
            proof = tokens.sign(session, self.front.viewers.key, time.time(), LIFE)
            pool = self.peers[i]
            body = forms.encode(forms.Offer(self.front.viewers.front, now, active_play.node))
            reply = await pool.fetch(
                request_bytes("POST", "/v1/offer", pool.host, body, authorization=f"Bearer {proof}"), LIMIT
            )
            if reply.ending == "ok" and reply.message.status == 204:
                self.given += 1
                self.driver.plays.pop(facts.play, None)
                self.driver.play_store.play_ended(facts.play)
                return
            if reply.ending not in ("ok", "unreached", "not_sent"):
                return  # it may have been taken: offering it to another could make two of one


class Taking:
    """The side of the peer."""

    def __init__(self, viewers) -> None:
        self.viewers, self.driver = viewers, viewers.driver

    def offered(self, exchange: Exchange) -> None:
        bearer = exchange.request.headers.get("authorization", "")
        try:
            offer = forms.decode(forms.Offer, exchange.request.body)
            session = tokens.check(bearer.removeprefix("Bearer "), self.viewers.key, AUDIENCE)
        except forms.DecodeError as err:
            problems.answer(exchange, 400, err.detail, remedy=err.remedy)
            return
        except tokens.TokenError as err:
            problems.answer(exchange, 403, f"an offer of nobody: {err}")
            return
        facts = offer.facts
        if (session.play, session.number, session.front) != (facts.play, facts.number, offer.front):
            problems.answer(exchange, 403, "the token is for another play")
        elif not self.can(offer):
            problems.answer(exchange, 409, "not taken")
        else:
            self.take(exchange, offer)

    def can(self, offer: forms.Offer) -> bool:
        driver, facts = self.driver, offer.facts
        node = driver.nodes.nodes.get(offer.node)
        if (
            not self.viewers.open
            or driver.successor is not None
            or node is None
            or not node.greeted
            or node.stream is None
            or facts.play in driver.plays
            or facts.play in driver.plays_at_predecessor
            or facts.title not in self.viewers.titles
            or facts.product not in self.viewers.products
        ):
            return False
        index = self.viewers.products[facts.product][0]
        plays_held = sum(
            h.info.title == facts.title and h.info.product == facts.product
            for plays in (driver.plays, driver.plays_at_predecessor)
            for h in plays.values()
        )
        return takes(driver.start_settings["specifics.seats"][index], plays_held)

    def take(self, exchange: Exchange, offer: forms.Offer) -> None:
        """Danger: two fronts that count a seat for a play, or none. The module counts it from now on."""
        driver, facts = self.driver, offer.facts
        now = driver.clock.now()
        active_play = ActivePlay(facts, self.viewers.titles[facts.title], None, now, now)
        active_play.latest_node = offer.node
        driver.plays_at_predecessor[facts.play] = active_play
        driver.register_existing_play(active_play, offer.node)
        body = forms.encode(forms.Given(facts.number, self.viewers.front, self.viewers.location(facts)))
        node = driver.nodes.nodes[offer.node]
        data = request_bytes("PUT", f"/v1/plays/{facts.play}/front", node.pool.host, body)
        node.pool.ask(data, LIMIT / 2, lambda reply: self.taken(exchange, offer, active_play, reply))

    def taken(self, exchange: Exchange, offer: forms.Offer, active_play: ActivePlay, reply) -> None:
        driver, play = self.driver, offer.facts.play
        driver.plays_at_predecessor.pop(play, None)
        if reply.ending == "ok" and reply.message.status == 204:
            driver.adopt_play(active_play, offer.node)
            driver.log.info("taken over", play=play, node=offer.node, front=offer.front)
            exchange.reply(204)
            return
        driver.dispatch("ended", play, 0, offer.node, "withdrawn", True, 0, {})
        node = driver.nodes.nodes.get(offer.node)
        if reply.ending not in ("ok", "unreached", "not_sent") and node is not None and node.stream:
            # it may have been given to us: the node's next hello tells, and shows what is not known here
            node.greeted = False
            node.stream.withdraw()
        problems.answer(exchange, 409, "its node did not give it")
