"""Garbage collector settings for long-running processes; imports nothing, since both front ends use it."""

import gc


def tune_garbage_collector(young_threshold: int = 20_000, old_threshold: int = 50) -> None:
    """Freeze the objects created so far and make collections rare.

    With 10,000 plays, a full collection stops the event loop for tens of milliseconds. Plays and their
    parts are freed by reference counting and there are few cycles, so collections can be rare.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(young_threshold, 20, old_threshold)
