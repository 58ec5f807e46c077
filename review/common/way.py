"""Nodes whose answers take the time of a set-up, whose sessions end by themselves, and whose answers can be
spoilt on their way to the front.
"""

import asyncio
import time

from curlewhall.standins.platform import Node


class Way:
    """A node's writer. Once `spoilt`, what it writes reaches nobody, though the connection stays open."""

    def __init__(self, writer) -> None:
        self.writer = writer
        self.spoilt = False

    def __getattr__(self, name):
        return getattr(self.writer, name)

    def write(self, data: bytes) -> None:
        if not self.spoilt and not self.writer.is_closing():
            self.writer.write(data)


class TimedNode(Node):
    """A sound node: a set-up takes `set_up_s`, a session lasts `life_s()`, and then the node releases it.

    `spoil(node, writer, session, data)` may write an answer in another form; it returns whether it did.
    """

    set_up_s = 0.06

    def __init__(self, platform, name, life_s, spoil=None) -> None:
        super().__init__(platform, name)
        self.life_s = life_s
        self.spoil = spoil
        self.ended_at: dict[str, float] = {}  # session -> when it ended at this node
        self.descriptions: dict[str, bytes] = {}

    async def serve(self, reader, writer) -> None:
        await super().serve(reader, Way(writer))

    def description(self, session: str) -> bytes:
        """A session description, as a viewer needs it to find its stream."""
        port = 31000 + int(session, 16) % 999
        return f"{session}\r\nc=IN IP4 127.0.0.1\r\nm=audio {port} RTP/AVP 0 8 101\r\n".encode()

    def apply_behaviour(self, behaviour, writer, session, body) -> None:
        asyncio.get_running_loop().call_later(self.set_up_s, self.finish, writer, session)

    def finish(self, writer, session) -> None:
        """Answer a set-up, unless it was given up meanwhile."""
        if self.pending.get(session) is not writer:
            return
        del self.pending[session]
        description = self.descriptions[session] = self.description(session)
        self.sessions[session] = writer
        self.record("answered", session, description)
        data = self.answer(200, session, description)
        if self.spoil is None or not self.spoil(self, writer, session, data):
            writer.write(data)
        asyncio.get_running_loop().call_later(self.life_s(), self.session_over, session)

    def session_over(self, session) -> None:
        """The session has come to its end: release it."""
        if session in self.sessions:
            self.ended_at[session] = time.monotonic()
            self.end(session, 16)


async def keep_commenting(channel) -> None:
    """The channel's comment, each second."""
    while True:
        await asyncio.sleep(1)
        for writer in channel.connections:
            if not writer.is_closing():
                writer.write(b": still here\n\n")
