"""Loading of the operator's settings file for sub-commands."""

import sys

import click


def load_settings_or_exit(path: str):
    """The checked settings of a file. Prints every complaint and exits with code 2 if it is invalid."""
    from curlewhall.settings import SettingsError, load

    try:
        return load(path)
    except SettingsError as err:
        click.echo(err.full_message, err=True)
    except OSError as err:
        click.echo(f"{path}: {err.strerror}", err=True)
    sys.exit(2)
