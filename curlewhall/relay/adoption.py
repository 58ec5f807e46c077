"""Sessions of before this process, which viewers name and their nodes report.

A node reports such a session once, on a connection that opens. Until then it is no play: clients may name
sessions that no node knows.
"""

import time
from typing import TYPE_CHECKING

from .decide import AdoptionLimits, Unreported
from .node_state import Node, UnconfirmedSession

if TYPE_CHECKING:
    from .nodes import Nodes
    from .set_up_form import PlayInfo

TEMPORARY_FAILURE = 41  # release cause (ITU-T Q.850)


class Adoption:
    """The unconfirmed sessions of all nodes; part of `nodes`."""

    def __init__(self, nodes: "Nodes", limits: AdoptionLimits) -> None:
        self.nodes = nodes
        self.limits = limits
        self.driver = nodes.driver

    def adopt(self, info: "PlayInfo", name: str) -> bool:
        """Take over a session that a viewer says was set up before this process began; False if its node is
        not listed, or has not so many streams.
        """
        node = self.nodes.nodes.get(name)
        if node is None:
            return False
        held = len(node.sessions) + len(node.unconfirmed)
        if not self.limits.accepts(node.row.kind, held):
            return False
        connected = any(c.transport.open for c in node.connections)
        node.unconfirmed[info.play] = UnconfirmedSession(
            info, self.driver.clock.now(), time.monotonic() if connected else None
        )
        self.nodes.connect_to_report(node)
        return True

    def connection_made(self, node: Node, now: float) -> None:
        """A connection to the node has come up, on which it reports its sessions."""
        for session in node.unconfirmed.values():
            session.awaited_since = session.awaited_since or now

    def reports_lost(self, node: Node) -> None:
        """A connection has ended on which the node may have reported its sessions."""
        for session in node.unconfirmed.values():
            session.report_lost = session.report_lost or session.awaited_since is not None

    def confirm(self, node: Node, play: str) -> None:
        """Its node has reported a session: from here on it counts as a play."""
        session = node.unconfirmed.pop(play)
        node.sessions[play] = session.named_at
        self.driver.resume_play(session.info, session.info, node.id)

    def lose(self, node: Node, play: str) -> None:
        """Take an unconfirmed session for ended."""
        del node.unconfirmed[play]
        self.driver.viewers.session_ended(play, TEMPORARY_FAILURE)

    def resolve_unreported(self, node: Node, now: float) -> None:
        """Decide on the sessions that a node could have reported for long, and has not."""
        for play, session in list(node.unconfirmed.items()):
            match self.limits.decide_unreported(
                session.awaited_since, session.report_lost, node.last_bytes_at, now
            ):
                case Unreported.PRESUME:
                    self.confirm(node, play)
                    self.driver.viewers.presume(play)
                case Unreported.ASK:
                    self.ask_for_sign_of_life(node, now)
                case Unreported.DROP:
                    del node.unconfirmed[play]
                    self.nodes.tear_down(node, play)
                    self.driver.viewers.unreported(play, TEMPORARY_FAILURE)

    def ask_for_sign_of_life(self, node: Node, now: float) -> None:
        """Have a node that has said nothing answer, once in the time that its reports may take."""
        if now - node.asked_at > self.limits.confirmation_timeout_s:
            node.asked_at = now
            self.nodes.ask_for_any_answer(node)
