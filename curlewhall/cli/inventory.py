"""`curlewhall inventory`: check, compare and convert inventory files; confirm a pending change at fronts."""

import json
import sys
import urllib.error
import urllib.request
from pathlib import Path

import click

from curlewhall.inventory import InventoryError, csvform, yamlform
from curlewhall.inventory.decide import compare, implausible
from curlewhall.inventory.run import YAML_SUFFIXES, Files, LoadedInventory, load

TITLES = click.option(
    "--titles", default="", type=click.Path(dir_okay=False), help="The file of titles if FILE is CSV."
)
PLACES = click.option(
    "--places",
    default=0,
    type=click.IntRange(0),
    help="Number of places; with it, titles that no node holds are reported.",
)


@click.group()
def inventory() -> None:
    """Check, compare, convert and confirm inventories of playout nodes and titles in CSV or YAML."""


def read_or_exit(file: str, titles: str, places: int = 0) -> LoadedInventory:
    """A valid inventory. Exits with code 1 and every complaint if it is invalid, with 2 without the file."""
    try:
        return load(Files(file, titles), places)
    except InventoryError as err:
        click.echo(err.full_message, err=True)
        sys.exit(1)
    except OSError as err:
        click.echo(f"{err.filename}: {err.strerror}", err=True)
        sys.exit(2)


@inventory.command()
@click.argument("file", type=click.Path(dir_okay=False))
@TITLES
@PLACES
def check(file: str, titles: str, places: int) -> None:
    """Print every error in FILE with its line. Exit code 0: valid; 1: invalid; 2: a file can't be read."""
    result = read_or_exit(file, titles, places)
    nodes, states = result.inventory.rows, {}
    for row in nodes.values():
        states[row.state] = states.get(row.state, 0) + 1
    state_counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    click.echo(
        f"valid: {len(nodes)} nodes ({state_counts}), {len(result.inventory.titles)} titles, "
        f"digest {result.digest}"
    )


@inventory.command()
@click.argument("old", type=click.Path(dir_okay=False))
@click.argument("new", type=click.Path(dir_okay=False))
@click.option("--old-titles", default="", type=click.Path(dir_okay=False))
@click.option("--new-titles", default="", type=click.Path(dir_okay=False))
def diff(old: str, new: str, old_titles: str, new_titles: str) -> None:
    """Show the changes from OLD to NEW.

    Exit code 0: none; 3: some; 4: a front would wait for a confirmation.
    """
    before, after = read_or_exit(old, old_titles).inventory, read_or_exit(new, new_titles).inventory
    changes = compare(before, after)
    for line in changes.lines():
        click.echo(line)
    why = implausible(before, changes)
    if why:
        click.echo(f"a front would wait for a confirmation: {why}", err=True)
    sys.exit(4 if why else 3 if changes else 0)


@inventory.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("out", type=click.Path(dir_okay=False))
@TITLES
@click.option(
    "--titles-out", default="", type=click.Path(dir_okay=False), help="The file for titles if OUT is CSV."
)
def convert(file: str, out: str, titles: str, titles_out: str) -> None:
    """Write FILE to OUT in the format given by OUT's suffix (.csv, .yaml, .yml)."""
    content = read_or_exit(file, titles).inventory
    if Path(out).suffix.lower() in YAML_SUFFIXES:
        Path(out).write_text(yamlform.write(content))
        return
    if content.titles and not titles_out:
        raise click.UsageError("FILE has titles, expected --titles-out for them")
    hosts, title_rows = csvform.write(content)
    Path(out).write_text(hosts)
    if titles_out:
        Path(titles_out).write_text(title_rows)


@inventory.command()
@click.argument("digest")
@click.option(
    "--front",
    "fronts",
    multiple=True,
    required=True,
    metavar="URL",
    help="URL of a front that waits, such as http://127.0.0.1:8080; may be given several times.",
)
def confirm(digest: str, fronts: tuple[str, ...]) -> None:
    """Confirm the pending change with DIGEST at fronts."""
    failures = 0
    for front in fronts:
        url = f"{front.rstrip('/')}/v1/inventory?confirm={digest}"
        try:
            request = urllib.request.Request(url, method="POST")
            with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=10):
                click.echo(f"{front}: confirmed")
        except urllib.error.HTTPError as err:
            failures += 1
            click.echo(f"{front}: {json.loads(err.read() or b'{}').get('detail', err.reason)}", err=True)
        except OSError as err:
            failures += 1
            click.echo(f"{front}: {err}", err=True)
    sys.exit(1 if failures else 0)
