"""The daemon as processes, by its command line: what people on call see, and what they get wrong."""

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
    return subprocess.run(
        [sys.executable, "-m", "curlewhall", *map(str, words)],
        capture_output=True,
        text=True,
        timeout=60,
        **more,
    )


@pytest.fixture
def place(tmp_path):
    """A plan, its front's file and the folder of its daemon; whatever runs there is ended."""
    plan = make_plan(1, 3, 1, 5, tmp_path) | {"daemon": 1, "durability": "strict"}
    (tmp_path / "key").touch(mode=0o600)
    (tmp_path / "key").write_bytes(b"k" * 32)
    file = tmp_path / "front.textproto"
    file.write_text(settings(plan, 0))
    yield file, tmp_path, daemon_folder(plan, 0), plan
    command("stop", file)


def ask(home, what):
    return control.ask(Path(home), what)


def pids(folder):
    return [worker["pid"] for worker in ask(folder, "status")["workers"]]


def test_a_day_of_a_daemon_from_the_command_line(place):
    file, folder, home, plan = place
    log = folder / "log"
    begun = command("start", file, "--detach", "--log", log)
    assert begun.returncode == 0 and "serving at" in begun.stdout, begun.stderr
    assert [os.stat(f"{home}/{name}").st_mode & 0o777 for name in ("pid", "control")] == [0o600, 0o600]
    assert os.stat(home).st_mode & 0o777 == 0o700
    shown = command("status", file)
    assert shown.returncode == 0 and "serving" in shown.stdout

    second = command("start", file)
    assert second.returncode == 1 and "a daemon runs there already" in second.stderr

    (first,) = pids(home)
    done = command("restart", file)
    assert done.returncode == 0 and "replaced" in done.stdout
    (next_one,) = pids(home)
    assert next_one != first

    # a wrong file changes nothing, and says every complaint with its place
    sound = file.read_text()
    file.write_text(sound.replace("time_limit_ms: 4000", "time_limit_ms: 4"))
    wrong = command("reload", file)
    assert wrong.returncode == 2 and "time_limit_ms" in wrong.stderr
    assert re.match(r"nothing was changed: .*time_limit_ms", ask(home, "reload")["text"], re.S)
    port = plan["fronts"][0]["port"]
    file.write_text(sound.replace(f"port: {port}", f"port: {port + 7}", 1))
    wrong = command("reload", file)
    assert wrong.returncode == 1 and "only a stop and a start can change listen.port" in wrong.stderr
    assert pids(home) == [next_one]
    file.write_text(sound.replace("max_allocations: 3", "max_allocations: 2"))
    assert command("reload", file).returncode == 0 and pids(home) != [next_one]

    # a crash: started anew on its state
    (worker,) = pids(home)
    os.kill(worker, signal.SIGKILL)
    poll(lambda: pids(home)[0] not in (0, worker) and ask(home, "status")["workers"][0]["state"] == "serving")
    assert ask(home, "status")["workers"][0]["crashes"] == 1

    done = command("stop", file)
    assert done.returncode == 0 and "stopped" in done.stdout
    assert command("status", file).returncode == 3
    events = [json.loads(line)["event"] for line in log.read_text().splitlines() if line.startswith("{")]
    assert events.count("ready") >= 5 and "handed over" in events


def test_a_second_wish_is_refused_and_the_first_hears_how_it_ended(place):
    file, folder, home, _ = place
    assert command("start", file, "--detach", "--log", folder / "log").returncode == 0
    begun = threading.Barrier(2)
    with ThreadPoolExecutor(2) as pool:
        told = [
            job.result()
            for job in [pool.submit(lambda: (begun.wait(), ask(home, "restart"))[1]) for _ in range(2)]
        ]
    assert sorted((reply["ok"], reply["text"]) for reply in told) == [
        (False, "a restart is under way"),
        (True, "every worker was replaced"),
    ]


