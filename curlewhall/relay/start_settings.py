"""Reads what the platform tells a front at its start: environment variables, the JSON configuration, and in
it the start settings.
"""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from curlewhall.errors import CurlewhallError
from curlewhall.platform_names import start_settings_of

RESERVED_SOCKETS = 24  # for the loop, the listener, the channel, the standard streams and what is closing
NODE_SOCKET_SHARE = 0.4  # of the rest; usual viewers hold a third of the limit at most


class ConfigurationError(CurlewhallError, ValueError):
    """The configuration can't be used; one line says why."""

    remedy = "Correct the file that RELAY_CONFIG names, and start or SIGHUP the front again."


class RelayConfig(NamedTuple):
    """A checked configuration."""

    name: str
    address: tuple[str, int]
    channel: tuple[str, int]
    seed: int
    start_settings: dict[str, Any]
    known: dict[str, Any]  # the node list as far as the configuration has it, see `Channel.apply_known`
    max_viewer_connections: int
    max_node_connections: int


def parse_address(text: Any, what: str) -> tuple[str, int]:
    """Host and port of "10.2.0.1:2379"; raises `ConfigurationError`, which names `what` was read."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{what} must be an address as host:port, not {text!r}")
    return host, int(port)


def read_config(variables: Mapping[str, str]) -> RelayConfig:
    """Read the configuration that the variables name; raises `ConfigurationError` if it is missing or
    invalid.
    """
    path = variables.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            config = json.load(file)
    except OSError as err:
        raise ConfigurationError(f"configuration file can't be read: {err.strerror}: {path}") from None
    except ValueError as err:
        raise ConfigurationError(f"configuration file is not JSON: {err}") from None
    if not isinstance(config, dict):
        raise ConfigurationError(f"configuration must be a JSON object, not {type(config).__name__}")
    settings, known = config.get("settings"), config.get("known", {})
    if not isinstance(settings, dict):
        raise ConfigurationError("configuration must have an object under settings")
    if not isinstance(known, dict) or not isinstance(known.get("cmds", []), list):
        raise ConfigurationError("known must be an object with a list under cmds")
    limits = config.get("limits") if isinstance(config.get("limits"), dict) else {}
    sockets = limits.get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < 64:
        raise ConfigurationError(f"limits.sockets must be a number of 64 or more, not {sockets!r}")
    try:
        seed = int(str(config.get("seed", "0")), 16)
    except ValueError:
        raise ConfigurationError(f"seed must be a hexadecimal number, not {config['seed']!r}") from None
    nodes = int((sockets - RESERVED_SOCKETS) * NODE_SOCKET_SHARE)
    return RelayConfig(
        variables.get("RELAY_NAME") or str(config.get("name", "")),
        parse_address(variables.get("RELAY_LISTEN") or config.get("listen"), "RELAY_LISTEN"),
        parse_address(config.get("channel"), "channel"),
        seed,
        start_settings_of(settings),
        known,
        sockets - RESERVED_SOCKETS - nodes,
        nodes,
    )
