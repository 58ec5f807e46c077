"""The process: what it loads, what it says of a bad configuration, how it leaves."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from loopback import looped, poll
from relay.deployment import free_port, settings

from curlewhall.codecs import messages
from curlewhall.relay import start_settings
from curlewhall.standins.platform import Platform

HEAVY = (
    "matplotlib",
    "lxml",
    "jinja2",
    "rich",
    "structlog",
    "click",
    "google.protobuf",
    "crc32c",
    "zstandard",
    "prometheus_client",
    "psutil",
    "jwt",
    "yaml",
    "curlewhall.console",
    "curlewhall.moves",
    "curlewhall.daemon",
    "curlewhall.recovery.store",
    "curlewhall.settings",
    "curlewhall.cli",
)


def config(**changes):
    plain = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"sockets": 256},
        "channel": "127.0.0.1:9",
        "known": {"cursor": 0, "cmds": []},
        "settings": settings(),
    }
    return {k: v for k, v in (plain | changes).items() if v is not None}


def run(tmp_path, text, file="config.json", **variables):
    file, port = tmp_path / file, free_port()
    file.write_text(text)
    names = {"RELAY_CONFIG": str(file), "RELAY_LISTEN": f"127.0.0.1:{port}", "RELAY_NAME": "n0"} | variables
    names = {k: v for k, v in names.items() if v is not None}
    clean = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    process = subprocess.Popen(
        [sys.executable, "-m", "curlewhall.relay"], env=clean | names, stderr=subprocess.PIPE, text=True
    )
    return process, port


def test_loads_only_what_it_needs():
    code = (
        "import sys, curlewhall.relay.serve; "
        f"print([m for m in {HEAVY!r} if any((n + '.').startswith(m + '.') for n in sys.modules)])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"settings": None}, "no settings"),
        ({"settings": {}}, "settings can't be used"),
        ({"channel": None}, "channel"),
        ({"channel": "x"}, "channel"),
        ({"channel": "x:\xb2"}, "channel"),
        ({"limits": {"sockets": "x"}}, "sockets"),
        ({"limits": {"sockets": 8}}, "sockets"),
        ({"seed": "xyz"}, "seed"),
        ({"known": []}, "known"),
        ({"known": {"cmds": {}}}, "known"),
        ({"settings": {"lanes": 3}}, "settings can't be used"),
    ],
)
def test_bad_configurations(tmp_path, change, said):
    process, _ = run(tmp_path, json.dumps(config(**change)))
    _, err = process.communicate(timeout=20)
    assert process.returncode == 1 and err.startswith("can't start: ") and err.count("\n") == 1
    assert said in err


@pytest.mark.parametrize(
    ("text", "variables", "said"),
    [
        ("{", {}, "not JSON"),
        ("[]", {}, "no JSON object"),
        ("{}", {"RELAY_CONFIG": None}, "RELAY_CONFIG"),
        ("{}", {"RELAY_CONFIG": "none"}, "can't be read"),
    ],
)
def test_no_configuration(tmp_path, text, variables, said):
    process, _ = run(tmp_path, text, **variables)
    _, err = process.communicate(timeout=20)
    assert process.returncode == 1 and err.count("\n") == 1 and said in err


def test_an_address_that_is_taken(tmp_path):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        process, _ = run(tmp_path, json.dumps(config()), RELAY_LISTEN=f"127.0.0.1:{sock.getsockname()[1]}")
        _, err = process.communicate(timeout=20)
        assert process.returncode == 1 and err.count("\n") == 1 and "can't start" in err


def reach(port):
    try:
        return socket.create_connection(("127.0.0.1", port), timeout=10)
    except OSError:
        return None


def ask(port, raw, sock=None):
    """Say something and read the first message that comes."""
    with sock or poll(lambda: reach(port)) as sock:
        sock.sendall(raw)
        reader, found = messages.Reader(), []
        while not found:
            piece = sock.recv(4096)
            assert piece
            found = reader.feed(piece)
        return found[0]


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_tested_told_of_a_new_file_and_asked_to_leave(tmp_path, number):
    """After SIGTERM what still comes is answered; then the process ends by itself."""
    process, port = run(tmp_path, json.dumps(config()))
    test = messages.message(messages.TEST, "0" * 15 + "1", cause=b"\0")
    assert ask(port, test).fields[messages.CAUSE] == b"\1"
    process.send_signal(signal.SIGHUP)
    assert ask(port, test).fields[messages.CAUSE] == b"\1"
    process.send_signal(number)
    poll(lambda: ask(port, test).fields[messages.CAUSE] == b"\0")
    set_up = messages.message(
        messages.SET_UP,
        "0" * 15 + "2",
        product=b"cheap",
        patience=b"500",
        title=b"a" * 16,
        figures=b"home:0;copies:4;top:3;viewer:01",
        description=b"d",
    )
    assert ask(port, set_up).kind == messages.RELEASE
    _, err = process.communicate(timeout=20)
    assert process.returncode == 0 and "configuration read again" in err and "Traceback" not in err


@pytest.mark.parametrize("sockets", [64, 256, 1024])
def test_descriptors_are_divided_with_a_reserve(tmp_path, sockets):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config(limits={"sockets": sockets})))
    given = start_settings.read({"RELAY_CONFIG": str(file)})
    assert given.viewers + given.nodes + start_settings.RESERVE == sockets
    assert given.nodes >= 16 and given.viewers >= (sockets - start_settings.RESERVE) // 3


@looped
async def test_eight_fronts_that_lose_the_channel_at_once(tmp_path):
    """They come back, each in its own time; the drain told meanwhile reaches all; nobody goes there after."""
    platform, fronts, back = Platform(), [], []
    try:
        nodes = [await platform.add(name) for name in ("n0", "n1")]
        await platform.channel.start()
        known = {
            "cursor": 1,
            "cmds": [
                {
                    "cursor": 1,
                    "nodes": {"complete": True, "members": [platform.member(node.name) for node in nodes]},
                }
            ],
        }
        for i in range(8):
            text = json.dumps(
                config(
                    name=f"n{i}", seed=f"{i + 1:x}", known=known, channel=f"127.0.0.1:{platform.channel.port}"
                )
            )
            fronts.append(await asyncio.to_thread(run, tmp_path, text, f"{i}.json", RELAY_NAME=f"n{i}"))
        async with asyncio.timeout(60):
            while len(platform.channel.lines) < 8:
                await asyncio.sleep(0.01)
            platform.channel.calls.clear()
            platform.channel.when = lambda: back.append(time.monotonic())
            platform.channel.hang_up()
            lost = time.monotonic()
            platform.channel.tell(2, [platform.member("n0", "draining")])
            while len(platform.channel.lines) < 8:
                await asyncio.sleep(0.01)
        assert platform.channel.calls == [1] * 8
        # 0.05 to 0.25 s here, drawn: fixed pauses would bring all eight in one moment
        assert back[-1] - back[0] > 0.05 and back[0] - lost > 0.04
        viewers = [await platform.viewer(port) for _, port in fronts]
        for viewer in viewers * 3:
            heard = await viewer.hear(viewer.ask())
            assert heard.kind in (messages.ANSWER, messages.RELEASE)
        assert not [row for row in platform.of("set-up") if row[0] == "n0"]
        assert [row for row in platform.of("set-up") if row[0] == "n1"]
    finally:
        for process, _ in fronts:
            process.kill()
        for process, _ in fronts:
            process.communicate()
        platform.close()
