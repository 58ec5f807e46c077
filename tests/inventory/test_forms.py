"""Parsing of CSV and YAML inventories: what is accepted, and which problems are reported on which line."""

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from curlewhall.inventory import Inventory, InventoryError, csvform, yamlform
from curlewhall.inventory.decide import MIN_SERVING_NODES, compare, implausible, rows_in_effect
from curlewhall.inventory.form import MAX_VALUES, decode_text
from curlewhall.wire.forms import Row, Title

HEAD = "host,address,port,place,zone,kind,weight,state\n"
LINE = "media-07.example.org,10.0.0.7,8400,6,north,box,1.0,serving\n"
NEXT = "media-08.example.org,10.0.0.8,8400,7,south,box,,\n"
TITLES = "title,first_place,places,length_s\nclip-01,6,2,600\n"
YAML = """media:
  vars: {port: 8400, kind: box}
  hosts:
    media-07.example.org: {address: 10.0.0.7, place: 6, zone: north}
    media-08.example.org:
      address: 10.0.0.8
      place: 7
      zone: south
      state: draining
titles:
  clip-01: {first_place: 6, places: 2, length_s: 600}
"""


def problems_of(read, *arguments):
    with pytest.raises(InventoryError) as found:
        read(*arguments)
    return [(problem.line, problem.message) for problem in found.value.problems]


@pytest.mark.parametrize(
    "read",
    [
        lambda: csvform.read(HEAD + LINE + NEXT.replace(",,", ",1,draining"), TITLES, 9),
        lambda: csvform.read(
            "# a comment\r\n\r\n" + (HEAD + LINE + NEXT.replace(",,", ",1,draining")).replace("\n", "\r\n"),
            TITLES,
            9,
        ),
        lambda: csvform.read(
            decode_text("\ufeff".encode() + (HEAD + LINE + NEXT.replace(",,", ",1,draining")).encode()),
            TITLES,
            9,
        ),
        lambda: yamlform.read(YAML, 9),
    ],
)
def test_csv_and_yaml_give_the_same_inventory(read):
    found = read()
    assert list(found.rows) == ["media-07.example.org", "media-08.example.org"]
    assert found.rows["media-08.example.org"] == Row(
        "media-08.example.org", "10.0.0.8", 8400, 7, "south", "box", "draining", 1.0
    )
    assert found.titles == {"clip-01": Title("clip-01", 6, 2, 600.0)}


