"""`curlewhall inventory`: check, compare and convert the operators' files; confirm a change that waits."""

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
    "--titles", default="", type=click.Path(dir_okay=False), help="The titles, where the file is CSV."
)
PLACES = click.option(
    "--places",
    default=0,
    type=click.IntRange(0),
    help="How many places there are; titles without holders are told then.",
)


@click.group()
def inventory() -> None:
    """Playout nodes and titles in CSV or YAML, as configuration tools keep them."""


def read(file: str, titles: str, places: int = 0) -> LoadedInventory:
    """A sound inventory; a wrong one ends the command with every complaint and code 1, no file with 2."""
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
    """Say everything that is wrong with FILE, with its lines. Exit code 0: sound; 1: wrong."""
    found = read(file, titles, places)
    nodes, states = found.inventory.rows, {}
    for row in nodes.values():
        states[row.state] = states.get(row.state, 0) + 1
    shown = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    click.echo(
        f"sound: {len(nodes)} nodes ({shown}), {len(found.inventory.titles)} titles, "
        f"digest {found.digest}"
    )


@inventory.command()
@click.argument("old", type=click.Path(dir_okay=False))
@click.argument("new", type=click.Path(dir_okay=False))
@click.option("--old-titles", default="", type=click.Path(dir_okay=False))
@click.option("--new-titles", default="", type=click.Path(dir_okay=False))
def diff(old: str, new: str, old_titles: str, new_titles: str) -> None:
    """What a front would do on the way from OLD to NEW. Exit code 0: nothing; 3: something; 4: it would wait
    to be confirmed.
    """
    before, after = read(old, old_titles).inventory, read(new, new_titles).inventory
    found = compare(before, after)
    for line in found.lines():
        click.echo(line)
    why = implausible(before, found)
    if why:
        click.echo(f"a front would wait for a person's word: {why}", err=True)
    sys.exit(4 if why else 3 if found else 0)


@inventory.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("out", type=click.Path(dir_okay=False))
@TITLES
@click.option(
    "--titles-out", default="", type=click.Path(dir_okay=False), help="Where titles go, where OUT is CSV."
)
def convert(file: str, out: str, titles: str, titles_out: str) -> None:
    """Write FILE in the other form, told by OUT's ending (.csv, .yaml, .yml)."""
    found = read(file, titles).inventory
    if Path(out).suffix.lower() in YAML_SUFFIXES:
        Path(out).write_text(yamlform.write(found))
        return
    if found.titles and not titles_out:
        raise click.UsageError("there are titles: say --titles-out where they go")
    hosts, rest = csvform.write(found)
    Path(out).write_text(hosts)
    if titles_out:
        Path(titles_out).write_text(rest)


@inventory.command()
@click.argument("digest")
@click.option(
    "--front",
    "fronts",
    multiple=True,
    required=True,
    metavar="URL",
    help="A front that waits, such as http://127.0.0.1:8080; may be given several times.",
)
def confirm(digest: str, fronts: tuple[str, ...]) -> None:
    """Tell fronts that the change with DIGEST, for which they wait, is meant."""
    wrong = 0
    for front in fronts:
        url = f"{front.rstrip('/')}/v1/inventory?confirm={digest}"
        try:
            request = urllib.request.Request(url, method="POST")
            with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(request, timeout=10):
                click.echo(f"{front}: taken")
        except urllib.error.HTTPError as err:
            wrong += 1
            click.echo(f"{front}: {json.loads(err.read() or b'{}').get('detail', err.reason)}", err=True)
        except OSError as err:
            wrong += 1
            click.echo(f"{front}: {err}", err=True)
    sys.exit(1 if wrong else 0)
