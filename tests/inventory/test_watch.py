"""Inventory files that change while a `Watcher` polls them, alone and in a running front; the commands."""

import os
import subprocess
import sys

import pytest
from front.deployment import Deployment, until
from loopback import looped

from curlewhall.drills.baselines import TwoDrawn
from curlewhall.front.driver import Clock
from curlewhall.inventory import Inventory, yamlform
from curlewhall.inventory.run import POLL_INTERVAL_S, Files, Watcher
from curlewhall.wire.forms import Row, Title


def inventory_text(count, **changes):
    rows = {f"n{i}": Row(f"n{i}", f"10.0.0.{i + 1}", 80, i, "z", "k") for i in range(count)}
    for node, state in changes.items():
        rows[node] = Row(*[state if f == "state" else getattr(rows[node], f) for f in Row.__struct_fields__])
    return yamlform.write(Inventory(rows, {}))


class ManualTimers:
    """Timers that fire when a test calls `fire`; they advance the clock by one poll interval."""

    def __init__(self):
        self.calls, self.time = [], 100.0

    def after(self, span, call):
        self.calls.append(call)
        return self

    def cancel(self):
        self.calls.clear()

    def fire(self, times=2):
        for _ in range(times):
            self.time += POLL_INTERVAL_S
            calls, self.calls = self.calls, []
            for call in calls:
                call()


class RecordingLog:
    def __init__(self):
        self.entries = []

    def __getattr__(self, level):
        return lambda event, **fields: self.entries.append((level, event, fields))


@pytest.fixture
def rig(tmp_path):
    timers, log, published, plays = ManualTimers(), RecordingLog(), [], {}
    path = tmp_path / "fleet.yaml"
    path.write_text(inventory_text(8))
    watcher = Watcher(
        Files(str(path)),
        0,
        100_000,
        timers,
        Clock(lambda: timers.time),
        log,
        lambda rows, titles: published.append({r.node: r.state for r in rows}),
        lambda node: plays.get(node, 0),
    )
    watcher.start()
    return watcher, path, timers, log, published, plays


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
def test_changed_file_is_used_after_rename_rewrite_or_relink(rig, replace):
    watcher, path, timers, log, published, _ = rig
    assert len(published[-1]) == 8
    replace(path, inventory_text(9, n1="draining"))
    timers.fire()
    assert len(published) == 2 and len(published[-1]) == 9 and published[-1]["n1"] == "draining"
    timers.fire(5)
    assert len(published) == 2


@pytest.mark.parametrize(
    "bad",
    ["media: [", "", inventory_text(9)[:-30], inventory_text(9).replace("port: 80", "port: 0", 1), None],
    ids=["yaml", "empty", "cut", "figure", "gone"],
)
def test_invalid_file_is_logged_once_and_the_last_valid_inventory_kept(rig, bad):
    watcher, path, timers, log, published, _ = rig
    path.unlink() if bad is None else path.write_text(bad)
    timers.fire(6)
    assert len(published) == 1 and [level for level, *_ in log.entries].count("error") == 1
    assert watcher.state()["complaints"] and watcher.state()["nodes"] == 8
    path.write_text(inventory_text(10))
    timers.fire()
    assert len(published[-1]) == 10 and not watcher.state()["complaints"]


def test_file_that_is_still_growing_is_not_read(rig):
    watcher, path, timers, log, published, _ = rig
    whole = inventory_text(12)
    for end in range(100, len(whole), 100):  # the file grows between any two polls
        path.write_text(whole[:end])
        timers.fire(1)
    assert len(published) == 1 and not [row for row in log.entries if row[0] == "error"]
    path.write_text(whole)
    timers.fire()
    assert len(published[-1]) == 12


