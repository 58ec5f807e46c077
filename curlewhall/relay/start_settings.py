"""What the platform tells a front at its start: variables, the configuration's JSON, the start settings."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from curlewhall.errors import CurlewhallError
from curlewhall.platform_names import start_settings_of

RESERVE = 24  # descriptors for the loop, the listener, the channel, the standard streams and what is closing
NODES = 0.4  # of the rest; usual viewers hold a third of the limit at most, bad ones what they get


class ConfigurationError(CurlewhallError, ValueError):
    """The configuration can't be used; one plain line says why."""

    remedy = "Correct the file that RELAY_CONFIG names, and start or SIGHUP the front again."


class Given(NamedTuple):
    """A checked configuration. `viewers` and `nodes`: the most connections of each side."""

    name: str
    address: tuple[str, int]
    channel: tuple[str, int]
    seed: int
    start_settings: dict[str, Any]
    known: dict[str, Any]
    viewers: int
    nodes: int


def address_of(text: Any, what: str) -> tuple[str, int]:
    """Host and port of "10.2.0.1:2379"; `ConfigurationError`, with `what` it was to be, for all else."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{what} is no address with a port: {text!r}")
    return host, int(port)


def read(variables: Mapping[str, str]) -> Given:
    """The configuration that the variables name; `ConfigurationError` for whatever is missing or wrong."""
    path = variables.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            config = json.load(file)
    except OSError as err:
        raise ConfigurationError(f"the configuration can't be read: {err.strerror}: {path}") from None
    except ValueError as err:
        raise ConfigurationError(f"the configuration is not JSON: {err}") from None
    if not isinstance(config, dict):
        raise ConfigurationError("the configuration is no JSON object")
    settings, known = config.get("settings"), config.get("known", {})
    if not isinstance(settings, dict):
        raise ConfigurationError("the configuration has no settings")
    if not isinstance(known, dict) or not isinstance(known.get("cmds", []), list):
        raise ConfigurationError("known is not of its form")
    limits = config.get("limits") if isinstance(config.get("limits"), dict) else {}
    sockets = limits.get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < 64:
        raise ConfigurationError(f"limits.sockets must be a number of 64 or more, not {sockets!r}")
    try:
        seed = int(str(config.get("seed", "0")), 16)
    except ValueError:
        raise ConfigurationError(f"seed is not hexadecimal: {config['seed']!r}") from None
    nodes = int((sockets - RESERVE) * NODES)
    return Given(
        variables.get("RELAY_NAME") or str(config.get("name", "")),
        address_of(variables.get("RELAY_LISTEN") or config.get("listen"), "RELAY_LISTEN"),
        address_of(config.get("channel"), "channel"),
        seed,
        start_settings_of(settings),
        known,
        sockets - RESERVE - nodes,
        nodes,
    )
