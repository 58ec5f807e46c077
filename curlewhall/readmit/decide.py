"""Who of a crowd that comes back is let to the module now, and when the others are to come. No I/O, no clock.

Called once for each thing that happens, `now` in tenths of a millisecond. A request is let in (None) or told
a span after which to come; what the module turns away is told one too. In the calm everything is let in.

Danger: when a site is lost or a front restarts, all its viewers come within two seconds, meet nodes that can
set up a fraction of that, and are told the same pause, so that they meet again. Here each gets a moment of
its own: turns are given one after the other at the rate that the nodes bear, drawn within their places, so
that the turns of several fronts, which know nothing of each other's, lie apart.
"""

from collections.abc import Mapping
from zlib import crc32

from .state import MOST, Calm, Counts, Crowd, Queue, Waiting, turns

SECOND = 10_000
SMOOTH = 0.05  # of each calm second that goes into what is usual: twenty seconds
BROKE = 5  # plays that break off in a second: a node that falls alone takes fewer of one front's
SURGE, AGAIN = 2.0, 0.5  # times the usual requests, with so many of them returning: another front's crowd
LITTLE = 4  # requests a second that are never a crowd
START = 1.5  # times what is usually placed: the rate at which a storm begins
GAIN, DROP = 0.1, 0.7  # of the starting rate, added a second; of the rate, left when too many are turned away
TOO_MANY = 0.2  # of those let in that the module turns away: more is a rate that the nodes don't bear
NEWCOMERS = 0.3  # of the rate is theirs: they are not starved by the crowd, and do not go before it
BURST = 0.5  # seconds' worth of the rate that may come in one moment
LEAST = SECOND // 2  # the shortest wait told: what comes back sooner has gained nothing
EARLY = SECOND // 10  # a viewer's clock may run so much ahead
LONGEST = 30 * SECOND  # who has waited so long in all is let in: importance alone decides from then on
GONE = 10 * SECOND  # past its turn for so long, a viewer is not expected any more
OVER = 2 * SECOND  # without anybody expected, a storm is over


