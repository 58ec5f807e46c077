"""Several processes of the relay under random faults of everything around them; judged by the traffic.

Each front reaches each node and its channel over its own link, which can be reset in the middle of a message,
stalled, or delayed in one direction alone. Fronts are killed, shut down and started again; nodes drain,
start, refuse, answer twice or not at all. Clients keep sending, give up, release sessions and disconnect.
"""

import asyncio
import json
import math
import random
import signal
import time

import pytest
from loopback import looped
from relay.test_relay_process import config, run

from curlewhall.codecs.messages import ANSWER, DESCRIPTION, RELEASE
from curlewhall.standins.platform import Channel, Link, Platform

FRONTS = 4
NODES = 5
RUN_S = 7.0
CHANGE_KNOWN_S = 4.0  # after which a change counts as known to a front at the latest
SLACK_S = 1.0  # for a busy machine
# the budget of further allocations, small so that it limits them
SHARE = 0.01
SPARE = 1
CROSSING_S = 0.25  # before a close, in which a set-up may cross it: 50 ms by the page, more on a busy machine


def settings():
    whole = config()["settings"]
    whole["n-instances"] = FRONTS
    whole["specifics"]["kind-streams"] = [12]
    whole["specifics"] |= {"uplink-kb": 40_000.0, "link-unit-kb": 30_000.0}
    whole["invariants"] |= {
        "warm-within-ms": 4000.0,
        "extra-per-request": SHARE,
        "spare-attempts": SPARE,
        "look-back-ms": 60_000.0,
    }
    return whole


class TimedPlatform(Platform):
    """Records the time of each entry of `traffic`, too."""

    def __init__(self):
        super().__init__()
        self.times = []

    def record(self, side, what, session, value=""):
        self.times.append(time.monotonic())
        super().record(side, what, session, value)


