"""Null object for the play store of a front that keeps no state. Imports none of the store's dependencies."""

from collections.abc import Callable


class NoPlayStore:
    """Records nothing and delays nothing. Also defines the interface that the driver uses."""

    def may_reallocate(self) -> bool:
        return True

    def record_allocation(
        self, active_play, number: int, node: str, paid: bool, on_durable: Callable[[bool], None]
    ) -> bool:
        return True

    def allocation_playing(self, play: str, number: int) -> None: ...

    def play_ended(self, play: str) -> None: ...

    def request_accepted(self) -> None: ...

    def node_connected(self, node: str, plays) -> None: ...

    def is_uncertain(self, viewer: str, title: str, product: str) -> bool:
        return False

    def awaits_node(self, node: str) -> bool:
        return False

    def min_uptime_ms(self, play: str, number: int) -> int:
        return 0

    def close(self) -> None: ...
