"""The supervisor's decisions about a daemon's workers. No I/O, clock or processes: calls in, actions out.

Times are ticks of 0.1 ms. The daemon has a fixed number of slots (0, 1, ...); a worker process has
a slot and a number, which counts up for as long as the daemon runs. `run.Daemon` calls the `Supervisor` and
executes the returned actions in their order:

- `("start", slot, number, successor)`: start a process for the slot; a successor waits for its predecessor.
- `("hand", slot, old, new)`: connect the two processes for a hand-over from `old` to `new`; `old` 0: the new
  worker starts without one.
- `("stop", number)`: answer accepted requests, then exit. `("hurry", number)`: shorten that.
  `("kill", number)`: end the process at once.
- `("done", what, ok, text)`: the requested restart, reload or stop has ended.
- `("refused", what, text)`: this request is rejected; an earlier one of the same kind continues.
- `("say", text)`: report the text to the operator.
- `("wake", span)`: call `deadline_reached` after `span` ticks. `("end",)`: no worker is left, the daemon may
  exit.

A worker that crashes is restarted after a pause that doubles. A slot with too many crashes within
`CRASH_LOOP_WINDOW` stays down until the operator requests a restart, because endless restarts of a front that
cannot start hide the cause.
"""

import re
from collections import deque
from urllib.parse import unquote_plus
from zlib import crc32

TICKS_PER_SECOND = 10_000
# all durations below are in ticks
START_TIMEOUT = 15 * TICKS_PER_SECOND  # reading 100,000 plays from disk takes 2 s
TAKEOVER_TIMEOUT = 10 * TICKS_PER_SECOND  # from connecting both processes until the successor serves
LEAVE_TIMEOUT = 90 * TICKS_PER_SECOND  # a predecessor waits for idle connections, closed after 60 s
STOP_TIMEOUT = 20 * TICKS_PER_SECOND  # twice the longest time limit in use, plus disk writes
FIRST_RESTART_PAUSE = TICKS_PER_SECOND // 5  # doubled with each crash
LONGEST_RESTART_PAUSE = 30 * TICKS_PER_SECOND
CRASH_LOOP_COUNT = 6  # so many crashes within the window keep the slot down
CRASH_LOOP_WINDOW = 60 * TICKS_PER_SECOND

VIEWER_PARAMETER = re.compile(r"[?&]viewer=([^&]*)")


def slot_for_request(target: str, slots: int) -> int | None:
    """The slot whose front must answer the request target; None: any slot may.

    All requests of a viewer go to the same front of a machine: a front that does not know the viewer's paid
    or moved play would set it up a second time.
    """
    found = VIEWER_PARAMETER.search(target) if slots > 1 and target.startswith("/play/") else None
    return crc32(unquote_plus(found[1]).encode()) % slots if found else None


class Worker:
    """A worker process of a slot. `since` is the time of the last change of state."""

    __slots__ = ("is_successor", "number", "since", "slot", "state")

    def __init__(self, number: int, slot: int, now: int, is_successor: bool) -> None:
        self.number = number
        self.slot = slot
        self.since = now
        self.is_successor = is_successor
        self.state = (
            "starting"  # then "taking" (takes over or starts alone), "serving", "leaving", "stopping"
        )


class Slot:
    """The workers of a slot: one that serves, and during a hand-over also its successor."""

    def __init__(self) -> None:
        self.serving: Worker | None = None
        self.successor: Worker | None = None
        self.crashes: deque[int] = deque()
        self.restart_at: int | None = None  # after a crash
        self.down = False


