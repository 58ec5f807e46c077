"""All timeouts of a process in one heap, in place of a task or an event-loop handle for each."""

import heapq
import time
from collections.abc import Callable
from itertools import count

MIN_CANCELLED_TO_COMPACT = 64  # smaller heaps aren't worth rebuilding
ROUNDING_MARGIN_S = 0.0005


class Timer:
    """A call that is due at `due` (seconds of `time.monotonic`), until it is cancelled."""

    __slots__ = ("due", "callback", "args", "owner")

    def __init__(self, owner: "Timers", due: float, callback: Callable, args: tuple) -> None:
        self.owner = owner
        self.due = due
        self.callback = callback
        self.args = args

    def cancel(self) -> None:
        """Cancel the call. Has no effect on a timer that has run or was cancelled."""
        if self.callback is not None:
            self.callback = None
            self.args = ()
            self.owner.cancelled += 1
            self.owner.compact()


class Timers:
    """Calls in the order of their due times; calls with equal due times in the order of registration."""

    def __init__(self, loop) -> None:
        self.loop = loop
        self.heap = []
        self.order = count()
        self.cancelled = 0  # cancelled timers that are still in the heap
        self.handle = None
        self.armed_for = float("inf")  # due time for which `handle` is set

    def __len__(self) -> int:
        return len(self.heap) - self.cancelled

    def after(self, delay_s: float, callback: Callable, *args) -> Timer:
        """Call `callback(*args)` in `delay_s` seconds, never within this iteration of the event loop."""
        timer = Timer(self, time.monotonic() + delay_s, callback, args)
        heapq.heappush(self.heap, (timer.due, next(self.order), timer))
        if timer.due < self.armed_for:
            self.arm(timer.due)
        return timer

    def compact(self) -> None:
        """Rebuild the heap once most of its timers are cancelled. A front cancels nearly all of its timeouts,
        and the heap would otherwise grow with them.
        """
        if self.cancelled > MIN_CANCELLED_TO_COMPACT and self.cancelled * 2 > len(self.heap):
            self.heap = [item for item in self.heap if item[2].callback is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def arm(self, due: float) -> None:
        """Have the event loop call `run_due` at `due`."""
        if self.handle is not None:
            self.handle.cancel()
        # uvloop's clock stands still within an iteration and its timers have whole milliseconds: half a
        # millisecond is added so that rounding never makes a timer run early.
        self.armed_for = due
        self.handle = self.loop.call_later(max(0.0, due - time.monotonic()) + ROUNDING_MARGIN_S, self.run_due)

    def run_due(self) -> None:
        """Make the calls that are due. An exception goes to the loop's exception handler; the others run."""
        now, self.armed_for, self.handle = time.monotonic(), float("inf"), None
        while self.heap and self.heap[0][0] <= now:
            timer = heapq.heappop(self.heap)[2]
            callback, args, timer.callback = timer.callback, timer.args, None
            if callback is None:
                self.cancelled -= 1
                continue
            try:
                callback(*args)
            except Exception as err:
                self.loop.call_exception_handler({"message": "a timer's callback failed", "exception": err})
        if self.heap and self.heap[0][0] < self.armed_for:
            self.arm(self.heap[0][0])