def test_implausible_change_is_used_only_after_confirmation(rig):
    watcher, path, timers, log, published, _ = rig
    path.write_text(inventory_text(3))
    timers.fire()
    assert len(published) == 1 and (digest := watcher.state()["waiting"])
    assert f"has digest {digest}" in watcher.confirm("another") and watcher.confirm(digest) == ""
    assert len(published[-1]) == 3 and not watcher.pending_digest
    assert watcher.confirm(digest) == "no inventory change needs confirmation"


def test_confirmation_does_not_apply_to_a_later_change(rig):
    watcher, path, timers, log, published, _ = rig
    path.write_text(inventory_text(3))
    timers.fire()
    digest = watcher.pending_digest
    path.write_text(inventory_text(2))
    assert "the file has" in watcher.confirm(digest) and len(published) == 1


def test_removed_node_with_plays_drains_first(rig):
    watcher, path, timers, log, published, plays = rig
    plays["n7"] = 2
    path.write_text(inventory_text(7))
    timers.fire()
    assert published[-1]["n7"] == "draining" and watcher.state()["leaving"] == ["n7"]
    plays["n7"] = 0
    timers.fire()
    assert "n7" not in published[-1] and not watcher.removed


def test_restart_checks_the_file_against_the_previous_inventory(tmp_path):
    timers, log, published = ManualTimers(), RecordingLog(), []
    path = tmp_path / "fleet.yaml"
    path.write_text(inventory_text(2))
    old = yamlform.read(inventory_text(8))
    watcher = Watcher(
        Files(str(path)),
        0,
        1000,
        timers,
        Clock(lambda: timers.time),
        log,
        lambda rows, titles: published.append(rows),
        lambda node: 0,
        lambda: old,
    )
    watcher.start()
    assert not published and watcher.pending_digest


class FileDeployment(Deployment):
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
async def test_front_runs_on_its_inventory_without_a_list_service(tmp_path):
    place = FileDeployment(tmp_path, nodes=4)
    place.write(["n000", "n001", "n002", "n003"])
    service = place.plan["list_service"]
    list_service_text = (
        f'list_service {{\n  address: "{service["address"]}"\n  port: {service["port"]}\n'
        f'  kept_file: "{tmp_path}/front-0.list"\n}}\n'
    )
    try:
        await place.open(
            TwoDrawn, old=list_service_text, new=f'inventory {{ file: "{tmp_path}/fleet.yaml" }}\n'
        )
        front = place.fronts[0]
        assert front.follower.pool is None
        _, plan = await place.ask()
        (held,) = front.driver.plays.values()
        place.write({"n000", "n001", "n002", "n003"} - {held.node})
        await until(
            lambda: front.follower.as_inventory() is not None
            and held.node not in front.follower.as_inventory().rows
        )
        assert front.driver.counts["moved"] == 1  # the play was moved before the node was dropped
        assert (await place.segment(plan, 2)).status == 410
    finally:
        await place.close()


def test_inventory_commands_report_and_exit_as_documented(tmp_path):
    def command(*words):
        return subprocess.run(
            [sys.executable, "-m", "curlewhall", "inventory", *map(str, words)],
            capture_output=True,
            text=True,
            timeout=60,
        )

    one, two, bad = tmp_path / "one.yaml", tmp_path / "two.csv", tmp_path / "bad.yml"
    one.write_text(inventory_text(8))
    bad.write_text(inventory_text(8).replace("port: 80", "port: 0", 1))
    assert "valid: 8 nodes (8 serving), 0 titles" in command("check", one).stdout
    done = command("check", bad)
    assert done.returncode == 1 and f"{bad}, line " in done.stderr and "port: found 0" in done.stderr
    assert command("convert", one, two).returncode == 0
    done = command("diff", one, two)
    assert (done.returncode, done.stdout) == (0, "")
    one.write_text(inventory_text(3))
    done = command("diff", two, one)
    assert done.returncode == 4 and done.stdout.count("- n") == 5 and "wait for a confirmation" in done.stderr
    assert command("check", tmp_path / "nowhere.csv").returncode == 2
