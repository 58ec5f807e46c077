"""The one base of the program's own errors: what was seen, and what an operator can do about it.

Needs nothing, so that every floor can use it. Each kind has a name of its own and a `remedy`, one sentence;
whoever raises says what it saw, whoever catches never parses text.
"""


class CurlewhallError(Exception):
    """`detail`: what was seen. `remedy`: what an operator can do, the same for all of a kind."""

    remedy = "Report this with the log around it: it is an error of the program."

    @property
    def detail(self) -> str:
        return str(self)

    @property
    def full_message(self) -> str:
        """Both, for a command line or a log; one line where what was seen is one."""
        return f"{self.detail}{chr(10) if chr(10) in self.detail else ' - '}{self.remedy}"


def describe(err: Exception) -> str:
    """What there is to say of any error: with its remedy where it is one of ours."""
    return err.full_message if isinstance(err, CurlewhallError) else str(err)