class Front:
    """One front of the fleet: its successive processes, its links and its channel."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.life, self.process, self.port = fleet, number, 0, None, 0
        self.links, self.channel, self.way, self.errors, self.killed = {}, None, None, [], set()

    async def start(self):
        """Start a process with the current node list; event numbers start from 1 again."""
        self.channel = Channel()
        await self.channel.start()
        self.way = Link(self.channel.port)
        await self.way.start()
        self.life += 1
        nodes = {"complete": True, "members": self.members()}
        text = json.dumps(
            config(
                name=f"n{self.number}",
                seed=f"{self.number + 1:x}{self.life:04x}",
                known={"cursor": 1, "cmds": [{"cursor": 1, "nodes": nodes}]},
                channel=f"127.0.0.1:{self.way.port}",
                settings=settings(),
            )
        )
        named = {"RELAY_LISTEN": f"127.0.0.1:{self.port}"} if self.port else {}
        self.process, port = await asyncio.to_thread(
            run, self.fleet.folder, text, f"{self.number}.json", RELAY_NAME=f"n{self.number}", **named
        )
        self.port = self.port or port

    def members(self):
        return [
            self.fleet.members[name] | {"host_port": f"127.0.0.1:{self.links[name].port}"}
            for name in self.fleet.members
        ]

    async def end(self, number):
        """Send a signal, wait for the end of the process and keep its standard error."""
        process = self.process
        if number == signal.SIGKILL:
            self.killed.add(self.life)
        process.send_signal(number)
        _, err = await asyncio.to_thread(process.communicate, None, 20)
        self.errors.append(err)
        self.channel.close()
        # SIGTERM before the interpreter has run the first line ends the process by default: nobody was served
        young = process.returncode == -number and "serving" not in err
        assert number == signal.SIGKILL or process.returncode == 0 or young, err


class Fleet:
    def __init__(self, folder, seed):
        self.folder, self.draw, self.platform = folder, random.Random(seed), TimedPlatform()
        self.fronts, self.members = [Front(self, i) for i in range(FRONTS)], {}
        self.asked, self.lost = {}, set()  # set-ups: front, process number, connection; those given up
        self.drained, self.started, self.over, self.number = {}, {}, False, 1

    async def open(self):
        for i in range(NODES):
            await self.add(f"n{i}")
        for front in self.fronts:
            await front.start()

    async def add(self, name, since=0):
        node = await self.platform.add(name)
        for front in self.fronts:
            link = front.links[name] = Link(node.port)
            await link.start()
        self.members[name] = self.platform.member(name, since=since)

    def announce(self, name):
        self.number += 1
        for front in self.fronts:
            if front.channel is not None:
                change = self.members[name] | {"host_port": f"127.0.0.1:{front.links[name].port}"}
                front.channel.send_event(len(front.channel.events) + 2, [change])

    # ---- load

    async def client(self, front):
        """Request plays at one front, over one connection after the other, until the run is over."""
        draw = random.Random(self.draw.random())
        while not self.over:
            try:
                viewer = await self.platform.viewer(front.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            life, names, until = front.life, [], time.monotonic() + draw.uniform(0.3, 3.0)
            while viewer.writable() and time.monotonic() < until and not self.over:
                name = viewer.request_play(product=draw.choice(["cheap", "dear", "paid"]), patience="1500")
                self.asked[name] = front, life, viewer
                names.append(name)
                old = draw.choice(names)
                if draw.random() < 0.5 and viewer.messages_of(old, (ANSWER,)) and old in self.asked:
                    viewer.release(old)
                elif draw.random() < 0.05:
                    self.lost.add(name)
                    viewer.release(name)
                await asyncio.sleep(draw.uniform(0.01, 0.05))
            if not viewer.closed and draw.random() < 0.5 and not self.over:
                self.lost |= {name for name in names if not viewer.messages_of(name, (ANSWER, RELEASE))}
                viewer.close()
            else:
                await self.wait_until(
                    lambda v=viewer, n=names: v.closed
                    or all(v.messages_of(x, (ANSWER, RELEASE)) or x in self.lost for x in n)
                )

    async def wait_until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.005)

    # ---- faults

    def later(self, span, call, *facts):
        asyncio.get_running_loop().call_later(span, call, *facts)

    async def fault(self):
        draw = self.draw
        front, name = draw.choice(self.fronts), draw.choice(list(self.members))
        link = draw.choice([front.links[name], front.links[name], front.way])
        faults = draw.choice([link.request_faults, link.response_faults])
        kind = draw.choice(
            [
                "reset",
                "reset",
                "stall",
                "delay",
                "node",
                "node",
                "node",
                "drain",
                "start",
                "kill",
                "leave",
                "hang up",
            ]
        )
        if kind == "reset":
            faults.set("reset", draw.randrange(200))
        elif kind == "stall":
            faults.set("stall", 1)
            self.later(draw.uniform(0.1, 1.2), faults.set, "stall", 0)
        elif kind == "delay":
            faults.set("delay", draw.uniform(0.01, 0.1))
            self.later(0.6, faults.set, "delay", 0)
        elif kind == "node":
            self.platform.nodes[name].behaviour = draw.choice(
                ["twice", "full", "error", "break", "silent", "ahead", "moot", "noise", "huge"]
            )
            self.later(draw.uniform(0.1, 0.5), setattr, self.platform.nodes[name], "behaviour", "serve")
        elif kind == "drain" and len(self.drained) < 2 and name not in self.drained:
            self.members[name] = self.members[name] | {"phase": "draining"}
            self.announce(name)
            self.drained[name] = time.monotonic()
        elif kind == "start" and len(self.started) < 2:
            new = f"n{NODES + len(self.started)}"
            self.started[new] = time.monotonic()
            await self.add(new, since=int(time.time() * 1000))
            self.announce(new)
        elif kind in ("kill", "leave"):
            for silent in draw.sample(list(self.platform.nodes.values()), 3):  # so that allocations are open
                silent.behaviour = "silent"
                self.later(1.2, setattr, silent, "behaviour", "serve")
            await front.end(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            await front.start()
        elif kind == "hang up":
            front.channel.close_connections()

    async def run(self):
        clients = [asyncio.create_task(self.client(front)) for front in self.fronts for _ in range(2)]
        until = time.monotonic() + RUN_S
        while time.monotonic() < until:
            await self.fault()
            await asyncio.sleep(self.draw.uniform(0.05, 0.2))
        for front in self.fronts:
            for link in (*front.links.values(), front.way):
                for faults in (link.request_faults, link.response_faults):
                    faults.set("stall", 0)
                    faults.set("delay", 0)
        await asyncio.sleep(1.0)  # the faults are over, and the clients still request plays
        self.over = True
        await asyncio.gather(*clients)
        for front in self.fronts:
            await front.end(signal.SIGTERM)

    def close(self):
        for front in self.fronts:
            if front.process is not None and front.process.poll() is None:
                front.process.kill()
                front.process.communicate()
            for link in (*front.links.values(), *([front.way] if front.way else [])):
                link.close()
        self.platform.close()

    # ---- judged from the traffic

    def unanswered(self):
        """Rule 1: accepted set-ups without an answer, except those given up and those of killed fronts.
        Set-ups sent last on a connection may have crossed its close by a front that shut down.
        """
        written = {
            row[2]: at
            for at, row in zip(self.platform.times, self.platform.traffic, strict=True)
            if row[:2] == ("viewer", "set-up")
        }
        by_viewer, found = {}, []
        for name, (front, life, viewer) in self.asked.items():
            by_viewer.setdefault((viewer, front, life), []).append(name)
        for (viewer, front, life), names in by_viewer.items():
            if life in front.killed:
                continue
            ended = [bool(viewer.messages_of(name, (ANSWER, RELEASE))) or name in self.lost for name in names]
            missed = [name for name, end in zip(names, ended, strict=True) if not end]
            crossed = (
                viewer.closed
                and ended == sorted(ended, reverse=True)
                and all(written[name] > viewer.closed_at - CROSSING_S for name in missed)
            )
            found += [] if crossed else missed
        return found

    def answers(self):
        """Rule 1: second answers, and answers that no node made for the play."""
        made = {(row[2], row[3]) for row in self.platform.records_of("answered")}
        wrong = [why for why in self.platform.violations() if "second answer" in why]
        for name, (_, _, viewer) in self.asked.items():
            for message in viewer.messages_of(name, (ANSWER,)):
                if (name, message.fields[DESCRIPTION]) not in made:
                    wrong.append(f"{name}: {message.fields[DESCRIPTION]!r}")
        return wrong

    def sent(self):
        """Set-ups received by nodes: when, node, session, (product, rung)."""
        rows = zip(self.platform.times, self.platform.traffic, strict=True)
        return [
            (at, side, session, value)
            for at, (side, what, session, value) in rows
            if what == "set-up" and side != "viewer"
        ]

    def sent_again(self):
        """Rule 2: paid set-ups that were sent again though the one before was not refused."""
        may, wrong = {}, []
        for side, what, session, value in self.platform.traffic:
            if what == "set-up" and side != "viewer" and value[0] == "paid":
                if may.get(session):
                    wrong.append(f"{session} at {may[session]} and {side}")
                may[session] = side
            elif what == "refused" and value in ("full", "moot"):
                may.pop(session, None)
        return wrong

    def after_drains(self):
        """Rule 3: set-ups at draining nodes after the grace, which begins when the drain counts as known."""
        grace = settings()["invariants"]["drain-grace-ms"] / 1000
        return [
            (name, at - self.drained[name])
            for at, name, _, _ in self.sent()
            if name in self.drained and at > self.drained[name] + CHANGE_KNOWN_S + grace + SLACK_S
        ]

    def crowds(self):
        """Rule 4: windows with too many set-ups of all fronts at a cold node."""
        whole, wrong = settings(), []
        rules, streams = whole["invariants"], whole["specifics"]["kind-streams"][0]
        window, warm = rules["fall-ms"] / 1000, rules["warm-within-ms"] / 1000
        for name, began in self.started.items():
            times = [at - began for at, node, _, _ in self.sent() if node == name and at - began < warm]
            for end in times:
                warmth = rules["start-capacity"] + (1 - rules["start-capacity"]) * end / warm
                bears = rules["overload-factor"] * warmth * streams * window / warm
                count = sum(end - window < at <= end for at in times)
                if count > bears + 2 * math.sqrt(bears) + 2:
                    wrong.append((name, end, count, bears))
        return wrong

    def over_budget(self):
        """Rule 6: processes with too many further allocations over their whole life."""
        asked, further, seen = {}, {}, set()
        for front, life, _ in self.asked.values():
            asked[front, life] = asked.get((front, life), 0) + 1
        for _, _, session, _ in self.sent():
            if session in seen:
                key = self.asked[session][:2]
                further[key] = further.get(key, 0) + 1
            seen.add(session)
        return [
            (key[0].number, key[1], count)
            for key, count in further.items()
            if count > SPARE + SHARE * asked[key]
        ]


@pytest.mark.days
@pytest.mark.parametrize("seed", range(4))
@looped
async def test_rules_hold_under_random_faults_of_fronts_nodes_and_links(tmp_path, seed):
    fleet = Fleet(tmp_path, seed)
    try:
        await fleet.open()
        await fleet.run()
    finally:
        fleet.close()
    said = "".join(err for front in fleet.fronts for err in front.errors)
    assert "Traceback" not in said and "fault=" not in said, said
    served = sum(bool(viewer.messages_of(name, (ANSWER,))) for name, (_, _, viewer) in fleet.asked.items())
    # most are declined, since new fronts limit the rate at nodes they don't know
    assert len(fleet.asked) > 200 and served > 50
    assert not fleet.unanswered() and not fleet.answers()
    assert not fleet.sent_again() and not fleet.after_drains() and not fleet.crowds()
    assert all(rung >= 1 for _, _, _, (product, rung) in fleet.sent() if product == "paid")  # rule 5
    assert not fleet.over_budget()
