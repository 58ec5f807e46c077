"""An answer whose Content-Length is too small is passed on as whole, with a description that is cut."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common.rig import TROUBLE, main  # noqa: E402
from common.way import TimedNode, keep_commenting  # noqa: E402

from curlewhall.codecs import messages  # noqa: E402

ASKS = 60
PAUSE_S = 0.45  # between two viewers: about two plays a second
SPOILT_ONE_IN = 10  # of the nodes' answers
WATCH_S = 5.0  # after the last viewer has asked: longer than any of them waits
LAST_LINE = b"a=rtpmap:101 telephone-event/8000\r\n"


class LongDescriptionNode(TimedNode):
    """Its descriptions have one more line; without it the text is still well formed."""

    def description(self, session: str) -> bytes:
        return super().description(session) + LAST_LINE


async def case(rig, record) -> bool:
    answers, spoilt = [], []

    def spoil(node, writer, session, data) -> bool:
        """One good answer in ten has a Content-Length that does not fit: its body is one line longer."""
        answers.append(session)
        if not TROUBLE or len(answers) % SPOILT_ONE_IN != 5:
            return False
        size = len(node.descriptions[session])
        head, _, body = data.partition(b"\r\n\r\n")
        head = head.replace(b"Content-Length: %d" % size, b"Content-Length: %d" % (size - len(LAST_LINE)))
        writer.write(head + b"\r\n\r\n" + body)
        writer.spoilt = True
        spoilt.append(session)
        record.write(f"{node.name:8} its answer for {session} has a length that does not fit: {head!r}")
        return True

    for i in range(3):
        rig.nodes[f"b{i}"] = LongDescriptionNode(rig, f"b{i}", lambda: 8.0, spoil)
        await rig.nodes[f"b{i}"].start()
    await rig.channel.start()
    rig.tasks.append(asyncio.create_task(keep_commenting(rig.channel)))
    viewer = await rig.viewer(await rig.start_front())
    asked = []
    for i in range(ASKS):
        product, patience = ("proof", "4000") if i % 3 == 2 else ("preview", "3000")
        asked.append(viewer.request_play(product=product, copies=3, top=4, patience=patience))
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(WATCH_S)

    served, wrong = 0, []
    for session in asked:
        for message in viewer.messages_of(session, (messages.ANSWER,)):
            served += 1
            got = bytes(message.fields.get(messages.DESCRIPTION, b""))
            made = [n.descriptions[session] for n in rig.nodes.values() if session in n.descriptions]
            # A text that breaks off within a line would show the client that it is not whole.
            if got not in made and got.endswith(b"\r\n"):
                wrong.append(session)
                record.write(f"{session} was answered with {got!r}; the nodes made {made!r}")
    record.write(f"asked {len(asked)}, served {served}, spoilt on the way {spoilt}")
    record.write(f"served a cut text {wrong}")
    if not served or TROUBLE and not spoilt:
        raise RuntimeError("nothing to judge")
    return not wrong


main(case, pathlib.Path(__file__).parent)
