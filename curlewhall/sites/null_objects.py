"""The null object for `sites.run.SiteMonitor`, without dependencies."""


class NoSites:
    """A front without site monitoring: hides no nodes, trusts the list's start times and sheds no load."""

    hidden_nodes: frozenset[str] = frozenset()

    def allocation_result(self, node: str, how: str) -> None:
        """An allocation at the node ended; `how` is one of `interface.Ending`."""

    def node_contact(self, node: str, how: str, survived: bool = False) -> None:
        """There is evidence on whether the node is reachable, see `decide.SiteDetector.record_evidence`."""

    def play_declined(self, product: str) -> None:
        """The module declined a play for lack of room."""

    def node_reported(self, node: str, kind: str, value: float) -> None:
        """The node reported a load value, such as "link_asked"."""

    def nodes_listed(self, rows, whole: bool) -> None:
        """The node list changed; `whole`: nodes that are not in `rows` are gone."""

    def effective_start(self, row, started: int) -> int:
        """The start time of a node that the module is given, in ticks."""
        return started

    def state(self) -> dict:
        """The part of `/v1/state` that describes sites."""
        return {}
