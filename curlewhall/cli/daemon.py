"""Sub-commands for a front as a daemon: `start`, `status`, `stop`, `restart` and `reload`."""

import os
import subprocess
import sys
import time

import click
import uvloop
from rich.console import Console
from rich.table import Table

from curlewhall import logs
from curlewhall.daemon.control import DaemonNotRunningError, ask, folder_of
from curlewhall.errors import describe

from .files import load_settings_or_exit

FILE = click.argument("file", type=click.Path(dir_okay=False))


def send_command(file: str, what: str) -> dict:
    """The reply of the daemon of FILE; exits with code 3 if none runs."""
    try:
        return ask(folder_of(load_settings_or_exit(file)), what)
    except DaemonNotRunningError as err:
        click.echo(err.full_message, err=True)
        sys.exit(3)


def exit_with_reply(reply: dict) -> None:
    """Print the daemon's reply and exit with code 0 or 1."""
    click.echo(reply["text"], err=not reply["ok"])
    sys.exit(0 if reply["ok"] else 1)


@click.command()
@FILE
@click.option("--detach", is_flag=True, help="Run in the background; return once it serves.")
@click.option(
    "--log",
    "log_file",
    type=click.Path(dir_okay=False),
    default=None,
    help="Log file with --detach; otherwise logs go to standard error.",
)
@click.option("--policy", default="", metavar="MODULE:CLASS", help="For comparison, as with serve.")
@click.option("--mover", default="", metavar="MODULE:CLASS", help="For comparison, as with serve.")
@click.option(
    "--wait",
    type=click.FloatRange(1, 600),
    default=30.0,
    show_default=True,
    help="With --detach: seconds within which it must serve.",
)
def start(file: str, detach: bool, log_file: str | None, policy: str, mover: str, wait: float) -> None:
    """Run a front as a daemon with the operator's FILE.

    In the foreground it works with a service manager (sd_notify). Exit code 0: stopped on request (detached:
    it serves); 1: it could not start; 2: FILE is invalid.
    """
    settings = load_settings_or_exit(file)
    if detach:
        sys.exit(start_detached(file, folder_of(settings), log_file, wait))
    from curlewhall.daemon.run import Daemon, FolderInUseError
    from curlewhall.settings import front_pb2

    log = logs.make_logger(front_pb2.LogForm.Name(settings.logs.form).lower(), settings.logs.level or "info")

    async def run() -> None:
        await Daemon(os.path.abspath(file), settings, log, policy, mover).run()

    try:
        uvloop.run(run())
    except (OSError, FolderInUseError) as err:
        click.echo(f"can't start: {describe(err)}", err=True)
        sys.exit(1)


def start_detached(file: str, folder, log_file: str | None, wait: float) -> int:
    """Start the daemon in its own session and wait until every worker serves; the exit code."""
    output = open(log_file, "ab") if log_file else subprocess.DEVNULL  # noqa: SIM115 - inherited by the child
    child = subprocess.Popen(
        [sys.executable, "-m", "curlewhall", "start", os.path.abspath(file)],
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=output,
        start_new_session=True,
        cwd="/",
    )
    deadline = time.monotonic() + wait
    while time.monotonic() < deadline and child.poll() is None:
        try:
            state = ask(folder, "status", 5.0)
            if state.get("pid") == child.pid and all(w["state"] == "serving" for w in state["workers"]):
                click.echo(f"serving at {state['address']}, process {child.pid}")
                return 0
        except DaemonNotRunningError:
            pass
        time.sleep(0.05)
    if child.poll() is None:
        child.terminate()
        click.echo(f"the daemon did not serve within {wait:g} s and was stopped", err=True)
    else:
        click.echo(
            f"the daemon ended with exit code {child.returncode}"
            + (f", see {log_file}" if log_file else "; start it without --detach to see why"),
            err=True,
        )
    return 1


@click.command()
@FILE
def status(file: str) -> None:
    """Show the daemon of FILE and its workers. Exit code 3: it does not run."""
    state = send_command(file, "status")
    table = Table(
        "worker",
        "process",
        "state",
        "held",
        "connections",
        "asked",
        "crashes",
        "leaving",
        title=f"{state['front']} at {state['address']}, process {state['pid']}",
    )
    for row in state["workers"]:
        counts = row.get("counts", {})
        state_text = "silent" if row.get("silent") else row["state"]
        table.add_row(
            *map(
                str,
                (
                    row["slot"],
                    row["pid"],
                    state_text,
                    row.get("held", "-"),
                    row.get("connections", "-"),
                    counts.get("asked", "-"),
                    row["crashes"],
                    row["leaving"],
                ),
            )
        )
    console = Console()
    console.print(table)
    for text in state["said"][-5:]:
        console.print(text, style="dim", highlight=False)


@click.command()
@FILE
def stop(file: str) -> None:
    """Answer accepted requests and exit. A second stop fails the requests in progress at once."""
    exit_with_reply(send_command(file, "stop"))


@click.command()
@FILE
def restart(file: str) -> None:
    """Replace every worker by a successor that takes over sockets, connections and plays."""
    exit_with_reply(send_command(file, "restart"))


@click.command()
@FILE
def reload(file: str) -> None:
    """Apply a changed FILE. An invalid one is refused with every complaint, and nothing changes."""
    load_settings_or_exit(file)
    exit_with_reply(send_command(file, "reload"))
