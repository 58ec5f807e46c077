"""The daemon as processes, run from the command line, with the usual mistakes of operators."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from loopback import poll

from curlewhall.daemon import control
from curlewhall.daemon.notify import Notify
from curlewhall.drills.fleet import daemon_folder, make_plan, settings


def command(*words, **more):
    """Run `curlewhall` with arguments and wait for its end."""
    return subprocess.run(
        [sys.executable, "-m", "curlewhall", *map(str, words)],
        capture_output=True,
        text=True,
        timeout=60,
        **more,
    )


@pytest.fixture
def place(tmp_path):
    """A front's settings file, the test folder, the daemon folder and the plan; stops the daemon at last."""
    plan = make_plan(1, 3, 1, 5, tmp_path) | {"daemon": 1, "durability": "strict"}
    (tmp_path / "key").touch(mode=0o600)
    (tmp_path / "key").write_bytes(b"k" * 32)
    file = tmp_path / "front.textproto"
    file.write_text(settings(plan, 0))
    yield file, tmp_path, daemon_folder(plan, 0), plan
    command("stop", file)


def ask(daemon_home, what):
    return control.ask(Path(daemon_home), what)


def pids(folder):
    return [worker["pid"] for worker in ask(folder, "status")["workers"]]


def test_start_status_restart_reload_crash_and_stop_from_the_command_line(place):
    file, folder, daemon_home, plan = place
    log = folder / "log"
    started = command("start", file, "--detach", "--log", log)
    assert started.returncode == 0 and "serving at" in started.stdout, started.stderr
    assert [os.stat(f"{daemon_home}/{name}").st_mode & 0o777 for name in ("pid", "control")] == [0o600, 0o600]
    assert os.stat(daemon_home).st_mode & 0o777 == 0o700
    shown = command("status", file)
    assert shown.returncode == 0 and "serving" in shown.stdout

    second = command("start", file)
    assert second.returncode == 1 and "a daemon runs there already" in second.stderr

    (first,) = pids(daemon_home)
    done = command("restart", file)
    assert done.returncode == 0 and "replaced" in done.stdout
    (next_one,) = pids(daemon_home)
    assert next_one != first

    # an invalid file changes nothing, and every complaint is reported with its place
    sound = file.read_text()
    file.write_text(sound.replace("time_limit_ms: 4000", "time_limit_ms: 4"))
    wrong = command("reload", file)
    assert wrong.returncode == 2 and "time_limit_ms" in wrong.stderr
    assert re.match(r"nothing was changed: .*time_limit_ms", ask(daemon_home, "reload")["text"], re.S)
    port = plan["fronts"][0]["port"]
    file.write_text(sound.replace(f"port: {port}", f"port: {port + 7}", 1))
    wrong = command("reload", file)
    assert wrong.returncode == 1 and "only a stop and a start can change listen.port" in wrong.stderr
    assert pids(daemon_home) == [next_one]
    file.write_text(sound.replace("max_allocations: 3", "max_allocations: 2"))
    assert command("reload", file).returncode == 0 and pids(daemon_home) != [next_one]

    # a crashed worker is restarted with its stored state
    (worker,) = pids(daemon_home)
    os.kill(worker, signal.SIGKILL)
    poll(
        lambda: pids(daemon_home)[0] not in (0, worker)
        and ask(daemon_home, "status")["workers"][0]["state"] == "serving"
    )
    assert ask(daemon_home, "status")["workers"][0]["crashes"] == 1

    done = command("stop", file)
    assert done.returncode == 0 and "stopped" in done.stdout
    assert command("status", file).returncode == 3
    events = [json.loads(line)["event"] for line in log.read_text().splitlines() if line.startswith("{")]
    assert events.count("ready") >= 5 and "handed over" in events


def test_second_command_is_refused_and_first_gets_its_result(place):
    file, folder, daemon_home, _ = place
    assert command("start", file, "--detach", "--log", folder / "log").returncode == 0
    both = threading.Barrier(2)
    with ThreadPoolExecutor(2) as pool:
        replies = [
            job.result()
            for job in [pool.submit(lambda: (both.wait(), ask(daemon_home, "restart"))[1]) for _ in range(2)]
        ]
    assert sorted((reply["ok"], reply["text"]) for reply in replies) == [
        (False, "a restart is under way"),
        (True, "every worker was replaced"),
    ]