@pytest.mark.parametrize(
    ("hosts", "line", "message"),
    [
        (HEAD + LINE + LINE.replace("10.0.0.7", "10.0.0.9"), 3, "is already defined on line 2"),
        (
            HEAD + LINE + LINE.replace("10.0.0.7", "10.0.0.9").replace(".org", ".org."),
            3,
            "on line 2 (as 'media-07.example.org'",
        ),
        (
            HEAD + LINE + LINE.replace("10.0.0.7", "10.0.0.9").replace("media", "MEDIA"),
            3,
            "already defined on line 2 (as",
        ),
        (
            HEAD + LINE + LINE.replace("07", "09"),
            3,
            "address 10.0.0.7 port 8400 is already used by 'media-07.example.",
        ),
        (HEAD.replace(",port", "") + LINE, 1, "column 'port' is missing"),
        (HEAD.replace("zone", "zome") + LINE, 1, "unknown column 'zome'; did you mean 'zone'?"),
        (HEAD.replace("zone", "kind") + LINE, 1, "duplicate column 'kind'"),
        (HEAD + LINE.replace("8400", "84000"), 2, "port: found 84000, expected 1 to 65535"),
        (HEAD + LINE.replace("8400", "8400.0"), 2, "port: found '8400.0', expected a whole number"),
        (HEAD + LINE.replace("8400", "²"), 2, "expected a whole number"),
        (HEAD + LINE.replace("1.0", "nan"), 2, "weight: found 'nan', expected a number"),
        (HEAD + LINE.replace("1.0", "0"), 2, "weight: found 0"),
        (HEAD + LINE.replace("10.0.0.7", "media7"), 2, "expected an IPv4 or IPv6 address"),
        (HEAD + LINE.replace("serving", "asleep"), 2, "expected serving or draining"),
        (HEAD + LINE.replace("10.0.0.7", ""), 2, "address is missing"),
        (HEAD + LINE.replace(",box", ""), 2, "7 fields, the header has 8"),
        (HEAD + LINE + NEXT[:-1], 3, "may be truncated"),
        (HEAD + LINE + '"media', 3, "may be truncated"),
        (HEAD + LINE + '"media\n', 3, "not comma-separated values"),
        (HEAD, 1, "no host found"),
        ("", 1, "the file is empty, expected a header line"),
    ],
)
def test_invalid_csv_is_rejected_with_line_number(hosts, line, message):
    found = problems_of(csvform.read, hosts)
    assert any(at == line and message in text for at, text in found), found


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),
    [
        ("media-08", "media-07", 5, "'media-07.example.org' is already defined on line 4"),
        ("media-08", "Media-07", 5, "is already defined on line 4 (as"),
        ("      place: 7\n", "", 5, "place is missing"),
        ("place: 6", "place: six", 4, "place: found 'six', expected a whole number"),
        ("place: 6", "place: [6]", 4, "found a sequence, expected one value"),
        ("place: 6", "plaice: 6", 4, "unknown field 'plaice'; did you mean 'place'?"),
        ("10.0.0.8", "10.0.0.7", 5, "is already used by"),
        ("{port: 8400, kind: box}", "[1]", 2, "found sequence, expected a mapping"),
        ("{port: 8400, kind: box}", "{port: 8400, kind: box, rack: 3}", 2, "vars: unknown field 'rack'"),
        ("  hosts:", "  host:", 3, "found 'host', expected vars, hosts or children"),
        ("places: 2", "places: 0", 11, "places: found 0"),
        ("first_place: 6", "first_place: 1", 11, "no holder: no host is at place 1, 2"),
        ("    media-08", "\tmedia-08", 5, "not YAML"),
        ("media:", "media: &a\n  children: {b: *a}", 1, "mappings nested more than"),
        ("titles:", "---\ntitles:", 1, "found 2 documents, expected one"),
        ("state: draining", "state: !!python/object:os.system x", 5, "state: found 'x'"),
    ],
)
def test_invalid_yaml_is_rejected_with_line_number(old, new, line, message):
    assert old in YAML
    found = problems_of(yamlform.read, YAML.replace(old, new, 1), 9)
    assert any(at == line and message in text for at, text in found), found


def test_nested_groups_inherit_variables_and_merge_keys_are_resolved():
    text = """
base: &base
  vars: {kind: box, port: 1}
all:
  vars: {port: 8400, zone: north}
  children:
    first:
      <<: *base
      hosts: {a: {address: 10.0.0.1, place: 0}}
    second:
      vars: {kind: tin, zone: south}
      hosts:
        b: {address: 10.0.0.2, place: 1, port: 7}
"""
    rows = yamlform.read(text).rows
    assert (rows["a"].kind, rows["a"].port, rows["a"].zone) == ("box", 1, "north")
    assert (rows["b"].kind, rows["b"].port, rows["b"].zone) == ("tin", 7, "south")


def test_alias_bomb_is_rejected_in_bounded_time():
    rows = ["a0: &a0 {hosts: {}}"] + [
        f"a{i}: &a{i} {{<<: [{', '.join([f'*a{i - 1}'] * 9)}]}}" for i in range(1, 30)
    ]
    began = time.process_time()
    found = problems_of(yamlform.read, "\n".join(rows) + "\n")
    assert any(f"more than {MAX_VALUES} values" in text or "nested" in text for _, text in found)
    assert time.process_time() - began < 20


