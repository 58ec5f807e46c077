"""Transfer of plays from a stopping front to its peers: exactly one front holds each play at any time."""

import asyncio
import time
from urllib.parse import urlsplit

import pytest
from front.deployment import deployment, until
from loopback import looped

from curlewhall.dash import manifest, tokens
from curlewhall.drills.baselines import TwoDrawn
from curlewhall.front import play_transfer
from curlewhall.front.play_transfer import OFFER_AUDIENCE
from curlewhall.front.transfer_rules import has_free_seat, peer_order
from curlewhall.wire import forms
from curlewhall.wire.client import Pool
from curlewhall.wire.http import request_bytes


async def ask_front(env, index, method, target, body=b"", **fields):
    where = env.plan["fronts"][index]
    pool = Pool(env.fleet.loop, env.fleet.timers, where["address"], where["port"])
    reply = await pool.fetch(request_bytes(method, target, pool.host, body, **fields), 20)
    pool.close()
    return reply.message


@looped
async def test_plays_of_a_stopping_front_go_to_its_peers_and_their_viewers_are_sent_there(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=4, fronts=3) as env:
        leaving = env.fronts[0]
        plans = [(await env.ask(viewer=f"v{i}", title=f"clip-{i % 4:02}"))[1] for i in range(12)]
        peers = [await env.front(TwoDrawn, index) for index in (1, 2)]
        await leaving.stop()
        env.fronts.remove(leaving)
        assert sorted(len(front.driver.plays) > 0 for front in peers) == [True, True]
        assert sum(len(front.driver.plays) for front in peers) == 12
        assert all(len(front.driver.module.plays) == len(front.driver.plays) for front in peers)
        assert len(env.rows("setup")) == 12  # no second set-up
        for plan in plans:
            assert (await env.segment(plan, 2)).status == 200
        # The new front moves a play: the node tells its viewer which front to ask.
        active_play = next(iter(peers[0].driver.plays.values()))
        plan = next(plan for plan in plans if active_play.info.play in plan.base)
        env.fault("drain", nodes=[active_play.node])
        await until(lambda: active_play.info.play not in peers[0].driver.plays)
        gone = await env.segment(plan, 3)
        assert gone.status == 410 and gone.headers["location"].startswith(peers[0].viewers.public_url)
        where = urlsplit(gone.headers["location"])
        message = await ask_front(env, 1, "GET", f"{where.path}?{where.query}")
        assert message.status == 200
        assert (await env.segment(manifest.read(message.body), 3)).status == 200


@looped
async def test_peer_accepts_plays_only_up_to_its_seats(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=4, fronts=2) as env:
        leaving = env.fronts[0]
        for i in range(5):
            await env.ask(viewer=f"v{i}", product="paid")
        peer = await env.front(TwoDrawn, 1)
        for i in range(3):
            await env.ask(viewer=f"w{i}", product="paid")
        await leaving.stop()
        env.fronts.remove(leaving)
        assert len(peer.driver.plays) == 6  # as many seats as the product has
        # The other plays continue at their nodes.
        assert len([row for row in env.rows("end") if row["playing"]]) == 0


