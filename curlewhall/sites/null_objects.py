"""What stands in for the watch over sites where there is none. It needs nothing."""


class NoSites:
    """A front that knows no sites: every node is what the list says, and nothing is refused for a loss."""

    hidden_nodes: frozenset[str] = frozenset()

    def allocation_result(self, node: str, how: str) -> None: ...

    def node_contact(self, node: str, how: str, lived: bool = False) -> None: ...

    def play_declined(self, product: str) -> None: ...

    def node_reported(self, node: str, kind: str, value: float) -> None: ...

    def nodes_listed(self, rows, whole: bool) -> None: ...

    def effective_start(self, row, started: int) -> int:
        return started

    def state(self) -> dict:
        return {}
