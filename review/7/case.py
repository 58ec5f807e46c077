"""A machine vanishes; a paid set-up on its silent connection puts off the release of the plays there."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import stand  # noqa: E402

RELEASE_S = 8.0  # PROTOCOL: if no release could be sent, it must happen within 8 s of its end
FIRST_TRY_S, LAST_TRY_S = 4.6, 5.7  # after the machine vanished: when proofs are asked for
WATCH_S = 20.0


async def case(record, fronts):
    nodes = [stand.Node(record, f"s-{cell:08x}", cell) for cell in range(12)]
    channel = stand.Channel(record)
    await channel.start()
    front = stand.Front(record, channel, nodes, stand.settings())
    fronts.append(front)
    await front.start()
    viewer = await front.viewer()
    number, holders = 0, nodes[:3]

    async def ask(product):
        nonlocal number
        number += 1
        session = f"{number:016x}"
        viewer.set_up(session, product, home=0, copies=3)
        answer = await viewer.final(session, 0.4)
        return session, answer is not None and answer[1] == "answer"

    # Plays at all three holders; at the one that vanishes a single one is left.
    until = record.now() + 20.0
    while record.now() < until and not all(len(node.sessions) >= 2 for node in holders):
        await ask("preview")
        await asyncio.sleep(0.2)
    gone = min(holders, key=lambda node: len(node.sessions))
    if not gone.sessions:
        raise stand.CannotRunError("no play stands at one of the holders")
    stays, *others = list(gone.sessions)
    for session in others:
        viewer.release(session)
    await asyncio.sleep(1.0)
    over = record.now()
    record.add("case", "chosen", stays, f"stands at {gone.id}, connections there: {len(gone.links)}")
    if stand.TROUBLE:
        over = record.add(gone.id, "vanishes")
        await gone.go_dark()
    await asyncio.sleep(over + FIRST_TRY_S - record.now())
    while record.now() < over + LAST_TRY_S:
        before = len(gone.sessions)
        session, served = await ask("proof")
        seen = any(row[3] == session for row in record.of("", "set-up"))
        if not served and not seen and stand.TROUBLE:
            record.add(
                "case", "unanswered so far", session, f"asked for {record.now() - over:.2f} s after the end"
            )
            break
        if len(gone.sessions) > before:
            break
        await asyncio.sleep(0.05)
    else:
        raise stand.CannotRunError("no proof was sent to the machine that is gone")
    await asyncio.sleep(over + WATCH_S - record.now())
    released = [entry for entry in viewer.got[stays] if entry[1] == "release"]
    if not stand.TROUBLE:
        return ["a play that stands was released"] if released else []
    late = released[0][0] - over if released else None
    if late is None:
        return [f"{stays} was over with its machine and was not released within {WATCH_S:.0f} s"]
    record.add("case", "released", stays, f"{late:.2f} s after its end")
    if late > RELEASE_S + stand.SLACK_S:
        return [f"{stays} was over with its machine and was released {late:.2f} s later, 8.05 s are allowed"]
    return []


if __name__ == "__main__":
    stand.main(__file__, case)
