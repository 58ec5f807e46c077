"""The operator's file on the command line."""

import sys

import click


def settings_of(path: str):
    """The checked file; a wrong one ends the command with every complaint and code 2."""
    from curlewhall.settings import SettingsError, load

    try:
        return load(path)
    except SettingsError as err:
        click.echo(err.full_message, err=True)
    except OSError as err:
        click.echo(f"{path}: {err.strerror}", err=True)
    sys.exit(2)