@pytest.mark.parametrize(
    ("raw", "line", "message"),
    [
        (b"host\nm\xfcller\n", 2, "byte 0xfc is not UTF-8"),
        ("host\n".encode("utf-16-le"), 1, "is it UTF-16?"),
        (b"\xff\xfeh\0", 1, "byte 0xff"),
    ],
)
def test_other_encodings_are_rejected_with_line_number(raw, line, message):
    ((at, text),) = problems_of(decode_text, raw)
    assert at == line and message in text


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.text(alphabet=st.sampled_from("host,address:{}[]&*<\"'\n-#!| %0123456789.\tabz\\"), max_size=200))
def test_any_text_gives_an_inventory_or_an_inventory_error(text):
    for read in (csvform.read, yamlform.read):
        for candidate in (text, HEAD + text, YAML + text):
            try:
                assert isinstance(read(candidate), Inventory)
            except InventoryError as err:
                assert all(problem.line >= 1 for problem in err.problems)


NAMES = st.text(alphabet=st.characters(codec="utf-8", categories=("L", "N", "P")), min_size=1, max_size=12)


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.tuples(NAMES, st.integers(0, 99), st.sampled_from(["serving", "draining"])),
        min_size=1,
        max_size=8,
        unique_by=lambda row: row[0].rstrip(".").lower(),
    ),
    st.dictionaries(NAMES, st.integers(0, 50), max_size=5),
)
def test_written_inventory_reads_back_equal(hosts, titles):
    hosts = [row for row in hosts if not row[0].startswith("#")]
    rows = {
        name: Row(name, f"10.0.0.{i + 1}", 80, place, "z", "k", state, 0.5)
        for i, (name, place, state) in enumerate(hosts)
    }
    if not rows:
        return
    inventory = Inventory(
        rows, {name: Title(name, first, 2, 1.5) for name, first in titles.items() if not name.startswith("#")}
    )
    assert csvform.read(*csvform.write(inventory)) == inventory
    assert yamlform.read(yamlform.write(inventory)) == inventory


def fleet(count, **changes):
    rows = {f"n{i}": Row(f"n{i}", f"10.0.0.{i}", 80, i, "z", "k") for i in range(count)}
    for node, change in changes.items():
        if change is None:
            del rows[node]
        else:
            rows[node] = Row(*[change.get(f, getattr(rows[node], f)) for f in Row.__struct_fields__])
    return Inventory(rows, {"t": Title("t", 0, 1, 1.0)})


@pytest.mark.parametrize(
    ("count", "changes", "expected"),
    [
        (10, {f"n{i}": None for i in range(5)}, ""),
        (10, {f"n{i}": None for i in range(6)}, "6 of 10 serving nodes"),
        (10, {f"n{i}": {"state": "draining"} for i in range(6)}, "would be removed or drained"),
        (10, {f"n{i}": {"address": f"10.1.0.{i}"} for i in range(6)}, "would change address or place"),
        (MIN_SERVING_NODES - 1, {"n0": None, "n1": None}, ""),
    ],
)
def test_change_of_more_than_half_of_the_serving_nodes_is_implausible(count, changes, expected):
    old, new = fleet(count), fleet(count, **changes)
    why = implausible(old, compare(old, new))
    assert expected in why and bool(why) == bool(expected)


def test_difference_lists_each_change_once():
    old = fleet(4, n3={"state": "draining"})
    new = fleet(5, n0=None, n1={"state": "draining"}, n2={"weight": 2.0, "zone": "y"})
    found = compare(old, new)
    assert found.lines() == ["+ n4", "- n0", "> n1 drains", "< n3 serves again", "~ n2: zone, weight"]
    assert not compare(old, old) and compare(old, Inventory(old.rows, {})).titles_removed == ["t"]


@pytest.mark.parametrize(("now", "plays", "stays"), [(5, 3, True), (5, 0, False), (10, 3, False)])
def test_removed_node_drains_until_empty_or_past_its_deadline(now, plays, stays):
    row = Row("out", "10.9.9.9", 80, 1, "z", "k", "draining")
    rows, draining = rows_in_effect(now, fleet(2), {"out": (row, 10)}, {"out": plays})
    assert (row in rows) is stays and ("out" in draining) is stays
