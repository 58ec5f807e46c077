"""The inventory as YAML 1.1, in the shape that configuration tools use: groups with hosts and shared values.

    media:
      vars: {port: 8400, kind: box}
      hosts:
        media-07.example.org: {address: 10.0.0.7, place: 6, zone: north}
      children: ...          # groups within the group; their values lie over its own
    titles:
      clip-01: {first_place: 3, places: 2, length_s: 600}

The safe loader's nodes are read, never built into objects, so that each value keeps its line.
"""

import yaml

from .form import HOST, MOST, Checker, Complaint, Entry, Inventory, InventoryError

DEEP = 40  # mappings within each other; ours need six
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class Reader:
    """Walks the nodes of one document."""

    def __init__(self, file: str) -> None:
        self.file, self.left, self.checker = file, MOST, Checker()
        self.plain = yaml.SafeLoader("")

    def line(self, node) -> int:
        return node.start_mark.line + 1

    def wrong(self, node, text: str) -> None:
        self.checker.complaints.append(Complaint(self.line(node), text, self.file))

    def spend(self, node) -> None:
        # Danger: a few lines of aliases to aliases stand for millions of values.
        self.left -= 1
        if self.left < 0:
            raise InventoryError(
                [Complaint(self.line(node), f"more than {MOST} values, aliases followed", self.file)]
            )

    def pairs(self, node, what: str, deep: int = 0) -> list[tuple[str, object, object]]:
        """The keys (as text), their nodes and the values' nodes of a mapping; merge keys are followed."""
        self.spend(node)
        if isinstance(node, yaml.ScalarNode) and node.tag == "tag:yaml.org,2002:null":
            return []
        if not isinstance(node, yaml.MappingNode):
            self.wrong(node, f"{what}: found {node.id}, expected a mapping")
            return []
        if deep > DEEP:
            raise InventoryError(
                [Complaint(self.line(node), f"more than {DEEP} mappings within each other", self.file)]
            )
        found: dict[str, tuple[object, object]] = {}
        merged: dict[str, tuple[object, object]] = {}
        for key, value in node.value:
            self.spend(key)
            if key.tag == "tag:yaml.org,2002:merge":
                for other in value.value if isinstance(value, yaml.SequenceNode) else [value]:
                    for name, at, there in self.pairs(other, what, deep + 1):
                        merged.setdefault(name, (at, there))
            elif not isinstance(key, yaml.ScalarNode):
                self.wrong(key, f"{what}: a {key.id} as a key")
            elif key.value in found:
                first = self.line(found[key.value][0])
                self.wrong(key, f"{what}: {key.value!r} stands on line {first} already")
            else:
                found[key.value] = key, value
        return [(name, *rest) for name, rest in (merged | found).items()]

    def value(self, node, what: str):
        self.spend(node)
        if not isinstance(node, yaml.ScalarNode):
            self.wrong(node, f"{what}: found a {node.id}, expected one value")
            return None
        if node.tag in ("tag:yaml.org,2002:int", "tag:yaml.org,2002:float", "tag:yaml.org,2002:timestamp"):
            return node.value  # as it is written: 010 is no eight, 1:30 no ninety
        try:
            return self.plain.construct_object(node)
        except (yaml.YAMLError, ValueError):
            return node.value

    def group(self, name: str, node, given: dict, deep: int) -> None:
        """A group: values for all its hosts, its hosts, groups within it."""
        parts = {key: (at, value) for key, at, value in self.pairs(node, name, deep)}
        for key, (at, _) in parts.items():
            if key not in ("vars", "hosts", "children"):
                self.wrong(at, f"{name}: found {key!r}, expected vars, hosts or children")
        own = dict(given)
        if "vars" in parts:
            for key, at, value in self.pairs(parts["vars"][1], f"{name}: vars", deep):
                if key in HOST:
                    own[key] = self.value(value, key)
                else:
                    self.wrong(at, f"{name}: vars: unknown field {key!r}")
        if "hosts" in parts:
            for host, at, value in self.pairs(parts["hosts"][1], f"{name}: hosts", deep):
                values = own | {
                    key: self.value(there, key) for key, _, there in self.pairs(value, host, deep)
                }
                self.checker.host(Entry(self.line(at), {"host": host} | values, self.file))
        if "children" in parts:
            for child, _, value in self.pairs(parts["children"][1], f"{name}: children", deep):
                self.group(child, value, own, deep + 1)

    def titles(self, node) -> None:
        for title, at, value in self.pairs(node, "titles"):
            values = {key: self.value(there, key) for key, _, there in self.pairs(value, title)}
            self.checker.title(Entry(self.line(at), {"title": title} | values, self.file))


def read(text: str, places: int = 0, file: str = "") -> Inventory:
    """A sound inventory, or `InventoryError` with all that is wrong with it."""
    if text and not text.endswith("\n"):
        raise InventoryError(
            [Complaint(text.count("\n") + 1, "the last line has no end; the file may be half written", file)]
        )
    reader = Reader(file)
    try:
        documents = list(yaml.compose_all(text, Loader=LOADER))
    except yaml.MarkedYAMLError as err:
        mark = err.problem_mark or err.context_mark
        why = " ".join(filter(None, (err.context, err.problem)))
        raise InventoryError([Complaint(mark.line + 1 if mark else 1, f"not YAML: {why}", file)]) from None
    except (yaml.YAMLError, ValueError) as err:
        raise InventoryError([Complaint(1, f"not YAML: {' '.join(str(err).split())[:200]}", file)]) from None
    except RecursionError:
        raise InventoryError([Complaint(1, "values within each other without end", file)]) from None
    if len(documents) != 1 or documents[0] is None:
        raise InventoryError(
            [Complaint(1, f"{sum(d is not None for d in documents)} documents, expected one", file)]
        )
    try:
        for name, _, node in reader.pairs(documents[0], "the document"):
            if name == "titles":
                reader.titles(node)
            else:
                reader.group(name, node, {}, 0)
    except RecursionError:
        raise InventoryError([Complaint(1, "values within each other without end", file)]) from None
    return reader.checker.done(places)


def write(inventory: Inventory) -> str:
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
