"""What stands in for the play store where nothing is kept. Needs none of the libraries that keeping needs."""

from collections.abc import Callable


class NoPlayStore:
    """A front without a state folder: nothing is kept, nothing waits."""

    def may_reallocate(self) -> bool:
        return True

    def record_allocation(
        self, active_play, number: int, node: str, paid: bool, go: Callable[[bool], None]
    ) -> bool:
        return True

    def allocation_playing(self, play: str, number: int) -> None: ...

    def play_over(self, play: str) -> None: ...

    def request_accepted(self) -> None: ...

    def node_connected(self, node: str, plays) -> None: ...

    def is_uncertain(self, viewer: str, title: str, product: str) -> bool:
        return False

    def awaits_node(self, node: str) -> bool:
        return False

    def played_ms(self, play: str, number: int) -> int:
        return 0

    def close(self) -> None: ...
