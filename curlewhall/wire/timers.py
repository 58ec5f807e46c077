"""One heap for all time limits of a process, in place of a task or a loop handle for each."""

import heapq
import time
from collections.abc import Callable
from itertools import count


class Timer:
    """A call that is due at `due` (seconds of `time.monotonic`), until it is cancelled."""

    __slots__ = ("due", "call", "facts", "owner")

    def __init__(self, owner: "Timers", due: float, call: Callable, facts: tuple) -> None:
        self.owner, self.due, self.call, self.facts = owner, due, call, facts

    def cancel(self) -> None:
        """Forget the call; may be said twice, and after it was made."""
        if self.call is not None:
            self.call, self.facts = None, ()
            self.owner.dead += 1
            self.owner.sweep()


class Timers:
    """Calls in the order of their due times; calls due at one time in the order in which they were asked."""

    def __init__(self, loop) -> None:
        self.loop, self.heap, self.order, self.dead = loop, [], count(), 0
        self.handle, self.armed = None, float("inf")

    def __len__(self) -> int:
        return len(self.heap) - self.dead

    def after(self, span: float, call: Callable, *facts) -> Timer:
        """Call `call(*facts)` in `span` seconds, never within this turn of the loop."""
        timer = Timer(self, time.monotonic() + span, call, facts)
        heapq.heappush(self.heap, (timer.due, next(self.order), timer))
        if timer.due < self.armed:
            self.arm(timer.due)
        return timer

    def sweep(self) -> None:
        # Danger: a front cancels nearly all of its limits. Once most of a large heap is dead, it is rebuilt;
        # 64 keeps small heaps from being rebuilt for nothing.
        if self.dead > 64 and self.dead * 2 > len(self.heap):
            self.heap = [item for item in self.heap if item[2].call is not None]
            heapq.heapify(self.heap)
            self.dead = 0

    def arm(self, due: float) -> None:
        if self.handle is not None:
            self.handle.cancel()
        # uvloop's own clock stands still within a turn and its timers are whole milliseconds: half of one is
        # added so that rounding never rings early.
        self.armed = due
        self.handle = self.loop.call_later(max(0.0, due - time.monotonic()) + 0.0005, self.ring)

    def ring(self) -> None:
        """Make the calls that are due. One that fails is told to the loop and spares the others."""
        now, self.armed, self.handle = time.monotonic(), float("inf"), None
        while self.heap and self.heap[0][0] <= now:
            timer = heapq.heappop(self.heap)[2]
            call, facts, timer.call = timer.call, timer.facts, None
            if call is None:
                self.dead -= 1
                continue
            try:
                call(*facts)
            except Exception as err:
                self.loop.call_exception_handler({"message": "a due call failed", "exception": err})
        if self.heap and self.heap[0][0] < self.armed:
            self.arm(self.heap[0][0])
