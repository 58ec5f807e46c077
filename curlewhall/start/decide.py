"""When a front asks the list service, and for what. No I/O and no clock: calls in, seconds and words out.

Each front is harmless; hundreds that ask in one moment, fail, and come back in step are the worst client
that a service has. So every wait is drawn from the front's own seed, over spans that grow with the number of
fronts.
"""

from random import Random

BARE, BARE_IN_ALL = 0.005, 1.0  # a front's part of the span in which a fleet without lists asks; at most
KEPT, KEPT_IN_ALL = 0.02, 4.0  # the same with kept lists: they go by those, and only have them confirmed
LEAST, FIRST = 0.1, 0.5  # the first wait after a stream that ended
PART, MOST, LONGEST = 0.02, 2.0, 10.0  # the longest wait: a front's part; at least; at most
ASKED = 30.0  # a Retry-After beyond it is taken for this: the front would be blind for longer than lists hold


def span(part: float, fronts: int, most: float) -> float:
    """Over how long a fleet does something: a part for each front, `most` for any number of them."""
    return min(most, part * max(1, fronts))


class Draw:
    """Numbers from a front's seed, for one use.

    Danger: a checksum over seed and counter, as the module has it, is linear. From one draw to the next all
    fronts step by one of a few differences, so a fleet drawn apart once would meet again at its second wait.
    """

    def __init__(self, seed: int, what: str) -> None:
        self.random = Random(f"{seed} {what}")

    def between(self, low: float, high: float) -> float:
        return self.random.uniform(low, high)


class Waits:
    """Waits that grow while nothing comes of it (decorrelated jitter).

    The first is drawn between `least` and `first`, each further one up to three times the one before, and
    `most`. Drawn below the bound, not cut at it: what is cut would fall into step there.
    """

    def __init__(self, draw: Draw, least: float, first: float, most: float) -> None:
        self.draw, self.least, self.first, self.most, self.last = draw, least, first, most, 0.0

    def next(self) -> float:
        if self.last:
            self.last = self.draw.between(self.least, min(self.most, 3 * self.last))
        else:
            self.last = self.draw.between(self.least, self.first)
        return self.last

    def anew(self) -> None:
        """Something came of it: the next wait is a first one."""
        self.last = 0.0


class Asks:
    """One front towards the list service.

    A version counts within one life of the service, which the service names; what was kept of another life,
    or of a service that names none, is worth no confirmation, and the whole list is asked for.
    """

    def __init__(self, seed: int, fronts: int) -> None:
        self.draw = Draw(seed, "list")
        self.bare, self.kept = span(BARE, fronts, BARE_IN_ALL), span(KEPT, fronts, KEPT_IN_ALL)
        self.waits = Waits(self.draw, LEAST, FIRST, max(MOST, span(PART, fronts, LONGEST)))
        self.life, self.version = "", 0

    def begin(self, life: str, version: int) -> float:
        """The wait before the first ask, with what a kept list says of itself ("" and 0: there is none).

        Danger: a front that waits goes by an old list, and may be a drain behind. So this has a bound for any
        fleet, and a front without any list, which can place nothing, waits far less.
        """
        self.life, self.version = (life, version) if life else ("", 0)
        return self.draw.between(0.0, self.kept if self.version else self.bare)

    def whole(self, life: str, version: int) -> None:
        """A whole list came, of this life of the service."""
        self.waits.anew()
        self.life, self.version = life, version

    def follows(self, life: str, since: int, version: int) -> bool:
        """Whether a change follows on what is had; if so, it is had from now on. `gap` is yours to say."""
        self.waits.anew()
        if life not in ("", self.life) or not 0 < since == self.version:
            return False
        self.version = version
        return True

    def tick(self) -> None:
        """The service lives, and has nothing new."""
        self.waits.anew()

    def gap(self) -> None:
        """A change built on one never seen: the whole list is asked for."""
        self.version = 0

    def ended(self, retry_after: float | None = None) -> float:
        """The wait before the next ask. `retry_after`: what the service asked for, if it turned this away.

        Danger: all that were turned away in one moment would come back in one, so up to as much again is
        drawn on top, and `FIRST` at least.
        """
        if retry_after is None or not retry_after >= 0:
            return self.waits.next()
        asked = min(ASKED, retry_after)
        return asked + self.draw.between(0.0, max(FIRST, asked))
