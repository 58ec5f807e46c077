"""A front leaves without a successor: its peers take its plays, each play is one front's at each moment."""

import asyncio
import time
from urllib.parse import urlsplit

import pytest
from front.deployment import deployment, until
from loopback import looped

from curlewhall.dash import manifest, tokens
from curlewhall.drills.baselines import TwoDrawn
from curlewhall.front import parting
from curlewhall.front.parting import AUDIENCE
from curlewhall.front.sharing import order, takes
from curlewhall.wire import forms
from curlewhall.wire.client import Pool
from curlewhall.wire.http import request_bytes


async def ask_front(place, index, method, target, body=b"", **fields):
    where = place.plan["fronts"][index]
    pool = Pool(place.fleet.loop, place.fleet.timers, where["address"], where["port"])
    reply = await pool.fetch(request_bytes(method, target, pool.host, body, **fields), 20)
    pool.close()
    return reply.message


@looped
async def test_plays_go_to_the_peers_and_their_viewers_find_them_there(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=4, fronts=3) as place:
        leaving = place.fronts[0]
        plans = [(await place.ask(viewer=f"v{i}", title=f"clip-{i % 4:02}"))[1] for i in range(12)]
        peers = [await place.front(TwoDrawn, index) for index in (1, 2)]
        await leaving.stop()
        place.fronts.remove(leaving)
        assert sorted(len(front.driver.plays) > 0 for front in peers) == [True, True]
        assert sum(len(front.driver.plays) for front in peers) == 12
        assert all(len(front.driver.module.plays) == len(front.driver.plays) for front in peers)
        assert len(place.rows("setup")) == 12  # nothing was set up anew
        for plan in plans:
            assert (await place.segment(plan, 2)).status == 200
        # the new front moves a play: its viewer is told by the node where to ask
        active_play = next(iter(peers[0].driver.plays.values()))
        plan = next(plan for plan in plans if active_play.info.play in plan.base)
        place.fault("drain", nodes=[active_play.node])
        await until(lambda: active_play.info.play not in peers[0].driver.plays)
        gone = await place.segment(plan, 3)
        assert gone.status == 410 and gone.headers["location"].startswith(peers[0].viewers.url)
        where = urlsplit(gone.headers["location"])
        message = await ask_front(place, 1, "GET", f"{where.path}?{where.query}")
        assert message.status == 200
        assert (await place.segment(manifest.read(message.body), 3)).status == 200


@looped
async def test_seats_hold_over_a_leaving_front(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=4, fronts=2) as place:
        leaving = place.fronts[0]
        for i in range(5):
            await place.ask(viewer=f"v{i}", product="paid")
        peer = await place.front(TwoDrawn, 1)
        for i in range(3):
            await place.ask(viewer=f"w{i}", product="paid")
        await leaving.stop()
        place.fronts.remove(leaving)
        assert len(peer.driver.plays) == 6  # as many seats as the product has
        assert len([row for row in place.rows("end") if row["playing"]]) == 0  # the rest plays on at its node


@looped
@pytest.mark.parametrize(
    ("edit", "status"),
    [
        (lambda offer: {}, 204),
        (lambda offer: {"token": ""}, 403),
        (lambda offer: {"key": b"x" * 32}, 403),
        (lambda offer: {"aud": "n000"}, 403),  # a viewer's token is no offer
        (lambda offer: {"sub": "another"}, 403),
        (lambda offer: {"node": "nowhere"}, 409),
        (lambda offer: {"title": "unknown"}, 409),
        (lambda offer: {"number": 7}, 409),  # the node knows no such allocation
        (lambda offer: {"body": b"{"}, 400),
    ],
)
async def test_an_offer_is_taken_only_when_all_of_it_is_right(tmp_path, edit, status):
    async with deployment(tmp_path, TwoDrawn, nodes=3, fronts=2) as place:
        await place.ask()
        (active_play,) = place.fronts[0].driver.plays.values()
        peer = await place.front(TwoDrawn, 1)
        how = edit(active_play)
        number = how.get("number", active_play.playing_number)
        facts = forms.msgspec.structs.replace(
            active_play.info, number=number, title=how.get("title", active_play.info.title)
        )
        session = tokens.Session(
            how.get("sub", facts.play),
            number,
            how.get("aud", AUDIENCE),
            "front-0",
            facts.title,
            facts.product,
        )
        token = how.get("token", tokens.sign(session, how.get("key", b"k" * 32), time.time(), 10))
        body = how.get("body", forms.encode(forms.Offer("front-0", facts, how.get("node", active_play.node))))
        message = await ask_front(place, 1, "POST", "/v1/offer", body, authorization=f"Bearer {token}")
        assert message.status == status
        assert len(peer.driver.plays) == (status == 204) and not peer.driver.plays_at_predecessor
        assert len(peer.driver.module.plays) == (status == 204)
        # given twice: the second time it is this front's already
        again = await ask_front(place, 1, "POST", "/v1/offer", body, authorization=f"Bearer {token}")
        assert again.status == (409 if status == 204 else status)


@looped
async def test_an_offer_that_is_answered_late_is_made_to_no_other(tmp_path):
    """The peer has asked the node; its word comes after the giver's patience. One front holds the play."""
    async with deployment(tmp_path, TwoDrawn, nodes=3, fronts=3) as place:
        leaving = place.fronts[0]
        await place.ask(viewer="v")
        peers, offers, gate = [await place.front(TwoDrawn, index) for index in (1, 2)], [], asyncio.Event()
        (active_play,) = leaving.driver.plays.values()

        async def later(taking, call, *facts):
            await gate.wait()
            call(*facts)

        for peer in peers:
            taking = peer.viewers.taking
            offered, taken = taking.offered, taking.taken
            taking.offered = lambda exchange, offered=offered: (offers.append(exchange), offered(exchange))
            taking.taken = lambda *facts, taking=taking, taken=taken: place.fleet.loop.create_task(
                later(taking, taken, *facts)
            )
        parting.LIMIT, limit = 0.2, parting.LIMIT
        try:
            giving = asyncio.ensure_future(parting.Giving(leaving).one(active_play))
            await until(lambda: offers)
            await giving  # its patience is over
        finally:
            parting.LIMIT = limit
        gate.set()
        holder = [peer for peer in peers if active_play.info.play in peer.driver.plays_at_predecessor]
        await until(lambda: not any(peer.driver.plays_at_predecessor for peer in peers))
        assert len(offers) == len(holder) == 1
        assert [active_play.info.play in peer.driver.plays for peer in peers].count(True) == 1
        assert len(place.rows("setup")) == 1


@looped
async def test_two_that_leave_together_give_each_other_nothing(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=3, fronts=2) as place:
        await place.ask()
        await place.front(TwoDrawn, 1)
        await place.ask(viewer="w")
        both = list(place.fronts)
        place.fronts.clear()
        await asyncio.gather(*(front.stop() for front in both))
        assert not place.rows("given")


@pytest.mark.parametrize(("seats", "held", "taken"), [(0, 99, True), (6, 5, True), (6, 6, False)])
def test_seats(seats, held, taken):
    assert takes(seats, held) is taken


def test_peers_are_asked_in_turn_from_another_one_for_each_play():
    found = [order(f"p{i}", 3) for i in range(60)]
    assert {tuple(row) for row in found} == {(0, 1, 2), (1, 2, 0), (2, 0, 1)} and order("p", 0) == []
