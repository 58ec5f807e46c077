"""What a daemon does about its workers. No I/O, no clock, no process: calls in, tuples out.

Times are whole tenths of a millisecond. A worker is a slot (0, 1, ...) and the number of its process, counted
up over the life of the daemon. Answers, to be carried out in their order:

- `("start", slot, number, successor)`: start a process for the slot; a successor waits for its predecessor.
- `("hand", slot, old, new)`: connect the two; the old one gives, the new one takes.
- `("stop", number)`, `("hurry", number)`, `("kill", number)`: let it answer what it took and leave; shorten
  that; end it outright.
- `("done", what, ok, text)`: a restart, reload or stop that someone asked for has come to its end.
- `("refused", what, text)`: what was asked for this moment is not begun; the same, asked for before, goes on.
- `("wake", span)`: call `wake` then. `("end",)`: every worker is gone, the daemon may leave.

Danger: a front that can't start, started again and again, is a crash loop that hides its cause. Pauses grow,
and after so many crashes within a while the slot stays down until someone says `restart`.
"""

import re
from collections import deque
from urllib.parse import unquote_plus
from zlib import crc32

SECOND = 10_000
READY_WITHIN = 15 * SECOND  # a start that takes longer hangs; reading 100,000 plays from disk takes 2 s
HAND_WITHIN = 10 * SECOND  # from the connection of the two to the new one's word that it serves
LEAVE_WITHIN = 90 * SECOND  # an old one waits for its idle connections, which the wire closes after 60 s
STOP_WITHIN = 20 * SECOND  # twice the longest time limit seen so far, and what the disk takes
FIRST_PAUSE, LONGEST_PAUSE = SECOND // 5, 30 * SECOND  # before a crashed worker is started anew; doubled
LOOP, LOOP_WITHIN = 6, 60 * SECOND  # so many crashes within that, and it stays down


VIEWER = re.compile(r"[?&]viewer=([^&]*)")


def owner(target: str, slots: int) -> int | None:
    """The slot whose front answers a request; None: any does.

    Danger: a viewer that comes again for a paid play, or for one that was moved, and meets a front that does
    not know of it, is set up twice. So a viewer always meets the same front of a machine.
    """
    found = VIEWER.search(target) if slots > 1 and target.startswith("/play/") else None
    return crc32(unquote_plus(found[1]).encode()) % slots if found else None


class Worker:
    """A process of a slot."""

    __slots__ = ("number", "slot", "state", "since", "successor")

    def __init__(self, number: int, slot: int, now: int, successor: bool) -> None:
        self.number, self.slot, self.since, self.successor = number, slot, now, successor
        self.state = "starting"  # then "prepared" (successors), "taking", "serving", "leaving", "stopping"


class Slot:
    """What a slot is to have: one worker that serves, and one that follows it during a hand-over."""

    def __init__(self) -> None:
        self.serving: Worker | None = None
        self.coming: Worker | None = None
        self.crashes: deque[int] = deque()
        self.again: int | None = None  # when to start anew after a crash
        self.down = False


