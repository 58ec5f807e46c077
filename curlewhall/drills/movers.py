"""Movers for comparison: one moves all plays at once, one moves none. No part of a front in service."""

from curlewhall.moves import Mover


class AllAtOnce(Mover):
    """Moves all plays of a draining node at once, without a check whether other nodes have room."""

    def max_concurrent_moves(self):
        return 1 << 30

    def has_target(self, now, tracked):
        return True

    def move_declined(self, now, play, limit):
        return ()

    def schedule(self, now, play, tracked, plan):
        if not tracked.phase:
            plan.ready.put(play, self.priority(tracked))

    def next_actions(self, now):
        self.next_move_at = now
        out = []
        while True:
            actions = super().next_actions(now)
            self.next_move_at = now
            if not actions:
                return out
            for action in actions:
                out += self.room_checked(now, action[1], True) if action[0] == "check_room" else [action]


class Stay(Mover):
    """Moves no play: viewers request theirs again when the node stops."""

    def start_drain(self, now, node, deadline=None):
        return None
