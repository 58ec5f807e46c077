"""Links, uplinks, warm-up and falling over of a simulated fleet. No I/O: the caller brings the time
(seconds).

Where more is asked than a link or a rack's uplink gives, all plays there get the same share of their rates.
"""

from collections import deque
from zlib import crc32


def unit(*facts) -> float:
    """A number in [0, 1) that depends on nothing but `facts`."""
    return crc32(":".join(map(str, facts)).encode()) / 2**32


class Rack:
    """The nodes of a rack, and what its uplink carries."""

    def __init__(self, uplink: float) -> None:
        self.uplink, self.sag, self.nodes = uplink, 1.0, []

    def asked(self) -> float:
        return sum(node.asked for node in self.nodes)

    def full(self) -> float:
        """Asked over given."""
        return self.asked() / (self.uplink / self.sag)


class Machine:
    """One node: what it carries, how warm it is, how many set-ups it has had lately."""

    def __init__(
        self, name: str, rack: Rack, link: float, streams: int, rules: dict, now: float, warm: bool
    ) -> None:
        self.name, self.rack, self.rules, self.streams = name, rack, rules, streams
        self.link, self.slow, self.neighbour = link, 1.0, 0.0
        self.asked, self.setups = 0.0, deque()
        self.started = float("-inf") if warm else now
        self.born = now
        rack.nodes.append(self)

    def warmth(self, now: float) -> float:
        start = self.rules["start_capacity"]
        return min(1.0, start + (1 - start) * (now - self.started) / self.rules["warm_within"])

    def given(self, now: float) -> float:
        """What the link gives to plays."""
        return self.link * self.warmth(now) * (1 - self.neighbour) / self.slow

    def full(self, now: float) -> float:
        return self.asked / self.given(now)

    def share(self, now: float) -> float:
        """The share of its rate that every play here gets."""
        return min(1.0, 1 / max(self.full(now), self.rack.full(), 1e-9))

    def bears(self, now: float) -> float:
        """Set-ups that a cold node bears within the window; beyond, it falls over."""
        rules = self.rules
        pace = self.streams / rules["warm_within"] * self.warmth(now)
        return rules["overload_factor"] * pace * rules["fall"]

    def took(self, now: float) -> bool:
        """Count a set-up; True where the node falls over by it."""
        if now - self.started >= self.rules["warm_within"]:
            return False
        self.setups.append(now)
        while self.setups[0] <= now - self.rules["fall"]:
            self.setups.popleft()
        # one more: what is counted by whole set-ups is over a budget of 2.4 with the third at the earliest
        return len(self.setups) > self.bears(now) + 1

    def report(self, now: float, fields: list[str], noise: float, count: int, plays: int) -> dict[str, float]:
        """A load report, as noisy as said."""
        off = 1 + noise * (2 * unit(self.name, count) - 1)
        full = self.full(now) * off
        values = {
            "link_share": min(1.0, full),
            "link_asked": full,
            "uplink_asked": self.rack.full() * off,
            "streams": float(plays),
        }
        return {field: round(values[field], 4) for field in fields}
