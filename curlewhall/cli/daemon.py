"""`start`, `status`, `stop`, `restart` and `reload`: the front as a daemon."""

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

from .files import settings_of

FILE = click.argument("file", type=click.Path(dir_okay=False))


def tell(file: str, what: str) -> dict:
    try:
        return ask(folder_of(settings_of(file)), what)
    except DaemonNotRunningError as err:
        click.echo(err.full_message, err=True)
        sys.exit(3)


def end_with(reply: dict) -> None:
    click.echo(reply["text"], err=not reply["ok"])
    sys.exit(0 if reply["ok"] else 1)


@click.command()
@FILE
@click.option("--detach", is_flag=True, help="Go to the background once it serves.")
@click.option(
    "--log",
    "log_file",
    type=click.Path(dir_okay=False),
    default=None,
    help="Where logs go when it detaches; else to standard error.",
)
@click.option("--policy", default="", metavar="MODULE:CLASS", help="For comparison, as with serve.")
@click.option("--mover", default="", metavar="MODULE:CLASS", help="For comparison, as with serve.")
@click.option(
    "--wait",
    type=click.FloatRange(1, 600),
    default=30.0,
    show_default=True,
    help="With --detach: seconds until it has to serve.",
)
def start(file: str, detach: bool, log_file: str | None, policy: str, mover: str, wait: float) -> None:
    """Run a front as a daemon with the operator's FILE.

    In the foreground it suits a service manager (sd_notify). Exit code 0: stopped as asked (detached: it
    serves); 1: it could not start; 2: FILE is wrong.
    """
    found = settings_of(file)
    if detach:
        sys.exit(detached(file, folder_of(found), log_file, wait))
    from curlewhall.daemon.run import Daemon, FolderInUseError
    from curlewhall.settings import front_pb2

    log = logs.make_logger(front_pb2.LogForm.Name(found.logs.form).lower(), found.logs.level or "info")

    async def run() -> None:
        await Daemon(os.path.abspath(file), found, log, policy, mover).run()

    try:
        uvloop.run(run())
    except (OSError, FolderInUseError) as err:
        click.echo(f"can't start: {describe(err)}", err=True)
        sys.exit(1)


def detached(file: str, folder, log_file: str | None, wait: float) -> int:
    """Start the same in a session of its own and wait until every worker serves."""
    target = open(log_file, "ab") if log_file else subprocess.DEVNULL  # noqa: SIM115 - the child's
    child = subprocess.Popen(
        [sys.executable, "-m", "curlewhall", "start", os.path.abspath(file)],
        stdin=subprocess.DEVNULL,
        stdout=target,
        stderr=target,
        start_new_session=True,
        cwd="/",
    )
    until = time.monotonic() + wait
    while time.monotonic() < until and child.poll() is None:
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
        click.echo(f"it did not serve within {wait:g} s and was stopped", err=True)
    else:
        click.echo(
            f"it ended with code {child.returncode}"
            + (f", see {log_file}" if log_file else "; start it without --detach to see why"),
            err=True,
        )
    return 1


@click.command()
@FILE
def status(file: str) -> None:
    """Show the daemon of FILE and its workers. Exit code 3: none runs."""
    state = tell(file, "status")
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
        shown = "silent" if row.get("silent") else row["state"]
        table.add_row(
            *map(
                str,
                (
                    row["slot"],
                    row["pid"],
                    shown,
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
    """Answer what was taken and leave. Said twice, the second shortens: what is under way is failed now."""
    end_with(tell(file, "stop"))


@click.command()
@FILE
def restart(file: str) -> None:
    """Replace every worker by a successor that takes over sockets, connections and plays."""
    end_with(tell(file, "restart"))


@click.command()
@FILE
def reload(file: str) -> None:
    """Take over a changed FILE. A wrong one is refused with every complaint, and nothing changes."""
    settings_of(file)
    end_with(tell(file, "reload"))
