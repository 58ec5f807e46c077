"""Inventory files swapped while they are watched, and under a running front."""

import os
import subprocess
import sys

import pytest
from front.deployment import Deployment, until
from loopback import looped

from curlewhall.drills.baselines import TwoDrawn
from curlewhall.front.driver import Clock
from curlewhall.inventory import Inventory, yamlform
from curlewhall.inventory.run import EVERY, Files, Watcher
from curlewhall.wire.forms import Row, Title


def text(count, **changes):
    rows = {f"n{i}": Row(f"n{i}", f"10.0.0.{i + 1}", 80, i, "z", "k") for i in range(count)}
    for node, state in changes.items():
        rows[node] = Row(*[state if f == "state" else getattr(rows[node], f) for f in Row.__struct_fields__])
    return yamlform.write(Inventory(rows, {}))


class Hand:
    """Timers that go off when a test says so."""

    def __init__(self):
        self.calls, self.time = [], 100.0

    def after(self, span, call):
        self.calls.append(call)
        return self

    def cancel(self):
        self.calls.clear()

    def look(self, times=2):
        for _ in range(times):
            self.time += EVERY
            calls, self.calls = self.calls, []
            for call in calls:
                call()


class Log:
    def __init__(self):
        self.said = []

    def __getattr__(self, level):
        return lambda event, **facts: self.said.append((level, event, facts))


@pytest.fixture
def rig(tmp_path):
    hand, log, taken, held = Hand(), Log(), [], {}
    path = tmp_path / "fleet.yaml"
    path.write_text(text(8))
    watcher = Watcher(
        Files(str(path)),
        0,
        100_000,
        hand,
        Clock(lambda: hand.time),
        log,
        lambda rows, titles: taken.append({r.node: r.state for r in rows}),
        lambda node: held.get(node, 0),
    )
    watcher.start()
    return watcher, path, hand, log, taken, held


def by_rename(path, new):
    path.with_suffix(".new").write_text(new)
    os.replace(path.with_suffix(".new"), path)


def in_place(path, new):
    path.write_text(new)


def by_link(path, new):
    other = path.with_name(f"fleet-{len(new)}.yaml")
    other.write_text(new)
    path.unlink()
    path.symlink_to(other)


@pytest.mark.parametrize("replace", [by_rename, in_place, by_link])
def test_a_changed_file_is_taken_however_it_is_put_there(rig, replace):
    watcher, path, hand, log, taken, _ = rig
    assert len(taken[-1]) == 8
    replace(path, text(9, n1="draining"))
    hand.look()
    assert len(taken) == 2 and len(taken[-1]) == 9 and taken[-1]["n1"] == "draining"
    hand.look(5)
    assert len(taken) == 2


@pytest.mark.parametrize(
    "bad",
    ["media: [", "", text(9)[:-30], text(9).replace("port: 80", "port: 0", 1), None],
    ids=["yaml", "empty", "cut", "figure", "gone"],
)
def test_a_bad_file_is_told_once_and_the_last_good_list_kept(rig, bad):
    watcher, path, hand, log, taken, _ = rig
    path.unlink() if bad is None else path.write_text(bad)
    hand.look(6)
    assert len(taken) == 1 and [level for level, *_ in log.said].count("error") == 1
    assert watcher.state()["complaints"] and watcher.state()["nodes"] == 8
    path.write_text(text(10))
    hand.look()
    assert len(taken[-1]) == 10 and not watcher.state()["complaints"]


def test_a_file_that_is_being_written_is_not_read(rig):
    watcher, path, hand, log, taken, _ = rig
    whole = text(12)
    for end in range(100, len(whole), 100):  # it grows between every two looks
        path.write_text(whole[:end])
        hand.look(1)
    assert len(taken) == 1 and not [row for row in log.said if row[0] == "error"]
    path.write_text(whole)
    hand.look()
    assert len(taken[-1]) == 12


