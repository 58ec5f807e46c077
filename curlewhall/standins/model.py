"""Capacity model of simulated nodes: links, rack uplinks, warm-up and overload crashes.

No I/O: the caller passes the time in seconds; rates are in kB per second. Where the demand on a link or on a
rack's uplink is over its capacity, all plays there get the same share of their rates.
"""

from collections import deque
from zlib import crc32


def hash_fraction(*key) -> float:
    """A pseudo-random number in [0, 1) that depends on `key` alone."""
    return crc32(":".join(map(str, key)).encode()) / 2**32


class Rack:
    """The nodes of a rack, and the load of their common uplink."""

    def __init__(self, uplink: float) -> None:
        self.uplink = uplink
        self.uplink_divisor = 1.0  # over 1 while a fault reduces the uplink
        self.nodes: list[NodeModel] = []

    def demand(self) -> float:
        """The sum of the rates of all plays in the rack."""
        return sum(node.demand for node in self.nodes)

    def load(self) -> float:
        """Demand over capacity of the uplink; may be over 1."""
        return self.demand() / (self.uplink / self.uplink_divisor)


class NodeModel:
    """The capacity of one node: its load, its warm-up and its recent set-ups."""

    def __init__(
        self, name: str, rack: Rack, link: float, streams: int, rules: dict, now: float, warm: bool
    ) -> None:
        self.name = name
        self.rack = rack
        self.rules = rules
        self.streams = streams  # plays that the node takes at most
        self.link = link
        self.slow = 1.0  # divisor of the link's capacity
        self.neighbour = 0.0  # share of the link that other traffic takes
        self.demand = 0.0  # sum of the rates of all plays here
        self.setups = deque()  # times of the set-ups in the last `rules["fall"]` seconds
        self.started = float("-inf") if warm else now
        self.created = now
        rack.nodes.append(self)

    def warmth(self, now: float) -> float:
        """The share of its capacity that the node has: it rises from a cold start's share to 1."""
        start = self.rules["start_capacity"]
        return min(1.0, start + (1 - start) * (now - self.started) / self.rules["warm_within"])

    def capacity(self, now: float) -> float:
        """The rate that the link has for plays."""
        return self.link * self.warmth(now) * (1 - self.neighbour) / self.slow

    def load(self, now: float) -> float:
        """Demand over capacity of the link; may be over 1."""
        return self.demand / self.capacity(now)

    def share(self, now: float) -> float:
        """The share of its rate that every play here gets."""
        return min(1.0, 1 / max(self.load(now), self.rack.load(), 1e-9))

    def setup_budget(self, now: float) -> float:
        """Set-ups that a cold node survives within a window of `rules["fall"]` seconds."""
        rules = self.rules
        setups_per_s = self.streams / rules["warm_within"] * self.warmth(now)
        return rules["overload_factor"] * setups_per_s * rules["fall"]

    def count_setup(self, now: float) -> bool:
        """Count a set-up; returns whether it overloads the node, which then crashes."""
        if now - self.started >= self.rules["warm_within"]:
            return False
        self.setups.append(now)
        while self.setups[0] <= now - self.rules["fall"]:
            self.setups.popleft()
        # One more than the budget, as set-ups are counted whole: the third is the first over a budget of 2.4.
        return len(self.setups) > self.setup_budget(now) + 1

    def report(self, now: float, fields: list[str], noise: float, count: int, plays: int) -> dict[str, float]:
        """The values of `fields` in a load report, off by up to the share `noise`.

        `count` seeds the noise; `plays` is the node's number of plays.
        """
        noise_factor = 1 + noise * (2 * hash_fraction(self.name, count) - 1)
        link_load = self.load(now) * noise_factor
        values = {
            "link_share": min(1.0, link_load),
            "link_asked": link_load,
            "uplink_asked": self.rack.load() * noise_factor,
            "streams": float(plays),
        }
        return {field: round(values[field], 4) for field in fields}
