"""Processes of the relay: signals during the start, descriptors that run out, thirty that start at once."""

import asyncio
import json
import os
import resource
import signal
import time

import pytest
from loopback import IdleClients, looped, poll
from relay.deployment import free_port, set_up
from relay.test_relay_process import config, exchange, run, try_connect

from curlewhall.codecs import messages
from curlewhall.standins.platform import Platform

HEALTH_CHECK = messages.encode(messages.HEALTH_CHECK, "0" * 15 + "1", cause=b"\0")
READY_S = 10.0  # in which nine in ten restarted processes pass a health check


def blocked(process, number):
    """Whether a process blocks a signal (proc(5), SigBlk); None once it has ended."""
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
def test_signals_during_the_imports_are_handled_after_the_start(tmp_path, early, code):
    """None of them ends the process by its default action."""
    process, port = run(tmp_path, json.dumps(config()))
    poll(lambda: blocked(process, signal.SIGHUP) is not False)
    for number in early:
        process.send_signal(number)
    if code is None:
        assert exchange(port, HEALTH_CHECK).fields[messages.CAUSE] == b"\1"
        process.send_signal(signal.SIGTERM)
        code = 0
    _, err = process.communicate(timeout=20)
    assert process.returncode == code and "Traceback" not in err
    assert ("configuration reloaded" in err) == (signal.SIGHUP in early)


def test_further_signals_during_a_shutdown_change_nothing(tmp_path):
    """A set-up is answered all the same, and the shutdown is logged once."""
    process, port = run(tmp_path, json.dumps(config()))
    sock = poll(lambda: try_connect(port))
    with sock:
        sock.sendall(HEALTH_CHECK)
        assert sock.recv(100)
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
        poll(lambda: sock.sendall(HEALTH_CHECK) or sock.recv(100).endswith(b"\0"))
        sock.sendall(set_up("0" * 15 + "2", patience="500"))
        assert sock.recv(100)[2] == messages.RELEASE
    _, err = process.communicate(timeout=20)
    assert process.returncode == 0 and err.count("shutting down") == 1 and err.count("shut down asked") == 1


def test_shutdown_succeeds_though_standard_error_has_no_reader(tmp_path):
    """Its parent has died, and standard error is a pipe without a reader."""
    process, port = run(tmp_path, json.dumps(config()))
    try:
        assert exchange(port, HEALTH_CHECK).fields[messages.CAUSE] == b"\1"
        process.stderr.close()
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) >= 0  # it exits, not ended by a signal
    finally:
        process.kill()
        process.wait()


IDLE_CLIENTS = {"nothing": b"", "one health check": HEALTH_CHECK, "half a message": set_up("e" * 16)[:30]}


@pytest.mark.parametrize("says", IDLE_CLIENTS)
@looped
async def test_viewers_are_served_while_idle_clients_use_up_the_descriptors(tmp_path, says):
    """Far more clients connect than there are descriptors, with the channel down at first. The front follows
    the channel once it is back, reaches nodes, keeps the connection of a viewer with a session, and serves
    new viewers.
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
    crowd = IdleClients(("127.0.0.1", port), IDLE_CLIENTS[says], 3 * sockets)

    async def served(viewer):
        """Request a play and expect success, while the idle clients reconnect."""
        name = viewer.request_play()
        await crowd.fill()
        assert (await viewer.wait_for_message(name)).kind == messages.ANSWER
        return name

    try:
        while not await asyncio.to_thread(try_connect, port):
            await asyncio.sleep(0.01)
        usual = await platform.viewer(port)
        playing = await served(usual)
        for _ in range(3):
            viewer = await platform.viewer(port)
            await served(viewer)
            viewer.close()
        assert len(os.listdir(f"/proc/{process.pid}/fd")) <= sockets
        await platform.channel.start(down)  # discovery is back
        platform.channel.send_event(2, [platform.member("n0", "draining")])
        while not platform.channel.requests:
            await crowd.fill()
            await asyncio.sleep(0.01)
        for _ in range(3):
            await served(usual)
        seen = len(platform.traffic)
        viewer = await platform.viewer(port)
        await served(viewer)
        there = {row[0] for row in platform.traffic[seen:] if row[1] == "set-up" and row[0] != "viewer"}
        assert there == {"n1"} and not usual.closed and not platform.violations()
        node = platform.nodes[platform.running_sessions()[playing]]
        node.end(playing, 16)
        assert (await usual.wait_for_message(playing, 2)).kind == messages.RELEASE  # on its own connection
    finally:
        crowd.close()
        process.kill()
        _, err = process.communicate()
        platform.close()
    assert "Traceback" not in err


@pytest.mark.days
def test_nine_in_ten_of_thirty_processes_started_at_once_are_ready_in_time(tmp_path):
    """From the start of the process to its first passed health check, as a client sees it."""
    began, fronts, took = time.monotonic(), [], []
    try:
        for i in range(30):
            fronts.append(run(tmp_path, json.dumps(config(name=f"n{i}")), f"{i}.json", RELAY_NAME=f"n{i}"))
        for _, port in fronts:
            assert exchange(port, HEALTH_CHECK).fields[messages.CAUSE] == b"\1"
            took.append(time.monotonic() - began)
    finally:
        for process, _ in fronts:
            process.kill()
        for process, _ in fronts:
            process.communicate()
    assert sorted(took)[26] <= READY_S, took
