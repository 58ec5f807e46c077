"""What stands in for the keeper where nothing is kept. It needs none of the libraries that keeping needs."""

from collections.abc import Callable


class NoKeeper:
    """A front without a state folder: nothing is kept, nothing waits."""

    def may(self) -> bool:
        return True

    def sending(self, held, number: int, node: str, paid: bool, go: Callable[[bool], None]) -> bool:
        return True

    def playing(self, play: str, number: int) -> None: ...

    def over(self, play: str) -> None: ...

    def took(self) -> None: ...

    def spoke(self, node: str, plays) -> None: ...

    def doubtful(self, viewer: str, title: str, product: str) -> bool:
        return False

    def waits_for(self, node: str) -> bool:
        return False

    def ran_for(self, play: str, number: int) -> int:
        return 0

    def close(self) -> None: ...
