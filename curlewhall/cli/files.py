"""The operator's file on the command line."""

import sys

import click


def settings_of(path: str):
    """The checked file; a wrong one ends the command with every complaint and code 2."""
    from curlewhall.settings import WrongFile, load

    try:
        return load(path)
    except WrongFile as err:
        click.echo(err.told, err=True)
    except OSError as err:
        click.echo(f"{path}: {err.strerror}", err=True)
    sys.exit(2)
