"""Processes of the relay: signals while they start, descriptors that run out, thirty that start at once."""

import asyncio
import json
import os
import resource
import signal
import time

import pytest
from loopback import IdleClients, looped, poll
from relay.deployment import free_port, set_up
from relay.test_relay_process import ask, config, reach, run

from curlewhall.codecs import messages
from curlewhall.standins.platform import Platform

TEST = messages.message(messages.TEST, "0" * 15 + "1", cause=b"\0")
READY = 10.0  # seconds in which nine in ten restarted processes pass a test


def blocked(process, number):
    """Whether a process holds a signal back (proc(5), SigBlk); None once it has gone."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
            masks = dict(line.split(":\t") for line in file if line.startswith("Sig"))
    except OSError:
        return None
    return bool(int(masks["SigBlk"], 16) >> (number - 1) & 1)


@pytest.mark.parametrize(
    ("early", "code"),
    [
        ([signal.SIGHUP], None),
        ([signal.SIGTERM], 0),
        ([signal.SIGHUP, signal.SIGTERM], 0),
        ([signal.SIGTERM, signal.SIGTERM, signal.SIGHUP], 0),
        ([signal.SIGINT], 0),
    ],
)
def test_signals_that_come_while_the_program_is_loaded(tmp_path, early, code):
    """They wait until there is a front to hear them: none ends the process otherwise than by its own way."""
    process, port = run(tmp_path, json.dumps(config()))
    poll(lambda: blocked(process, signal.SIGHUP) is not False)
    for number in early:
        process.send_signal(number)
    if code is None:
        assert ask(port, TEST).fields[messages.CAUSE] == b"\1"
        process.send_signal(signal.SIGTERM)
        code = 0
    _, err = process.communicate(timeout=20)
    assert process.returncode == code and "Traceback" not in err
    assert ("configuration read again" in err) == (signal.SIGHUP in early)


def test_signals_after_the_first_that_asks_it_to_leave(tmp_path):
    """SIGTERM again, SIGHUP after it: what is owed is answered all the same, and it leaves once."""
    process, port = run(tmp_path, json.dumps(config()))
    sock = poll(lambda: reach(port))
    with sock:
        sock.sendall(TEST)
        assert sock.recv(100)
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
        poll(lambda: sock.sendall(TEST) or sock.recv(100).endswith(b"\0"))
        sock.sendall(set_up("0" * 15 + "2", patience="500"))
        assert sock.recv(100)[2] == messages.RELEASE
    _, err = process.communicate(timeout=20)
    assert process.returncode == 0 and err.count("leaving") == 1 and err.count("left asked") == 1


def test_it_leaves_though_nobody_reads_what_it_says(tmp_path):
    """Whoever started it has died, and its standard error is a pipe without a reader."""
    process, port = run(tmp_path, json.dumps(config()))
    try:
        assert ask(port, TEST).fields[messages.CAUSE] == b"\1"
        process.stderr.close()
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) >= 0  # by its own way, not by a signal
    finally:
        process.kill()
        process.wait()


IDLE = {"nothing": b"", "one test": TEST, "half a message": set_up("e" * 16)[:30]}


@pytest.mark.parametrize("says", IDLE)
@looped
async def test_idle_clients_fill_the_descriptors_while_discovery_is_down(tmp_path, says):
    """Far more connect than there are descriptors, and go on while the channel comes back: it is followed,
    nodes are reached, a viewer who plays keeps its connection, and new ones are served.
    """
    platform, sockets = Platform(), 64
    for name in ("n0", "n1"):
        await platform.add(name)
    known = {
        "cursor": 1,
        "cmds": [
            {
                "cursor": 1,
                "nodes": {"complete": True, "members": [platform.member(name) for name in platform.nodes]},
            }
        ],
    }
    settings = config()["settings"]
    settings["invariants"] |= {"warm-within-ms": 1.0}  # no node counts as cold
    down = free_port()
    process, port = await asyncio.to_thread(
        run,
        tmp_path,
        json.dumps(
            config(known=known, channel=f"127.0.0.1:{down}", limits={"sockets": sockets}, settings=settings)
        ),
    )
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
    crowd = IdleClients(("127.0.0.1", port), IDLE[says], 3 * sockets)

    async def served(viewer):
        """Asks, the crowd coming again and again meanwhile."""
        name = viewer.ask()
        await crowd.fill()
        assert (await viewer.hear(name)).kind == messages.ANSWER
        return name

    try:
        while not await asyncio.to_thread(reach, port):
            await asyncio.sleep(0.01)
        usual = await platform.viewer(port)
        playing = await served(usual)
        for _ in range(3):
            viewer = await platform.viewer(port)
            await served(viewer)
            viewer.close()
        assert len(os.listdir(f"/proc/{process.pid}/fd")) <= sockets
        await platform.channel.start(down)  # discovery is back
        platform.channel.tell(2, [platform.member("n0", "draining")])
        while not platform.channel.calls:
            await crowd.fill()
            await asyncio.sleep(0.01)
        for _ in range(3):
            await served(usual)
        seen = len(platform.seen)
        viewer = await platform.viewer(port)
        await served(viewer)
        there = {row[0] for row in platform.seen[seen:] if row[1] == "set-up" and row[0] != "viewer"}
        assert there == {"n1"} and not usual.closed and not platform.broken()
        node = platform.nodes[platform.standing()[playing]]
        node.end(playing, 16)
        assert (await usual.hear(playing, 2)).kind == messages.RELEASE  # and on its own connection
    finally:
        crowd.close()
        process.kill()
        _, err = process.communicate()
        platform.close()
    assert "Traceback" not in err


@pytest.mark.days
def test_nine_in_ten_of_thirty_that_start_at_once_are_ready_in_time(tmp_path):
    """Measured from the start of the process to its first passed test, as a client sees it."""
    began, fronts, took = time.monotonic(), [], []
    try:
        for i in range(30):
            fronts.append(run(tmp_path, json.dumps(config(name=f"n{i}")), f"{i}.json", RELAY_NAME=f"n{i}"))
        for _, port in fronts:
            assert ask(port, TEST).fields[messages.CAUSE] == b"\1"
            took.append(time.monotonic() - began)
    finally:
        for process, _ in fronts:
            process.kill()
        for process, _ in fronts:
            process.communicate()
    assert sorted(took)[26] <= READY, took