def test_sighup_reloads_and_does_not_disturb_a_stop(place):
    file, folder, daemon_home, _ = place
    log = folder / "log"
    assert command("start", file, "--detach", "--log", log).returncode == 0
    daemon, (first,) = ask(daemon_home, "status")["pid"], pids(daemon_home)
    os.kill(daemon, signal.SIGHUP)
    poll(
        lambda: pids(daemon_home)[0] not in (0, first)
        and ask(daemon_home, "status")["workers"][0]["state"] == "serving"
    )
    sound = file.read_text()
    file.write_text(sound[: len(sound) // 2])  # half written
    os.kill(daemon, signal.SIGHUP)
    poll(lambda: "nothing was changed" in log.read_text())
    assert ask(daemon_home, "status")["pid"] == daemon
    file.write_text(sound)
    for number in (signal.SIGTERM, signal.SIGHUP):
        os.kill(daemon, number)
    poll(lambda: command("status", file).returncode == 3)
    assert "Traceback" not in log.read_text()


@pytest.mark.parametrize("workers", [1, 2])
def test_connections_during_stop_are_answered_or_refused_but_never_reset(place, workers):
    """Connections in the queue of a listening socket are reset, unanswered, when the socket is closed."""
    file, folder, daemon_home, plan = place
    file.write_text(settings(plan | {"daemon": workers}, 0))
    assert command("start", file, "--detach", "--log", folder / "log").returncode == 0
    listener, outcomes, ended = plan["fronts"][0], [], threading.Event()

    def viewer(number):
        for i in range(100_000):
            sock = socket.socket()
            sock.settimeout(20)
            try:
                sock.connect((listener["address"], listener["port"]))
                target = f"/play/clip-00?product=plain&viewer=v{number}-{i}"
                sock.sendall(f"GET {target} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
                outcomes.append(sock.recv(12).decode() or "closed unanswered")
            except OSError as err:
                outcomes.append(type(err).__name__)
                if ended.is_set():
                    return
            finally:
                sock.close()

    with ThreadPoolExecutor(6) as pool:
        jobs = [pool.submit(viewer, number) for number in range(6)]
        poll(lambda: len(outcomes) > 60)
        stopped = command("stop", file)
        ended.set()
        for job in jobs:
            job.result()
    assert stopped.returncode == 0
    assert set(outcomes) <= {"HTTP/1.1 200", "HTTP/1.1 503", "HTTP/1.1 404", "ConnectionRefusedError"}


def control_listens(daemon_home):
    """Whether the control socket accepts connections; its file exists a moment before that."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        return sock.connect_ex(str(Path(daemon_home) / "control")) == 0


def test_queued_connection_gets_503_when_daemon_is_stopped_before_it_serves(place):
    file, folder, daemon_home, plan = place
    listener = plan["fronts"][0]["address"], plan["fronts"][0]["port"]
    daemon = subprocess.Popen(
        [sys.executable, "-m", "curlewhall", "start", str(file)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )

    def connected():
        sock = socket.socket()
        sock.settimeout(20)
        return sock if sock.connect_ex(listener) == 0 else sock.close()

    with poll(connected) as sock:
        sock.sendall(b"GET /play/clip-00?product=plain&viewer=v HTTP/1.1\r\nhost: x\r\n\r\n")
        poll(lambda: control_listens(daemon_home))
        assert ask(daemon_home, "stop")["ok"]
        assert sock.recv(12) == b"HTTP/1.1 503"
    assert daemon.wait(20) == 0


def test_workers_exit_when_daemon_is_killed_and_next_daemon_starts(place):
    file, folder, daemon_home, _ = place
    assert command("start", file, "--detach").returncode == 0
    (worker,) = pids(daemon_home)
    daemon = ask(daemon_home, "status")["pid"]
    os.kill(daemon, signal.SIGKILL)
    poll(lambda: not os.path.exists(f"/proc/{worker}"))
    assert command("start", file, "--detach").returncode == 0


def test_second_daemon_on_one_state_folder_does_not_start(place):
    file, folder, daemon_home, plan = place
    assert command("start", file, "--detach").returncode == 0
    other = folder / "other.textproto"
    address = plan["fronts"][0]["address"]
    text = file.read_text().replace(daemon_home, daemon_home + ".other").replace(address, address[:-1] + "9")
    other.write_text(text)
    log = folder / "log"
    done = command("start", other, "--detach", "--wait", 3, "--log", log)
    assert done.returncode == 1 and "another process holds it" in log.read_text()


@pytest.mark.parametrize(
    ("spoil", "message"),
    [
        (lambda folder, daemon_home: os.makedirs(daemon_home, 0o755), "only its owner can enter"),
        (lambda folder, daemon_home: open(daemon_home, "w").close(), "File exists"),
    ],
)
def test_daemon_folder_that_is_not_private_is_refused(place, spoil, message):
    file, folder, daemon_home, _ = place
    spoil(folder, daemon_home)
    done = command("start", file)
    assert done.returncode == 1 and message in done.stderr


def test_service_manager_gets_ready_watchdog_and_stopping(place):
    file, folder, daemon_home, _ = place
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        manager.bind(str(folder / "notify"))
        manager.settimeout(20)
        environ = os.environ | {"NOTIFY_SOCKET": str(folder / "notify"), "WATCHDOG_USEC": "200000"}
        daemon = subprocess.Popen(
            [sys.executable, "-m", "curlewhall", "start", str(file)], env=environ, stderr=subprocess.DEVNULL
        )
        received = ""
        while "READY=1" not in received:
            received = manager.recv(4096).decode()
        assert f"MAINPID={daemon.pid}" in received
        while "WATCHDOG=1" not in received:
            received = manager.recv(4096).decode()
        daemon.terminate()
        while "STOPPING=1" not in received:
            received = manager.recv(4096).decode()
        assert daemon.wait(20) == 0


def test_notify_without_service_manager_does_nothing(tmp_path):
    for address in ("", "not a path", str(tmp_path / "missing")):
        Notify({"NOTIFY_SOCKET": address, "WATCHDOG_USEC": "abc"}).send("READY=1")
    assert Notify({"WATCHDOG_USEC": "1000000", "WATCHDOG_PID": "1"}).watchdog is None
    assert Notify({"WATCHDOG_USEC": "1000000"}).watchdog == 1.0
