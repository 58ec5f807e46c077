"""Base class of the program's own errors.

Each subclass has a `remedy` of one sentence for the operator; the message says what was found. Imports
nothing, so that every package can use it.
"""


class CurlewhallError(Exception):
    """`detail`: what was found. `remedy`: what an operator can do, the same for all errors of a class."""

    remedy = "Report this with the log around it: it is a fault of the program."

    @property
    def detail(self) -> str:
        """The message: what was found, and where."""
        return str(self)

    @property
    def full_message(self) -> str:
        """Detail and remedy for a command line or a log, on one line if the detail is one line."""
        return f"{self.detail}{chr(10) if chr(10) in self.detail else ' - '}{self.remedy}"


def describe(err: Exception) -> str:
    """Return the message of any error, with the remedy of a `CurlewhallError`."""
    return err.full_message if isinstance(err, CurlewhallError) else str(err)
