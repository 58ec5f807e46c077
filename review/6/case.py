"""A slow command channel after a new configuration: the front never hears of a drain."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import stand  # noqa: E402

SLOW_S = 2.0  # until the answer to a request of the channel begins; half of the 4 s after SIGHUP
TOLD_S = 4.0  # DAYS: what the channel has to tell counts as told 4 s after SIGHUP
GRACE_S = 0.25  # the drain grace of tartu-clips
AFTER_S = 20.0  # how long the front is watched after SIGHUP


async def case(record, fronts):
    nodes = [stand.Node(record, f"s-{cell:08x}", cell) for cell in range(12)]
    old, new = stand.Channel(record, "old"), stand.Channel(record, "new")
    await old.start()
    await new.start()
    front = stand.Front(record, old, nodes, stand.settings())
    fronts.append(front)
    await front.start()
    viewer = await front.viewer()
    over, drained = asyncio.Event(), nodes[0]

    async def traffic():
        """Two previews a second of a title that the first three nodes hold; each plays for 4 s."""
        number = 0
        while not over.is_set():
            number += 1
            session = f"{number:016x}"
            viewer.set_up(session, "preview", home=0, copies=3)
            asyncio.get_running_loop().call_later(4.0, viewer.release, session)
            await asyncio.sleep(0.5)

    task = asyncio.create_task(traffic())
    await asyncio.sleep(6.0)  # the nodes count as warm from here on
    if stand.TROUBLE:
        new.answer_after_s = SLOW_S
    front.write_config(new)
    front.send_signal(signal.SIGHUP)
    hup = record.now()
    retiring = asyncio.create_task(old.retire())
    new.tell(2, [drained.member("draining")])
    await asyncio.sleep(AFTER_S)
    over.set()
    await asyncio.gather(task, retiring)
    if not any(row[0] < hup for row in record.of(drained.id, "set-up")):
        raise stand.CannotRunError("no set-up reached the node before its drain")
    limit = hup + TOLD_S + GRACE_S + stand.SLACK_S
    late = [row for row in record.of(drained.id, "set-up") if row[0] > limit]
    if not late:
        return []
    first, last = (f"{rows[0] - hup:.2f} s" for rows in (late[0], late[-1]))
    return [
        f"{len(late)} set-ups were sent to {drained.id} after the last moment for it, 4.30 s after SIGHUP: "
        f"the first {first} and the last {last} after SIGHUP; watched for {AFTER_S:.0f} s"
    ]


if __name__ == "__main__":
    stand.main(__file__, case)
