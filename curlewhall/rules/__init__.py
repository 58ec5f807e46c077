"""The six rules, judged from what passed on the sockets. See `docs/records.md` for how each is read."""

from .judge import Broken, Terms, judge, terms_of

__all__ = ["Broken", "Terms", "judge", "terms_of"]
