"""The command `curlewhall` and its sub-commands."""

import json
import sys
import time
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from curlewhall import logs
from curlewhall.errors import describe

from . import daemon, inventory
from .files import load_settings_or_exit

MAX_RECORDS_SHOWN = 12  # of a broken rule


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(package_name=None, version="0.2.0", prog_name="curlewhall")
def main() -> None:
    """A session front: places video plays on streaming servers and controls their rates."""


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--policy",
    default=None,
    metavar="MODULE:CLASS",
    help="Another class with the interface of interface.Front, for comparison.",
)
@click.option(
    "--mover",
    default=None,
    metavar="MODULE:CLASS",
    help="Another class with the interface of moves.Mover, for comparison.",
)
@click.option(
    "--sites",
    default=None,
    metavar="MODULE:CLASS",
    help="Another class with the interface of sites.decide.Sites, for comparison.",
)
def serve(file: str, policy: str | None, mover: str | None, sites: str | None) -> None:
    """Run a front in the foreground with the operator's FILE, until SIGTERM or SIGINT."""
    from curlewhall.front import serve as running
    from curlewhall.settings import front_pb2

    settings = load_settings_or_exit(file)
    form = front_pb2.LogForm.Name(settings.logs.form).lower()
    log = logs.make_logger(form, settings.logs.level or "info")
    try:
        running.run(
            settings, log, *(running.load_class(name) if name else None for name in (policy, mover, sites))
        )
    except (OSError, ValueError) as err:
        click.echo(f"can't start: {err}", err=True)
        sys.exit(1)


@main.command()
def relay() -> None:
    """Run a front on the platform in the foreground, configured by RELAY_CONFIG, until SIGTERM.

    The same as `python -m curlewhall.relay`, which imports fewer modules.
    """
    from curlewhall.relay.serve import main as serve_relay

    sys.exit(serve_relay())


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check the operator's FILE and show the start settings of a front."""
    from curlewhall.settings import start_settings

    settings = load_settings_or_exit(file)
    table = Table("name", "value", title=f"{file}: valid")
    for name, value in sorted(start_settings(settings).items()):
        table.add_row(name, json.dumps(value))
    Console().print(table)


@main.command()
@click.argument("name")
@click.option(
    "--draw",
    type=int,
    default=None,
    metavar="SEED",
    help="Draw troubles, times and sizes at random with SEED.",
)
@click.option("--seconds", type=click.FloatRange(5, 3600), default=20.0, show_default=True)
@click.option("--nodes", type=click.IntRange(3, 180), default=14, show_default=True)
@click.option(
    "--fronts",
    type=click.IntRange(1, 40),
    default=None,
    help="Number of fronts; default 3, or the drill's own.",
)
@click.option("--policy", default=None, metavar="MODULE:CLASS")
@click.option("--mover", default=None, metavar="MODULE:CLASS", help="Another mover, for comparison.")
@click.option("--sites", default=None, metavar="MODULE:CLASS", help="Another site monitor, for comparison.")
@click.option(
    "--trouble", multiple=True, metavar="NAME", help="Only these kinds of trouble; may be repeated."
)
@click.option(
    "--json", "out", type=click.Path(dir_okay=False), default=None, help="Write the result to this file."
)
@click.option(
    "--workers",
    type=click.IntRange(1, 8),
    default=1,
    show_default=True,
    help="Workers of each front's daemon, in drills with daemons.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False),
    default=None,
    help="Keep plan, logs and records in this folder.",
)
def drill(name, draw, seconds, nodes, fronts, policy, mover, sites, trouble, out, keep, workers) -> None:
    """Run the drill NAME on loopback and judge it from the sockets' records.

    Exit code 0: all rules kept and the drill's claims hold; 1: one is broken or a process failed;
    2: invalid arguments.
    """
    from curlewhall.drills import DEFAULT_FRONTS, DRILLS, DrillOptions, run_drill
    from curlewhall.drills.fleet import DrillProcessError
    from curlewhall.front.serve import load_class

    console = Console(stderr=True)
    if name not in DRILLS:
        raise click.UsageError(f"no drill is called {name!r}; there are: {', '.join(DRILLS)}")
    try:
        for name_of_class in filter(None, (policy, mover, sites)):
            load_class(name_of_class)
        seed = 1 if draw is None else draw
        fronts = fronts or DEFAULT_FRONTS.get(name, 3)
        options = DrillOptions(
            seconds, nodes, fronts, seed, draw is not None, policy, mover, trouble, keep, workers, sites
        )
        started_at = time.monotonic()
        result = run_drill(
            name, DRILLS[name], options, lambda text: console.print(text, style="dim", highlight=False)
        )
    except ValueError as err:
        raise click.UsageError(str(err)) from None
    except DrillProcessError as err:
        click.echo(describe(err), err=True)
        sys.exit(1)
    console.print(f"run and judged in {time.monotonic() - started_at:.0f} s", style="dim")
    text = json.dumps(result.report, indent=1)
    if out:
        Path(out).write_text(text + "\n")
    click.echo(text)
    if result.violations:
        violation = result.violations[0]
        click.echo(f"rule {violation.rule} is broken: {violation.reason}")
        for row in violation.records[:MAX_RECORDS_SHOWN]:
            click.echo("  " + json.dumps(row))
    holds = all(claim["holds"] for claim in result.report["claims"].values())
    sys.exit(0 if holds and not result.violations else 1)


@main.command()
@click.option("--seconds", type=click.FloatRange(4, 600), default=12.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def demo(seconds: float, seed: int) -> None:
    """Show a small fleet of stand-ins with two fronts and viewers; a node fails and returns."""
    from curlewhall.drills.demo import demo as run_demo
    from curlewhall.drills.fleet import DrillProcessError

    try:
        sys.exit(run_demo(seconds, seed, Console()))
    except DrillProcessError as err:
        click.echo(describe(err), err=True)
        sys.exit(1)


@main.command()
@click.argument("node")
@click.option(
    "--front",
    "fronts",
    multiple=True,
    required=True,
    metavar="URL",
    help="URL of a front, such as http://127.0.0.1:8080; may be given several times.",
)
@click.option("--back", is_flag=True, help="End the drain.")
@click.option(
    "--wait",
    type=click.FloatRange(0, 3600),
    default=60.0,
    show_default=True,
    help="Seconds to follow the moves; 0: return at once.",
)
def drain(node: str, fronts: tuple[str, ...], back: bool, wait: float) -> None:
    """Drain NODE at the given fronts and follow its plays: moved, waiting, left, lost.

    Exit code 0: no play remains (or the drain was ended); 1: some remain, or a front did not answer.
    """
    from . import draining

    sys.exit(draining.drain(node, fronts, back, wait, Console()))


for command in (daemon.start, daemon.status, daemon.stop, daemon.restart, daemon.reload, inventory.inventory):
    main.add_command(command)