class Readmit:
    """One front's. `weights`: product -> importance; `paid`: products that never wait; `most`: the longest
    span that may be told, in tenths of a millisecond.
    """

    def __init__(self, now: int, seed: int, weights: Mapping[str, float], paid: frozenset[str],
                 most: int) -> None:
        self.seed, self.weights, self.paid, self.most = seed, dict(weights), paid, most
        self.turns, self.calm, self.counts, self.second = turns(), Calm(), Counts(), now
        self.crowd: Crowd | None = None
        self.longest, self.foreign = 0, {}  # the longest wait so far; turns of others that were used here

    # ---- what happens

    def expect(self, now: int, viewers: int) -> None:
        """So many viewers of this front will come: it lost their plays, or a former process held them."""
        if viewers >= BROKE:
            self.storm(now)

    def lost(self, now: int) -> None:
        """A play under way broke off."""
        self.look(now)
        self.counts.lost += 1
        if self.counts.lost >= BROKE:
            self.storm(now)

    def asked(self, now: int, viewer: str, product: str, again: bool,
              waited: int | None = None) -> int | None:
        """A request; None: it goes to the module. Else: after how long it is to come.

        `waited`: it brings a turn of another front, good and not used here, and has waited so long in all.
        """
        self.look(now)
        self.counts.asked += 1
        self.counts.again += again
        if self.crowd is None and self.counts.asked > max(LITTLE, SURGE * self.calm.asked) and \
                self.counts.again > AGAIN * self.counts.asked:
            self.storm(now)
        if self.crowd is None or product in self.paid:
            # Danger: a play that was paid for is not made to wait for those that were not
            self.turns.pop(viewer, None)
            return None
        mine = self.turns.get(viewer)
        if mine is None and waited is not None:
            mine = self.turns[viewer] = Waiting(now, now - waited, product)
        if mine is not None and now - mine.since >= LONGEST:
            return self.let(now, viewer, mine)
        if mine is not None and now < mine.due - EARLY:
            return mine.due - now  # too early: its turn stays where it is, however often it asks
        self.fill(now)
        if mine is not None:
            if self.crowd.tokens >= 1:
                self.crowd.tokens -= 1
                return self.let(now, viewer, mine)
            return self.give(now, viewer, mine.since, product)
        if not again and self.crowd.fresh >= 1:
            self.crowd.fresh -= 1
            self.counts.let += 1
            return None
        return self.give(now, viewer, now, product)

    def turned(self, now: int, viewer: str, product: str, away: int) -> int:
        """The module has no room for it: what it is told in place of `away`, which is the same for all."""
        self.look(now)
        self.counts.turned += 1
        if self.crowd is None or product in self.paid:
            return away
        mine = self.turns.get(viewer)
        return self.give(now, viewer, mine.since if mine else now, product)

    def placed(self, now: int, viewer: str) -> None:
        self.look(now)
        self.counts.placed += 1
        self.turns.pop(viewer, None)

    def waited(self, now: int, viewer: str) -> int | None:
        """For how long it has waited by now, for a token; None: it has no turn."""
        mine = self.turns.get(viewer)
        return None if mine is None else max(0, now - mine.since)

    def use(self, now: int, name: str, until: int) -> bool:
        """Whether another front's turn, good `until` then, was not used here before."""
        for old in [n for n, end in self.foreign.items() if end < now]:
            del self.foreign[old]
        if name in self.foreign or len(self.foreign) >= MOST:
            return False
        self.foreign[name] = until
        return True

    # ---- turns

    def let(self, now: int, viewer: str, mine: Waiting) -> None:
        self.longest = max(self.longest, now - mine.since)
        self.counts.let += 1
        # kept until it is placed or turned away: it may have to wait again, and has waited so long already
        mine.due = now
        return None

    def give(self, now: int, viewer: str, since: int, product: str) -> int:
        """The next free place among its product's turns, at this front's moment within it."""
        crowd = self.crowd
        queue = crowd.queues.setdefault(product, Queue(weight=self.weights.get(product, 1.0)))
        whole = sum(q.weight for q in crowd.queues.values())
        apart = SECOND / max(0.1, crowd.rate * (1 - NEWCOMERS) * queue.weight / whole)
        place = max(queue.next, float(now + LEAST))
        queue.next = place + apart
        due = int(place + apart * (crc32(f"{self.seed}:{viewer}".encode()) / 2**32))
        due = min(due, max(now + LEAST, since + LONGEST))
        self.turns.pop(viewer, None)
        self.turns[viewer] = Waiting(due, since, product)
        while len(self.turns) > MOST:
            self.turns.popitem(last=False)
        return due - now

    def told(self, span: int) -> int:
        """What may be told of a span; who comes early by that is told the rest."""
        return max(1, min(span, self.most))

    # ---- the storm and its rate

    def storm(self, now: int) -> None:
        if self.crowd is None:
            rate = max(2.0, START * self.calm.placed)
            self.crowd = Crowd(rate, rate / 4, rate * BURST, rate * BURST * NEWCOMERS, now, now, now)

    def fill(self, now: int) -> None:
        crowd = self.crowd
        span, crowd.filled = (now - crowd.filled) / SECOND, now
        crowd.tokens = min(max(1.0, crowd.rate * BURST), crowd.tokens + span * crowd.rate * (1 - NEWCOMERS))
        crowd.fresh = min(max(1.0, crowd.rate * BURST * NEWCOMERS),
                          crowd.fresh + span * crowd.rate * NEWCOMERS)

    def look(self, now: int) -> None:
        """Once a second: what is usual, or the storm's rate, from what the second brought."""
        while now - self.second >= SECOND:
            counts, self.counts = self.counts, Counts()
            self.second = max(self.second + SECOND, now - SECOND) if now - self.second < 2 * SECOND else now
            if self.crowd is None:
                calm, part = self.calm, max(SMOOTH, 1 / (self.calm.seen + 1))
                calm.asked += part * (counts.asked - calm.asked)
                calm.placed += part * (counts.placed - calm.placed)
                calm.seen += 1
                continue
            self.steer(now, counts)

    def steer(self, now: int, counts: Counts) -> None:
        """More while the nodes bear it, much less as soon as they don't; and the end of it."""
        crowd = self.crowd
        if counts.turned > TOO_MANY * max(1, counts.let):
            crowd.rate = max(crowd.least, DROP * crowd.rate)
        else:
            crowd.rate += GAIN * 4 * crowd.least
        for viewer in [v for v, mine in self.turns.items() if now - mine.due > GONE]:
            del self.turns[viewer]
        if self.turns:
            crowd.calm_since = now
        elif now - crowd.calm_since >= OVER and now - crowd.began >= OVER:
            self.crowd = None

    def state(self) -> dict:
        """For `/v1/state`."""
        crowd = self.crowd
        return {"storm": crowd is not None, "waiting": len(self.turns),
                "rate": round(crowd.rate, 1) if crowd else None, "usual": round(self.calm.placed, 1),
                "longest_s": round(self.longest / SECOND, 1)}
