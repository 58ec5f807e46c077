"""What stands in where nobody is let in by turns. It needs nothing."""


class NoReadmit:
    """Each request goes to the module at once; who is declined is told what the module says."""

    def asked(self, held, again: bool, turn: str) -> int | None:
        return None

    def turned(self, held, away: int) -> int:
        return away

    def token(self, held) -> str:
        return ""

    def placed(self, held) -> None: ...

    def set_up(self, how: str) -> None: ...

    def lost(self) -> None: ...

    def expect(self, viewers: int) -> None: ...

    def state(self) -> dict:
        return {}