@looped
@pytest.mark.parametrize(
    ("edit", "status"),
    [
        (lambda offer: {}, 204),
        (lambda offer: {"token": ""}, 403),
        (lambda offer: {"key": b"x" * 32}, 403),
        (lambda offer: {"aud": "n000"}, 403),  # a viewer's token
        (lambda offer: {"sub": "another"}, 403),
        (lambda offer: {"node": "nowhere"}, 409),
        (lambda offer: {"title": "unknown"}, 409),
        (lambda offer: {"number": 7}, 409),  # an allocation that the node does not have
        (lambda offer: {"body": b"{"}, 400),
    ],
)
async def test_offer_is_accepted_only_if_token_node_title_and_number_are_valid(tmp_path, edit, status):
    async with deployment(tmp_path, TwoDrawn, nodes=3, fronts=2) as env:
        await env.ask()
        (active_play,) = env.fronts[0].driver.plays.values()
        peer = await env.front(TwoDrawn, 1)
        change = edit(active_play)
        number = change.get("number", active_play.playing_number)
        facts = forms.msgspec.structs.replace(
            active_play.info, number=number, title=change.get("title", active_play.info.title)
        )
        session = tokens.Session(
            change.get("sub", facts.play),
            number,
            change.get("aud", OFFER_AUDIENCE),
            "front-0",
            facts.title,
            facts.product,
        )
        token = change.get("token", tokens.sign(session, change.get("key", b"k" * 32), time.time(), 10))
        body = change.get(
            "body", forms.encode(forms.Offer("front-0", facts, change.get("node", active_play.node)))
        )
        message = await ask_front(env, 1, "POST", "/v1/offer", body, authorization=f"Bearer {token}")
        assert message.status == status
        assert len(peer.driver.plays) == (status == 204) and not peer.driver.plays_at_predecessor
        assert len(peer.driver.module.plays) == (status == 204)
        # Offered again, the play is already held by this front.
        again = await ask_front(env, 1, "POST", "/v1/offer", body, authorization=f"Bearer {token}")
        assert again.status == (409 if status == 204 else status)


@looped
async def test_offer_that_times_out_is_made_to_no_other_peer(tmp_path):
    """The node answers the peer after the offer has timed out; still only one front holds the play."""
    async with deployment(tmp_path, TwoDrawn, nodes=3, fronts=3) as env:
        leaving = env.fronts[0]
        await env.ask(viewer="v")
        peers, offers, gate = [await env.front(TwoDrawn, index) for index in (1, 2)], [], asyncio.Event()
        (active_play,) = leaving.driver.plays.values()

        async def after_gate(taking, call, *args):
            await gate.wait()
            call(*args)

        for peer in peers:
            taking = peer.viewers.offer_receiver
            offered, taken = taking.handle_offer, taking.node_responded
            taking.handle_offer = lambda exchange, offered=offered: (
                offers.append(exchange),
                offered(exchange),
            )
            taking.node_responded = lambda *args, taking=taking, taken=taken: env.fleet.loop.create_task(
                after_gate(taking, taken, *args)
            )
        play_transfer.OFFER_TIMEOUT_S, limit = 0.2, play_transfer.OFFER_TIMEOUT_S
        try:
            transferring = asyncio.ensure_future(play_transfer.PlayTransfer(leaving).transfer(active_play))
            await until(lambda: offers)
            await transferring  # the offer times out
        finally:
            play_transfer.OFFER_TIMEOUT_S = limit
        gate.set()
        holder = [peer for peer in peers if active_play.info.play in peer.driver.plays_at_predecessor]
        await until(lambda: not any(peer.driver.plays_at_predecessor for peer in peers))
        assert len(offers) == len(holder) == 1
        assert [active_play.info.play in peer.driver.plays for peer in peers].count(True) == 1
        assert len(env.rows("setup")) == 1


@looped
async def test_two_fronts_that_stop_together_transfer_nothing_to_each_other(tmp_path):
    async with deployment(tmp_path, TwoDrawn, nodes=3, fronts=2) as env:
        await env.ask()
        await env.front(TwoDrawn, 1)
        await env.ask(viewer="w")
        both = list(env.fronts)
        env.fronts.clear()
        await asyncio.gather(*(front.stop() for front in both))
        assert not env.rows("given")


@pytest.mark.parametrize(("seats", "held", "taken"), [(0, 99, True), (6, 5, True), (6, 6, False)])
def test_seat_is_free_below_the_limit_or_without_one(seats, held, taken):
    assert has_free_seat(seats, held) is taken


def test_peer_order_starts_at_a_different_peer_for_each_play():
    found = [peer_order(f"p{i}", 3) for i in range(60)]
    assert {tuple(row) for row in found} == {(0, 1, 2), (1, 2, 0), (2, 0, 1)} and peer_order("p", 0) == []
