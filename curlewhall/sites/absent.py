"""What stands in for the watch over sites where there is none. It needs nothing."""


class NoSites:
    """A front that knows no sites: every node is what the list says, and nothing is refused for a loss."""

    hidden: frozenset[str] = frozenset()

    def set_up(self, node: str, how: str) -> None: ...

    def heard(self, node: str, how: str, lived: bool = False) -> None: ...

    def declined(self, product: str) -> None: ...

    def report(self, node: str, kind: str, value: float) -> None: ...

    def listed(self, rows, whole: bool) -> None: ...

    def cold(self, row, started: int) -> int:
        return started

    def state(self) -> dict:
        return {}
