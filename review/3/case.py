"""A release that its node sends on a connection spoilt by an earlier answer never reaches its viewer."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common.rig import TROUBLE, main  # noqa: E402
from common.way import TimedNode, keep_commenting  # noqa: E402

from curlewhall.codecs import messages  # noqa: E402

ASKS = 150
SPOILT_ONE_IN = 10  # of the nodes' answers to proofs
PAUSE_S = 0.45  # between two viewers: about two plays a second
LIMIT_S = 8.0 + 0.05  # by the page, with its 50 ms
WATCH_S = 14.0  # after the last viewer has asked


async def case(rig, record) -> bool:
    draw = random.Random(41)
    asked: dict[str, str] = {}  # session -> product
    answers, spoilt = [], []

    def life_s() -> float:
        return draw.uniform(2.0, 6.0)

    def spoil(node, writer, session, data) -> bool:
        """One good answer to a proof in ten stops short, from whichever node."""
        answers.extend([session] if asked[session] == "proof" else [])
        if not TROUBLE or asked[session] != "proof" or len(answers) % SPOILT_ONE_IN != 5:
            return False
        spoilt.append((session, node.name))
        writer.write(data[:-30])
        writer.spoilt = True
        record.write(f"{node.name:8} its answer for {session} stops short; the connection is of no more use")
        return True

    for i in range(3):
        rig.nodes[f"b{i}"] = TimedNode(rig, f"b{i}", life_s, spoil)
        await rig.nodes[f"b{i}"].start()
    rig.zones["b1"] = "maja-b"  # the others are in the front's own building
    await rig.channel.start()
    rig.tasks.append(asyncio.create_task(keep_commenting(rig.channel)))
    viewer = await rig.viewer(await rig.start_front())

    def ask(product) -> None:
        patience = "4000" if product == "proof" else "3000"
        asked[viewer.request_play(product=product, copies=3, top=4, patience=patience)] = product

    for _ in range(6):  # at once, so that the nodes see more than one connection
        ask("preview")
    for i in range(ASKS):
        await asyncio.sleep(PAUSE_S)
        ask("proof" if i % 3 == 2 else "preview")
    await asyncio.sleep(WATCH_S)

    heard = {}  # session -> when its release came
    for at, side, what, session in rig.times:
        if side == "viewer" and what == messages.RELEASE:
            heard.setdefault(session, at)
    answered = {s for _, side, what, s in rig.times if side == "viewer" and what == messages.ANSWER}
    late, now = [], time.monotonic()
    for node in rig.nodes.values():
        for session, at in node.ended_at.items():
            if session in answered and min(heard.get(session, now), now) - at > LIMIT_S:
                took = "not yet" if session not in heard else f"{heard[session] - at:.2f} s later"
                late.append(session)
                record.write(f"{session} ended at {node.name}; its viewer was told {took}")
    record.write(
        f"asked {len(asked)}, answered with a description {len(answered)}, "
        f"spoilt on the way {spoilt}, told too late {late}"
    )
    if not answered or TROUBLE and not spoilt:
        raise RuntimeError("nothing to judge")
    return not late


main(case, pathlib.Path(__file__).parent)
