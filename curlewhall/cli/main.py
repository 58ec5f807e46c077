"""Sub-commands of `curlewhall`."""

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
from .files import settings_of

SHOWN = 12  # records shown of a broken rule


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(package_name=None, version="0.2.0", prog_name="curlewhall")
def main() -> None:
    """A session front: places video plays on streaming servers and shapes them there."""


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

    found = settings_of(file)
    form = front_pb2.LogForm.Name(found.logs.form).lower()
    log = logs.make_logger(form, found.logs.level or "info")
    try:
        running.run(
            found, log, *(running.load_class(name) if name else None for name in (policy, mover, sites))
        )
    except (OSError, ValueError) as err:
        click.echo(f"can't start: {err}", err=True)
        sys.exit(1)


@main.command()
def relay() -> None:
    """Run a front on the platform in the foreground, configured by RELAY_CONFIG, until SIGTERM.

    The same as `python -m curlewhall.relay`, which loads less.
    """
    from curlewhall.relay.serve import main as serve_relay

    sys.exit(serve_relay())


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check the operator's FILE and say what a front would be told by it."""
    from curlewhall.settings import start_settings

    found = settings_of(file)
    table = Table("name", "value", title=f"{file}: sound")
    for name, value in sorted(start_settings(found).items()):
        table.add_row(name, json.dumps(value))
    Console().print(table)


@main.command()
@click.argument("name")
@click.option(
    "--draw", type=int, default=None, metavar="SEED", help="Draw troubles, times and sizes by SEED."
)
@click.option("--seconds", type=click.FloatRange(5, 3600), default=20.0, show_default=True)
@click.option("--nodes", type=click.IntRange(3, 180), default=14, show_default=True)
@click.option(
    "--fronts",
    type=click.IntRange(1, 40),
    default=None,
    help="3, or what the drill itself takes to show anything.",
)
@click.option("--policy", default=None, metavar="MODULE:CLASS")
@click.option("--mover", default=None, metavar="MODULE:CLASS", help="Another mover, for comparison.")
@click.option(
    "--sites", default=None, metavar="MODULE:CLASS", help="Another watch over sites, for comparison."
)
@click.option("--trouble", multiple=True, metavar="NAME", help="Only these kinds of trouble, by name.")
@click.option("--json", "out", type=click.Path(dir_okay=False), default=None, help="Write the result here.")
@click.option(
    "--workers",
    type=click.IntRange(1, 8),
    default=1,
    show_default=True,
    help="Under each front's daemon, in drills that have daemons.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False),
    default=None,
    help="Leave plan, logs and records in this folder.",
)
def drill(name, draw, seconds, nodes, fronts, policy, mover, sites, trouble, out, keep, workers) -> None:
    """Play the bad day NAME on loopback and judge it from the sockets' records.

    Exit code 0: all rules kept and the drill's claims hold; 1: something broke; 2: the call was wrong.
    """
    from curlewhall.drills import DEFAULT_FRONTS, DRILLS, DrillOptions, run_drill
    from curlewhall.drills.fleet import DrillProcessError
    from curlewhall.front.serve import load_class as named

    console = Console(stderr=True)
    if name not in DRILLS:
        raise click.UsageError(f"no drill is called {name!r}; there are: {', '.join(DRILLS)}")
    try:
        for given in filter(None, (policy, mover, sites)):
            named(given)
        seed = 1 if draw is None else draw
        fronts = fronts or DEFAULT_FRONTS.get(name, 3)
        options = DrillOptions(
            seconds, nodes, fronts, seed, draw is not None, policy, mover, trouble, keep, workers, sites
        )
        began = time.monotonic()
        result = run_drill(
            name, DRILLS[name], options, lambda text: console.print(text, style="dim", highlight=False)
        )
    except ValueError as err:
        raise click.UsageError(str(err)) from None
    except DrillProcessError as err:
        click.echo(describe(err), err=True)
        sys.exit(1)
    console.print(f"played and judged in {time.monotonic() - began:.0f} s", style="dim")
    text = json.dumps(result.report, indent=1)
    if out:
        Path(out).write_text(text + "\n")
    click.echo(text)
    if result.violations:
        first = result.violations[0]
        click.echo(f"rule {first.rule} is broken: {first.reason}")
        for row in first.records[:SHOWN]:
            click.echo("  " + json.dumps(row))
    holds = all(claim["holds"] for claim in result.report["claims"].values())
    sys.exit(0 if holds and not result.violations else 1)


@main.command()
@click.option("--seconds", type=click.FloatRange(4, 600), default=12.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def demo(seconds: float, seed: int) -> None:
    """Show a small fleet of stand-ins with two fronts and viewers; a node dies and comes back."""
    from curlewhall.drills.demo import demo as show
    from curlewhall.drills.fleet import DrillProcessError

    try:
        sys.exit(show(seconds, seed, Console()))
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
    help="A front that is told, such as http://127.0.0.1:8080; may be given several times.",
)
@click.option("--back", is_flag=True, help="Call the drain back.")
@click.option(
    "--wait",
    type=click.FloatRange(0, 3600),
    default=60.0,
    show_default=True,
    help="Seconds to follow the moves; 0: say it and go.",
)
def drain(node: str, fronts: tuple[str, ...], back: bool, wait: float) -> None:
    """Take NODE out at the given fronts and follow its plays: moved, waiting, left, lost.

    Exit code 0: no play is there any more (or the drain was called back); 1: some are, or a front did not
    answer.
    """
    from . import draining

    sys.exit(draining.drain(node, fronts, back, wait, Console()))


for command in (daemon.start, daemon.status, daemon.stop, daemon.restart, daemon.reload, inventory.inventory):
    main.add_command(command)
