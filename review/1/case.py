"""Bad clients name sessions that no playout node knows; the front keeps each and outgrows its memory."""

import asyncio
import itertools
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common.rig import TROUBLE, main  # noqa: E402
from common.way import TimedNode, keep_commenting  # noqa: E402

from curlewhall.codecs import messages  # noqa: E402

RUN_S = 75.0
PAUSE_S = 0.45  # between two usual viewers: about two plays a second
BAD_CLIENTS = 20  # at a time
REQUESTS_AT_ONCE = 300  # "hundreds"
STAY_S = 1.0  # then the client closes, and another comes
LIMIT_MB = 192  # "at most", and what the configuration says here


def private_mb(pid: int) -> float:
    """The memory of a process that it shares with no file, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def case(rig, record) -> bool:
    numbers = itertools.count(1)
    counts = {"bad requests": 0, "bad clients": 0, "closed by the front": 0}
    for i in range(12):
        rig.nodes[f"b{i}"] = TimedNode(rig, f"b{i}", lambda: 8.0)
        await rig.nodes[f"b{i}"].start()
    await rig.channel.start()
    rig.tasks.append(asyncio.create_task(keep_commenting(rig.channel)))
    port = await rig.start_front()
    front = rig.fronts[0]
    viewer = await rig.viewer(port)
    asked = []

    async def usual_viewers() -> None:
        for i in itertools.count():
            product, patience = ("proof", "4000") if i % 3 == 2 else ("preview", "3000")
            asked.append(viewer.request_play(product=product, home=i % 5, copies=3, top=4, patience=patience))
            await asyncio.sleep(PAUSE_S)

    def unknown_session() -> bytes:
        """A set-up for a session that, it says, plays at a node; the node knows of none such."""
        number = next(numbers)
        fields = f"home:{number % 5};copies:3;top:4;viewer:{number:016x};at:b{number % 12}"
        return messages.encode(
            messages.SET_UP,
            f"bad{number:013x}",
            product=b"preview",
            title=b"00000000000000bb",
            attributes=fields.encode(),
            description=b"x",
        )

    async def bad_client() -> None:
        """Hundreds of requests at once; it reads what is sent to it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        counts["bad clients"] += 1
        try:
            writer.write(b"".join(unknown_session() for _ in range(REQUESTS_AT_ONCE)))
            counts["bad requests"] += REQUESTS_AT_ONCE
            async with asyncio.timeout(STAY_S):
                while await reader.read(65536):
                    pass
            counts["closed by the front"] += 1
        except TimeoutError:
            pass
        finally:
            writer.close()

    async def bad_clients() -> None:
        while True:
            try:
                await bad_client()
            except OSError:
                await asyncio.sleep(0.1)

    rig.tasks.append(asyncio.create_task(usual_viewers()))
    await asyncio.sleep(5)
    if TROUBLE:
        rig.tasks += [asyncio.create_task(bad_clients()) for _ in range(BAD_CLIENTS)]
    most, began, over = 0.0, record.now(), False
    while record.now() - began < RUN_S and not over and front.returncode is None:
        await asyncio.sleep(0.5)
        size = private_mb(front.pid)
        most = max(most, size)
        answers = [len(viewer.messages_of(s, (messages.ANSWER,))) for s in asked[-12:-2]]
        record.write(f"n0 has {size:.0f} MB, {counts}, served of the last ten usual viewers: {sum(answers)}")
        over = size > LIMIT_MB
    if over:
        front.send_signal(signal.SIGKILL)
        record.write(f"n0 is over its {LIMIT_MB} MB: the platform kills it")
    elif front.returncode is not None:
        record.write(f"n0 has ended by itself with {front.returncode}")
    record.write(f"most memory {most:.0f} MB of {LIMIT_MB}, {counts}, usual viewers {len(asked)}")
    return not over and front.returncode is None


main(case, pathlib.Path(__file__).parent)
