"""Reads and writes the inventory as YAML 1.1 in the layout of configuration tools: groups of hosts.

    media:
      vars: {port: 8400, kind: box}
      hosts:
        media-07.example.org: {address: 10.0.0.7, place: 6, zone: north}
      children: ...          # nested groups; their values override the outer ones
    titles:
      clip-01: {first_place: 3, places: 2, length_s: 600}

The node tree of the safe loader is read and no Python objects are built from it, so that each value keeps
its line number.
"""

from typing import Any

import yaml

from .form import HOST_FIELDS, MAX_VALUES, Entry, Inventory, InventoryError, Problem, Validator

MAX_DEPTH = 40  # of nested mappings; a usual inventory has six
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class Reader:
    """Walks the node tree of one document and passes hosts and titles to a `Validator`."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.remaining_values = MAX_VALUES
        self.validator = Validator()
        self.scalar_loader = yaml.SafeLoader("")

    def line(self, node: yaml.Node) -> int:
        """The line of a node, counted from 1."""
        return node.start_mark.line + 1

    def report(self, node: yaml.Node, message: str) -> None:
        """Records a problem at the node's line."""
        self.validator.problems.append(Problem(self.line(node), message, self.file))

    def count_value(self, node: yaml.Node) -> None:
        """Counts one visited value; `InventoryError` beyond the maximum.

        Without this limit a few lines of nested aliases would expand to millions of values.
        """
        self.remaining_values -= 1
        if self.remaining_values < 0:
            raise InventoryError(
                [Problem(self.line(node), f"more than {MAX_VALUES} values with aliases expanded", self.file)]
            )

    def pairs(self, node: yaml.Node, what: str, depth: int = 0) -> list[tuple[str, yaml.Node, yaml.Node]]:
        """The entries of a mapping as key text, key node and value node, with merge keys (`<<`) resolved.

        `what` names the mapping in error messages.
        """
        self.count_value(node)
        if isinstance(node, yaml.ScalarNode) and node.tag == "tag:yaml.org,2002:null":
            return []
        if not isinstance(node, yaml.MappingNode):
            self.report(node, f"{what}: found {node.id}, expected a mapping")
            return []
        if depth > MAX_DEPTH:
            raise InventoryError(
                [Problem(self.line(node), f"mappings nested more than {MAX_DEPTH} deep", self.file)]
            )
        found: dict[str, tuple[yaml.Node, yaml.Node]] = {}
        merged: dict[str, tuple[yaml.Node, yaml.Node]] = {}
        for key, value in node.value:
            self.count_value(key)
            if key.tag == "tag:yaml.org,2002:merge":
                for other in value.value if isinstance(value, yaml.SequenceNode) else [value]:
                    for name, key_node, value_node in self.pairs(other, what, depth + 1):
                        merged.setdefault(name, (key_node, value_node))
            elif not isinstance(key, yaml.ScalarNode):
                self.report(key, f"{what}: found a {key.id} as a key, expected text")
            elif key.value in found:
                first_line = self.line(found[key.value][0])
                self.report(key, f"{what}: {key.value!r} is already defined on line {first_line}")
            else:
                found[key.value] = key, value
        return [(name, *rest) for name, rest in (merged | found).items()]

    def value(self, node: yaml.Node, what: str) -> Any:
        """The value of a scalar node; None with a problem recorded for any other node."""
        self.count_value(node)
        if not isinstance(node, yaml.ScalarNode):
            self.report(node, f"{what}: found a {node.id}, expected one value")
            return None
        if node.tag in ("tag:yaml.org,2002:int", "tag:yaml.org,2002:float", "tag:yaml.org,2002:timestamp"):
            return node.value  # as written: YAML 1.1 would read 010 as 8 and 1:30 as 90
        try:
            return self.scalar_loader.construct_object(node)
        except (yaml.YAMLError, ValueError):
            return node.value

    def read_group(self, name: str, node: yaml.Node, inherited: dict[str, Any], depth: int) -> None:
        """Reads a group: its variables (defaults of its hosts), its hosts and its nested groups."""
        sections = {key: (key_node, value) for key, key_node, value in self.pairs(node, name, depth)}
        for key, (key_node, _) in sections.items():
            if key not in ("vars", "hosts", "children"):
                self.report(key_node, f"{name}: found {key!r}, expected vars, hosts or children")
        defaults = dict(inherited)
        if "vars" in sections:
            for key, key_node, value in self.pairs(sections["vars"][1], f"{name}: vars", depth):
                if key in HOST_FIELDS:
                    defaults[key] = self.value(value, key)
                else:
                    self.report(key_node, f"{name}: vars: unknown field {key!r}")
        if "hosts" in sections:
            for host, key_node, value in self.pairs(sections["hosts"][1], f"{name}: hosts", depth):
                values = defaults | {
                    key: self.value(value_node, key) for key, _, value_node in self.pairs(value, host, depth)
                }
                self.validator.add_host(Entry(self.line(key_node), {"host": host} | values, self.file))
        if "children" in sections:
            for child, _, value in self.pairs(sections["children"][1], f"{name}: children", depth):
                self.read_group(child, value, defaults, depth + 1)

    def read_titles(self, node: yaml.Node) -> None:
        """Reads the mapping of titles."""
        for title, key_node, value in self.pairs(node, "titles"):
            values = {key: self.value(value_node, key) for key, _, value_node in self.pairs(value, title)}
            self.validator.add_title(Entry(self.line(key_node), {"title": title} | values, self.file))


def read(text: str, places: int = 0, file: str = "") -> Inventory:
    """Parses and validates an inventory; `InventoryError` with every problem.

    `places` is the number of places in the fleet (0: unknown), `file` the file name for error messages.
    """
    if text and not text.endswith("\n"):
        raise InventoryError(
            [
                Problem(
                    text.count("\n") + 1, "the last line has no line break; the file may be truncated", file
                )
            ]
        )
    reader = Reader(file)
    try:
        documents = list(yaml.compose_all(text, Loader=LOADER))
    except yaml.MarkedYAMLError as err:
        mark = err.problem_mark or err.context_mark
        why = " ".join(filter(None, (err.context, err.problem)))
        raise InventoryError([Problem(mark.line + 1 if mark else 1, f"not YAML: {why}", file)]) from None
    except (yaml.YAMLError, ValueError) as err:
        raise InventoryError([Problem(1, f"not YAML: {' '.join(str(err).split())[:200]}", file)]) from None
    except RecursionError:
        raise InventoryError([Problem(1, "values nested too deeply", file)]) from None
    if len(documents) != 1 or documents[0] is None:
        raise InventoryError(
            [Problem(1, f"found {sum(d is not None for d in documents)} documents, expected one", file)]
        )
    try:
        for name, _, node in reader.pairs(documents[0], "the document"):
            if name == "titles":
                reader.read_titles(node)
            else:
                reader.read_group(name, node, {}, 0)
    except RecursionError:
        raise InventoryError([Problem(1, "values nested too deeply", file)]) from None
    return reader.validator.finish(places)


def write(inventory: Inventory) -> str:
    """The inventory as YAML text, all hosts in one group."""
    hosts = {
        row.node: {
            "address": row.address,
            "port": row.port,
            "place": row.place,
            "zone": row.zone,
            "kind": row.kind,
            "weight": row.weight,
            "state": row.state,
        }
        for row in inventory.rows.values()
    }
    titles = {
        title.title: {"first_place": title.first_place, "places": title.places, "length_s": title.length_s}
        for title in inventory.titles.values()
    }
    return yaml.safe_dump({"media": {"hosts": hosts}, "titles": titles}, sort_keys=False, width=110)