class Supervisor:
    """Decides for all slots of a daemon. Public methods return lists of actions (see the module)."""

    def __init__(self, slots: int) -> None:
        self.slots = [Slot() for _ in range(slots)]
        self.workers: dict[int, Worker] = {}
        self.last_number = 0
        self.command = ""  # the restart, reload or stop in progress
        self.slots_to_replace = set()
        self.stopping = False
        self.hurried = False
        self.current_slot = 0  # the slot whose worker is being replaced
        self.next_wake: int | None = None

    # ---- events

    def start_all(self, now: int) -> list[tuple]:
        """Start a worker for each slot."""
        return [
            *(self.start_worker(now, slot, False) for slot in range(len(self.slots))),
            *self.schedule_wake(now),
        ]

    def worker_prepared(self, now: int, number: int) -> list[tuple]:
        """A successor has read its settings and is able to take over."""
        worker = self.workers.get(number)
        if worker is None or worker.state != "starting" or not worker.is_successor:
            return []
        slot = self.slots[worker.slot]
        worker.since = now
        if slot.serving is None or slot.serving.state != "serving":
            # its predecessor has died: it starts alone, from the state on disk
            worker.state, worker.is_successor = "taking", False
            return [("hand", worker.slot, 0, number), *self.schedule_wake(now)]
        worker.state = "taking"
        return [("hand", worker.slot, slot.serving.number, number), *self.schedule_wake(now)]

    def worker_ready(self, now: int, number: int) -> list[tuple]:
        """A worker serves."""
        worker = self.workers.get(number)
        if worker is None or worker.state not in ("starting", "taking"):
            return []
        slot, out = self.slots[worker.slot], []
        old, worker.state, worker.since = slot.serving, "serving", now
        slot.serving, slot.down, slot.restart_at = worker, False, None
        if slot.successor is worker:
            slot.successor = None
            if old is not None and old is not worker:
                old.state, old.since = "leaving", now
        if slot.successor is None:
            out += self.slot_replaced(now, worker.slot)
        if self.stopping:
            out += self.stop_worker(now, worker)
        return out + self.schedule_wake(now)

    def worker_exited(self, now: int, number: int, why: str) -> list[tuple]:
        """A worker process has ended; `why` is its exit code or signal."""
        worker = self.workers.pop(number, None)
        if worker is None:
            return []
        slot, out = self.slots[worker.slot], []
        if worker is slot.successor:
            slot.successor = None
            out += self.command_failed(f"worker {worker.slot}: the successor did not get ready: {why}")
            if slot.serving is None and not self.stopping:
                out += self.worker_crashed(now, worker.slot, why)
        elif worker is slot.serving:
            slot.serving = None
            if not self.stopping and slot.successor is None:  # otherwise its successor starts from disk
                out += self.worker_crashed(now, worker.slot, why)
        elif worker.state == "starting" and slot.serving is None and not self.stopping:
            out += self.worker_crashed(now, worker.slot, why)
            if worker.slot in self.slots_to_replace:
                out += self.command_failed(f"worker {worker.slot}: it did not get ready: {why}")
        if self.stopping and not self.workers:
            out += [*self.command_finished(True, "stopped"), ("end",)]
        return out + self.schedule_wake(now)

    def command_requested(self, now: int, what: str) -> list[tuple]:
        """Begin a "restart", a "reload" (both hand over) or a "stop"; a second "stop" shortens the first."""
        if what == "stop":
            if self.stopping:
                return self.hurry_workers(now)
            out = self.command_failed("the daemon is stopping") if self.command else []
            self.command, self.stopping = what, True
            for slot in self.slots:
                slot.restart_at = None
            for worker in list(self.workers.values()):
                out += self.stop_worker(now, worker)
            if not self.workers:
                out += [*self.command_finished(True, "stopped"), ("end",)]
            return out + self.schedule_wake(now)
        if self.stopping or self.command:
            return [
                (
                    "refused",
                    what,
                    "the daemon is stopping" if self.stopping else f"a {self.command} is under way",
                )
            ]
        self.command, self.slots_to_replace = what, set(range(len(self.slots)))
        return self.replace_next_slot(now) + self.schedule_wake(now)

    def deadline_reached(self, now: int) -> list[tuple]:
        """Kill workers that exceeded a deadline; start workers whose restart pause is over."""
        self.next_wake, out = None, []
        for worker in list(self.workers.values()):
            if now >= self.deadline(worker):
                problems = {"starting": "did not start in time", "taking": "did not take over in time"}
                worker.since = now  # the process ends a little later: without this it is killed twice
                out.append(("kill", worker.number))
                if worker.state in problems:
                    out.append(("say", f"worker {worker.slot}: {problems[worker.state]}"))
        for number, slot in enumerate(self.slots):
            if slot.restart_at is not None and now >= slot.restart_at:
                slot.restart_at = None
                out.append(self.start_worker(now, number, False))
        return out + self.schedule_wake(now)

    # ---- helpers

    def start_worker(self, now: int, slot: int, successor: bool) -> tuple:
        """Register a new worker; the action that starts it."""
        self.last_number += 1
        worker = self.workers[self.last_number] = Worker(self.last_number, slot, now, successor)
        if successor:
            self.slots[slot].successor = worker
        return ("start", slot, self.last_number, successor)

    def replace_next_slot(self, now: int) -> list[tuple]:
        """Replace one slot at a time, so that the others serve meanwhile."""
        slot = self.current_slot = min(self.slots_to_replace)
        if self.slots[slot].serving is not None:
            return [self.start_worker(now, slot, True)]
        self.slots[slot].down, self.slots[slot].restart_at = False, None
        self.slots[slot].crashes.clear()
        starting = any(w.slot == slot for w in self.workers.values())
        return [] if starting else [self.start_worker(now, slot, False)]

    def slot_replaced(self, now: int, slot: int) -> list[tuple]:
        """Continue a restart or reload with the next slot, or finish it."""
        if slot not in self.slots_to_replace or slot != self.current_slot:
            return []
        self.slots_to_replace.discard(slot)
        if self.slots_to_replace:
            return self.replace_next_slot(now)
        return self.command_finished(True, "every worker was replaced")

    def command_failed(self, text: str) -> list[tuple]:
        """End a restart or reload at its first failure: going on could take down every worker in turn."""
        if not self.command or self.command == "stop":
            return [("say", text)]
        self.slots_to_replace = set()
        return self.command_finished(False, text)

    def command_finished(self, ok: bool, text: str) -> list[tuple]:
        """Report the end of the command in progress, if there is one."""
        what, self.command = self.command, ""
        return [("done", what, ok, text)] if what else []

    def worker_crashed(self, now: int, number: int, why: str) -> list[tuple]:
        """Schedule the restart of the worker of slot `number`, or leave the slot down in a crash loop."""
        slot = self.slots[number]
        slot.crashes.append(now)
        while slot.crashes[0] <= now - CRASH_LOOP_WINDOW:
            slot.crashes.popleft()
        if len(slot.crashes) >= CRASH_LOOP_COUNT:
            slot.down = True
            return [
                (
                    "say",
                    f"worker {number} crashed {CRASH_LOOP_COUNT} times within "
                    f"{CRASH_LOOP_WINDOW // TICKS_PER_SECOND} s and stays down until a restart: {why}",
                )
            ]
        pause = min(LONGEST_RESTART_PAUSE, FIRST_RESTART_PAUSE * 2 ** (len(slot.crashes) - 1))
        slot.restart_at = now + pause
        return [("say", f"worker {number} ended ({why}) and is restarted in {pause / TICKS_PER_SECOND:g} s")]

    def stop_worker(self, now: int, worker: Worker) -> list[tuple]:
        """Stop a worker that serves, kill one that does not serve yet."""
        # a worker that does not serve yet has accepted no request; all others answer theirs first
        serves, worker.state, worker.since = worker.state not in ("starting", "taking"), "stopping", now
        return [("stop" if serves else "kill", worker.number)]

    def hurry_workers(self, now: int) -> list[tuple]:
        """Shorten the stop of every worker, once."""
        if self.hurried:
            return []
        self.hurried = True
        return [("hurry", worker.number) for worker in self.workers.values()]

    def deadline(self, worker: Worker) -> int:
        """When the worker is killed if its state has not changed."""
        span = {
            "starting": START_TIMEOUT,
            "taking": TAKEOVER_TIMEOUT,
            "leaving": LEAVE_TIMEOUT,
            "stopping": STOP_TIMEOUT,
        }.get(worker.state)
        return worker.since + span if span is not None else 1 << 62

    def schedule_wake(self, now: int) -> list[tuple]:
        """A "wake" for the earliest deadline, unless one as early is scheduled already."""
        deadlines = [self.deadline(worker) for worker in self.workers.values()]
        deadlines += [slot.restart_at for slot in self.slots if slot.restart_at is not None]
        earliest = min(deadlines, default=1 << 62)
        if earliest >= 1 << 62 or self.next_wake is not None and self.next_wake <= earliest:
            return []
        self.next_wake = earliest
        return [("wake", max(1, earliest - now))]

    def worker_for_connection(self, slot: int) -> int:
        """The number of the worker that gets a connection for a slot; -1: wait for one; 0: there is none."""
        wanted = self.slots[slot]
        if wanted.serving is not None and wanted.serving.state == "serving":
            return wanted.serving.number
        if not wanted.down and not self.stopping:
            return -1
        others = (s.serving for s in self.slots if s.serving is not None)
        return next((worker.number for worker in others if worker.state in ("serving", "stopping")), 0)

    def status(self) -> list[dict]:
        """One row per slot, for the operator."""
        return [
            {
                "slot": number,
                "state": slot.serving.state
                if slot.serving
                else "down"
                if slot.down
                else "pausing"
                if slot.restart_at is not None
                else "starting",
                "worker": slot.serving.number if slot.serving else 0,
                "successor": slot.successor.number if slot.successor else 0,
                "leaving": sum(w.state == "leaving" and w.slot == number for w in self.workers.values()),
                "crashes": len(slot.crashes),
            }
            for number, slot in enumerate(self.slots)
        ]