class Supervisor:
    """All slots of a daemon."""

    def __init__(self, slots: int) -> None:
        self.slots = [Slot() for _ in range(slots)]
        self.workers: dict[int, Worker] = {}
        self.count, self.wish, self.left, self.stopping, self.hurried = 0, "", set(), False, False
        self.turn = 0  # the slot that is being replaced
        self.woken: int | None = None

    # ---- what happens

    def begin(self, now: int):
        return [*(self.start(now, slot, False) for slot in range(len(self.slots))), *self.watch(now)]

    def prepared(self, now: int, number: int):
        """A successor has read its settings and could take over."""
        worker = self.workers.get(number)
        if worker is None or worker.state != "starting" or not worker.successor:
            return []
        slot = self.slots[worker.slot]
        worker.since = now
        if slot.serving is None or slot.serving.state != "serving":
            # its predecessor died meanwhile: it starts like any other, from what is on disk
            worker.state, worker.successor = "taking", False
            return [("hand", worker.slot, 0, number), *self.watch(now)]
        worker.state = "taking"
        return [("hand", worker.slot, slot.serving.number, number), *self.watch(now)]

    def ready(self, now: int, number: int):
        """It serves."""
        worker = self.workers.get(number)
        if worker is None or worker.state not in ("starting", "taking"):
            return []
        slot, out = self.slots[worker.slot], []
        old, worker.state, worker.since = slot.serving, "serving", now
        slot.serving, slot.down, slot.again = worker, False, None
        if slot.coming is worker:
            slot.coming = None
            if old is not None and old is not worker:
                old.state, old.since = "leaving", now
        if slot.coming is None:
            out += self.reached(now, worker.slot)
        if self.stopping:
            out += self.let_go(now, worker)
        return out + self.watch(now)

    def exited(self, now: int, number: int, why: str):
        """A process has ended, whatever ended it."""
        worker = self.workers.pop(number, None)
        if worker is None:
            return []
        slot, out = self.slots[worker.slot], []
        if worker is slot.coming:
            slot.coming = None
            out += self.failed(f"worker {worker.slot}: the successor did not get ready: {why}")
            if slot.serving is None and not self.stopping:
                out += self.crashed(now, worker.slot, why)
        elif worker is slot.serving:
            slot.serving = None
            if not self.stopping and slot.coming is None:  # else its successor goes on from the disk
                out += self.crashed(now, worker.slot, why)
        elif worker.state == "starting" and slot.serving is None and not self.stopping:
            out += self.crashed(now, worker.slot, why)
            if worker.slot in self.left:
                out += self.failed(f"worker {worker.slot}: it did not get ready: {why}")
        if self.stopping and not self.workers:
            out += [*self.told(True, "stopped"), ("end",)]
        return out + self.watch(now)

    def asked(self, now: int, what: str):
        """Someone wants a "restart", a "reload" (both hand over) or a "stop"; a second stop hurries."""
        if what == "stop":
            if self.stopping:
                return self.hurry(now)
            out = self.failed("the daemon is stopping") if self.wish else []
            self.wish, self.stopping = what, True
            for slot in self.slots:
                slot.again = None
            for worker in list(self.workers.values()):
                out += self.let_go(now, worker)
            if not self.workers:
                out += [*self.told(True, "stopped"), ("end",)]
            return out + self.watch(now)
        if self.stopping or self.wish:
            return [
                (
                    "refused",
                    what,
                    "the daemon is stopping" if self.stopping else f"a {self.wish} is under way",
                )
            ]
        self.wish, self.left = what, set(range(len(self.slots)))
        return self.next_slot(now) + self.watch(now)

    def wake(self, now: int):
        """Look at what has taken too long, and at pauses that are over."""
        self.woken, out = None, []
        for worker in list(self.workers.values()):
            if now >= self.due(worker):
                late = {"starting": "did not start in time", "taking": "did not take over in time"}
                worker.since = now  # the kill takes a moment; it is not said twice in it
                out.append(("kill", worker.number))
                if worker.state in late:
                    out.append(("say", f"worker {worker.slot}: {late[worker.state]}"))
        for number, slot in enumerate(self.slots):
            if slot.again is not None and now >= slot.again:
                slot.again = None
                out.append(self.start(now, number, False))
        return out + self.watch(now)

    # ---- helpers

    def start(self, now: int, slot: int, successor: bool):
        self.count += 1
        worker = self.workers[self.count] = Worker(self.count, slot, now, successor)
        if successor:
            self.slots[slot].coming = worker
        return ("start", slot, self.count, successor)

    def next_slot(self, now: int):
        """One slot after the other: the others serve meanwhile."""
        slot = self.turn = min(self.left)
        if self.slots[slot].serving is not None:
            return [self.start(now, slot, True)]
        self.slots[slot].down, self.slots[slot].again = False, None
        self.slots[slot].crashes.clear()
        starting = any(w.slot == slot for w in self.workers.values())
        return [] if starting else [self.start(now, slot, False)]

    def reached(self, now: int, slot: int):
        """A slot has its new worker."""
        if slot not in self.left or slot != self.turn:
            return []
        self.left.discard(slot)
        if self.left:
            return self.next_slot(now)
        return self.told(True, "every worker was replaced")

    def failed(self, text: str):
        """Danger: the rest of a restart after a failure would take down one worker after the other."""
        if not self.wish or self.wish == "stop":
            return [("say", text)]
        self.left = set()
        return self.told(False, text)

    def told(self, ok: bool, text: str):
        what, self.wish = self.wish, ""
        return [("done", what, ok, text)] if what else []

    def crashed(self, now: int, number: int, why: str):
        slot = self.slots[number]
        slot.crashes.append(now)
        while slot.crashes[0] <= now - LOOP_WITHIN:
            slot.crashes.popleft()
        if len(slot.crashes) >= LOOP:
            slot.down = True
            return [
                (
                    "say",
                    f"worker {number} crashed {LOOP} times within {LOOP_WITHIN // SECOND} s "
                    f"and stays down until a restart: {why}",
                )
            ]
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** (len(slot.crashes) - 1))
        slot.again = now + pause
        return [("say", f"worker {number} ended ({why}) and is started anew in {pause / SECOND:g} s")]

    def let_go(self, now: int, worker: Worker):
        # one that does not serve yet has taken nothing; all others answer what they took
        took, worker.state, worker.since = worker.state not in ("starting", "taking"), "stopping", now
        return [("stop" if took else "kill", worker.number)]

    def hurry(self, now: int):
        if self.hurried:
            return []
        self.hurried = True
        return [("hurry", worker.number) for worker in self.workers.values()]

    def due(self, worker: Worker) -> int:
        span = {
            "starting": READY_WITHIN,
            "taking": HAND_WITHIN,
            "leaving": LEAVE_WITHIN,
            "stopping": STOP_WITHIN,
        }.get(worker.state)
        return worker.since + span if span is not None else 1 << 62

    def watch(self, now: int):
        dues = [self.due(worker) for worker in self.workers.values()]
        dues += [slot.again for slot in self.slots if slot.again is not None]
        due = min(dues, default=1 << 62)
        if due >= 1 << 62 or self.woken is not None and self.woken <= due:
            return []
        self.woken = due
        return [("wake", max(1, due - now))]

    def place(self, slot: int) -> int:
        """The process that a connection for a slot goes to: -1, it has to wait; 0: there is none."""
        wanted = self.slots[slot]
        if wanted.serving is not None and wanted.serving.state == "serving":
            return wanted.serving.number
        if not wanted.down and not self.stopping:
            return -1
        others = (s.serving for s in self.slots if s.serving is not None)
        return next((worker.number for worker in others if worker.state in ("serving", "stopping")), 0)

    def state(self) -> list[dict]:
        """For the people on call."""
        return [
            {
                "slot": number,
                "state": slot.serving.state
                if slot.serving
                else "down"
                if slot.down
                else "pausing"
                if slot.again is not None
                else "starting",
                "worker": slot.serving.number if slot.serving else 0,
                "successor": slot.coming.number if slot.coming else 0,
                "leaving": sum(w.state == "leaving" and w.slot == number for w in self.workers.values()),
                "crashes": len(slot.crashes),
            }
            for number, slot in enumerate(self.slots)
        ]
