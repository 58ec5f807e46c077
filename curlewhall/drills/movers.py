"""Movers to measure against: all at once, and none at all. Never a part of the front."""

from curlewhall.moves import Mover


class AllAtOnce(Mover):
    """Ends every play of a draining node in the same moment, without asking whether there is room."""

    def most_out(self):
        return 1 << 30

    def holder(self, now, seat):
        return True

    def declined(self, now, play, limit):
        return ()

    def consider(self, now, play, seat, plan):
        if not seat.out:
            plan.ready.put(play, self.rank(seat))

    def work(self, now):
        self.next_at = now
        out = []
        while True:
            begun = super().work(now)
            self.next_at = now
            if not begun:
                return out
            for answer in begun:
                out += self.looked(now, answer[1], True) if answer[0] == "look" else [answer]


class Stay(Mover):
    """Moves nobody: viewers come again by themselves when the node stops."""

    def drain(self, now, node, deadline=None):
        return None