def test_an_implausible_change_waits_for_a_word(rig):
    watcher, path, hand, log, taken, _ = rig
    path.write_text(text(3))
    hand.look()
    assert len(taken) == 1 and (digest := watcher.state()["waiting"])
    assert "is" in watcher.confirm("another") and watcher.confirm(digest) == ""
    assert len(taken[-1]) == 3 and not watcher.waiting
    assert watcher.confirm(digest) == "no change waits to be confirmed"


def test_the_word_is_for_one_change_only(rig):
    watcher, path, hand, log, taken, _ = rig
    path.write_text(text(3))
    hand.look()
    digest = watcher.waiting
    path.write_text(text(2))
    assert "the file is" in watcher.confirm(digest) and len(taken) == 1


def test_a_node_taken_out_drains_first(rig):
    watcher, path, hand, log, taken, held = rig
    held["n7"] = 2
    path.write_text(text(7))
    hand.look()
    assert taken[-1]["n7"] == "draining" and watcher.state()["leaving"] == ["n7"]
    held["n7"] = 0
    hand.look()
    assert "n7" not in taken[-1] and not watcher.leaving


def test_a_restart_checks_against_what_was_served_before(tmp_path):
    hand, log, taken = Hand(), Log(), []
    path = tmp_path / "fleet.yaml"
    path.write_text(text(2))
    old = yamlform.read(text(8))
    watcher = Watcher(
        Files(str(path)),
        0,
        1000,
        hand,
        Clock(lambda: hand.time),
        log,
        lambda rows, titles: taken.append(rows),
        lambda node: 0,
        lambda: old,
    )
    watcher.start()
    assert not taken and watcher.waiting


class Filed(Deployment):
    """A deployment whose front knows its nodes from a file alone."""

    def write(self, nodes):
        rows = {
            s["node"]: Row(s["node"], s["address"], s["port"], s["place"], s["zone"], s["kind"])
            for s in self.plan["nodes"]
            if s["node"] in nodes
        }
        whole = Inventory(rows, {t["title"]: Title(**t) for t in self.plan["titles"]})
        by_rename(self.folder / "fleet.yaml", yamlform.write(whole))


@looped
async def test_a_front_lives_on_its_inventory_alone(tmp_path):
    place = Filed(tmp_path, nodes=4)
    place.write(["n000", "n001", "n002", "n003"])
    service = place.plan["list_service"]
    text_of_it = (
        f'list_service {{\n  address: "{service["address"]}"\n  port: {service["port"]}\n'
        f'  kept_file: "{tmp_path}/front-0.list"\n}}\n'
    )
    try:
        await place.open(TwoDrawn, old=text_of_it, new=f'inventory {{ file: "{tmp_path}/fleet.yaml" }}\n')
        front = place.fronts[0]
        assert front.follower.pool is None
        _, plan = await place.ask()
        (held,) = front.driver.plays.values()
        place.write({"n000", "n001", "n002", "n003"} - {held.node})
        await until(
            lambda: front.follower.as_inventory() is not None
            and held.node not in front.follower.as_inventory().rows
        )
        assert front.driver.counts["moved"] == 1  # taken out of the file: moved, then gone
        assert (await place.segment(plan, 2)).status == 410
    finally:
        await place.close()


def test_the_command_line(tmp_path):
    def command(*words):
        return subprocess.run(
            [sys.executable, "-m", "curlewhall", "inventory", *map(str, words)],
            capture_output=True,
            text=True,
            timeout=60,
        )

    one, two, bad = tmp_path / "one.yaml", tmp_path / "two.csv", tmp_path / "bad.yml"
    one.write_text(text(8))
    bad.write_text(text(8).replace("port: 80", "port: 0", 1))
    assert "sound: 8 nodes (8 serving), 0 titles" in command("check", one).stdout
    done = command("check", bad)
    assert done.returncode == 1 and f"{bad}, line " in done.stderr and "port: found 0" in done.stderr
    assert command("convert", one, two).returncode == 0
    done = command("diff", one, two)
    assert (done.returncode, done.stdout) == (0, "")
    one.write_text(text(3))
    done = command("diff", two, one)
    assert done.returncode == 4 and done.stdout.count("- n") == 5 and "person's word" in done.stderr
    assert command("check", tmp_path / "nowhere.csv").returncode == 2