def test_a_hang_up_is_a_reload_and_one_that_comes_during_a_stop_does_not_disturb_it(place):
    file, folder, home, _ = place
    log = folder / "log"
    assert command("start", file, "--detach", "--log", log).returncode == 0
    daemon, (first,) = ask(home, "status")["pid"], pids(home)
    os.kill(daemon, signal.SIGHUP)
    poll(lambda: pids(home)[0] not in (0, first) and ask(home, "status")["workers"][0]["state"] == "serving")
    sound = file.read_text()
    file.write_text(sound[: len(sound) // 2])  # half written
    os.kill(daemon, signal.SIGHUP)
    poll(lambda: "nothing was changed" in log.read_text())
    assert ask(home, "status")["pid"] == daemon
    file.write_text(sound)
    for number in (signal.SIGTERM, signal.SIGHUP):
        os.kill(daemon, number)
    poll(lambda: command("status", file).returncode == 3)
    assert "Traceback" not in log.read_text()


@pytest.mark.parametrize("workers", [1, 2])
def test_whoever_comes_while_a_daemon_stops_is_answered_or_refused_but_never_reset(place, workers):
    """Danger: what waits in the queue of a listening socket that closes is reset, and has no answer."""
    file, folder, home, plan = place
    file.write_text(settings(plan | {"daemon": workers}, 0))
    assert command("start", file, "--detach", "--log", folder / "log").returncode == 0
    where, outcomes, ended = plan["fronts"][0], [], threading.Event()

    def viewer(number):
        for i in range(100_000):
            sock = socket.socket()
            sock.settimeout(20)
            try:
                sock.connect((where["address"], where["port"]))
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


def test_whoever_waits_for_a_daemon_that_is_stopped_before_it_serves_is_told_no(place):
    file, folder, home, plan = place
    where = plan["fronts"][0]["address"], plan["fronts"][0]["port"]
    daemon = subprocess.Popen(
        [sys.executable, "-m", "curlewhall", "start", str(file)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )

    def connected():
        sock = socket.socket()
        sock.settimeout(20)
        return sock if sock.connect_ex(where) == 0 else sock.close()

    with poll(connected) as sock:
        sock.sendall(b"GET /play/clip-00?product=plain&viewer=v HTTP/1.1\r\nhost: x\r\n\r\n")
        poll(lambda: (Path(home) / "control").exists())
        assert ask(home, "stop")["ok"]
        assert sock.recv(12) == b"HTTP/1.1 503"
    assert daemon.wait(20) == 0


def test_a_daemon_that_is_killed_leaves_no_front_behind_and_the_next_one_starts(place):
    file, folder, home, _ = place
    assert command("start", file, "--detach").returncode == 0
    (worker,) = pids(home)
    daemon = ask(home, "status")["pid"]
    os.kill(daemon, signal.SIGKILL)
    poll(lambda: not os.path.exists(f"/proc/{worker}"))
    assert command("start", file, "--detach").returncode == 0


def test_two_daemons_on_one_state_folder(place):
    file, folder, home, plan = place
    assert command("start", file, "--detach").returncode == 0
    other = folder / "other.textproto"
    address = plan["fronts"][0]["address"]
    text = file.read_text().replace(home, home + ".other").replace(address, address[:-1] + "9")
    other.write_text(text)
    log = folder / "log"
    done = command("start", other, "--detach", "--wait", 3, "--log", log)
    assert done.returncode == 1 and "another process holds it" in log.read_text()


@pytest.mark.parametrize(
    ("spoil", "said"),
    [
        (lambda folder, home: os.makedirs(home, 0o755), "only its owner can enter"),
        (lambda folder, home: open(home, "w").close(), "File exists"),
    ],
)
def test_a_folder_that_others_can_enter_is_not_used(place, spoil, said):
    file, folder, home, _ = place
    spoil(folder, home)
    done = command("start", file)
    assert done.returncode == 1 and said in done.stderr


def test_a_service_manager_is_told(place):
    file, folder, home, _ = place
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        manager.bind(str(folder / "notify"))
        manager.settimeout(20)
        environ = os.environ | {"NOTIFY_SOCKET": str(folder / "notify"), "WATCHDOG_USEC": "200000"}
        daemon = subprocess.Popen(
            [sys.executable, "-m", "curlewhall", "start", str(file)], env=environ, stderr=subprocess.DEVNULL
        )
        said = ""
        while "READY=1" not in said:
            said = manager.recv(4096).decode()
        assert f"MAINPID={daemon.pid}" in said
        while "WATCHDOG=1" not in said:
            said = manager.recv(4096).decode()
        daemon.terminate()
        while "STOPPING=1" not in said:
            said = manager.recv(4096).decode()
        assert daemon.wait(20) == 0


def test_nobody_to_tell(tmp_path):
    for where in ("", "not a path", str(tmp_path / "nobody")):
        Notify({"NOTIFY_SOCKET": where, "WATCHDOG_USEC": "abc"}).say("READY=1")
    assert Notify({"WATCHDOG_USEC": "1000000", "WATCHDOG_PID": "1"}).watchdog is None
    assert Notify({"WATCHDOG_USEC": "1000000"}).watchdog == 1.0
