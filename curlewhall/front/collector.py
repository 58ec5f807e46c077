"""The collector of a process that lives long; both front ends use it, so it loads nothing of either."""

import gc


def tune_garbage_collector(first: int = 20_000, third: int = 50) -> None:
    """What lives as long as the process is not looked through again and again.

    Danger: with 10,000 plays held the collector's full rounds stop the loop for tens of milliseconds. Plays
    and their parts are freed by reference counts; cycles are few, so rounds can be rare.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(first, 20, third)
