"""What the pages show, as plain maps and lists. No I/O: everything is read from a driver and its sides.

Danger: a page that costs a walk over 100,000 plays each second slows the viewers' answers. All that is
live is counted by node or kept as a sum; only a search walks over plays, in slices.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

FRESH = 50_000  # tenths of a millisecond after which a report says nothing any more; the module reckons alike
PAGE = 50  # plays on a page
SLICE = 2000  # plays looked at between two turns of the loop: a millisecond or so
CAUSES = {
    "in_time": "no time left",
    "rationed": "budget or tries used up",
    "holding": "no holder serves",
    "streaming": "no free stream or seat",
    "warming": "holders are warming up",
    "capping": "over the cap or the customer's share",
    "fitting": "no room for the rung",
}


def part(full: float) -> int:
    """Per cent, for people."""
    return round(100 * full)


def fleet(front) -> list[dict]:
    """Zones, in them racks, in them nodes: name, state, plays, per cent of its link asked for."""
    driver, mover = front.driver, front.driver.moves.mover
    now = driver.clock.now()
    racks = max(1, driver.start_settings["specifics.shelves"])
    zones: dict[str, dict[int, list]] = defaultdict(lambda: defaultdict(list))
    for name, node in sorted(front.nodes.nodes.items()):
        row = front.follower.with_local_drain(node.row)
        load = mover.node_loads.get(name)
        known = load is not None and now - load.reported_at <= FRESH
        state = (
            row.state
            if row.state != "serving" or node.stream is not None and node.hello_received
            else "silent"
        )
        zones[row.zone][row.place % racks].append(
            {
                "node": name,
                "state": state,
                "plays": len(mover.plays_by_node.get(name, ())),
                "full": part(load.reported_load) if known else None,
            }
        )
    found = []
    for zone, by_rack in sorted(zones.items()):
        rows = []
        for rack, nodes in sorted(by_rack.items()):
            load = mover.rack_loads.get(rack)
            known = load is not None and now - load.reported_at <= FRESH
            rows.append({"rack": rack, "nodes": nodes, "full": part(load.reported_load) if known else None})
        found.append(
            {
                "zone": zone,
                "racks": rows,
                "nodes": sum(len(r["nodes"]) for r in rows),
                "plays": sum(n["plays"] for r in rows for n in r["nodes"]),
            }
        )
    return found


def overview(front) -> dict:
    """All that the first page shows."""
    driver = front.driver
    now, counts = driver.clock.now(), driver.counts
    zones = fleet(front)
    states: dict[str, int] = defaultdict(int)
    for zone in zones:
        for rack in zone["racks"]:
            for node in rack["nodes"]:
                states[node["state"]] += 1
    stages = getattr(driver.module, "stages", {})
    play_store = driver.play_store
    return {
        "front": front.file.identity.name,
        "index": front.file.identity.index,
        "fronts": front.file.identity.fronts,
        "zone": front.file.identity.zone,
        "address": front.viewers.public_url,
        "taking": front.viewers.accepting,
        "counts": dict(counts),
        "held": sum(len(plays) for plays in driver.moves.mover.plays_by_node.values()),
        "setting_up": len(driver.plays)
        - sum(len(plays) for plays in driver.moves.mover.plays_by_node.values()),
        "connections": len(front.server.connections) if front.server else 0,
        "declines": sorted(
            ((CAUSES.get(stage, stage), count) for stage, count in stages.items()), key=lambda row: -row[1]
        ),
        "zones": zones,
        "states": dict(states),
        "moves": moves(front, now),
        "list": {
            "version": front.follower.version,
            "reached": not front.follower.service_failing,
            "titles": len(front.viewers.titles),
        },
        "peers": [
            {
                "index": index,
                "address": f"{address[0]}:{address[1]}",
                "heard": seconds(now, front.peers.last_heard_at.get(index)),
            }
            for index, address in sorted(front.peers.addresses.items())
        ],
        "kept": "in memory"
        if not front.file.state.folder
        else "not at present"
        if play_store.store.failing
        else "strict"
        if play_store.strict
        else "lagging",
    }


def seconds(now: int, then: int | None) -> str:
    return "never" if then is None else f"{(now - then) / 10_000:.0f} s ago"


def moves(front, now: int) -> list[dict]:
    """Drains under way, the one that ends first at the top."""
    found = [
        {"node": node, **row, "left_s": max(0, (row["deadline"] - now) // 10_000)}
        for node, row in front.driver.moves.progress().items()
    ]
    return sorted(found, key=lambda row: row["deadline"])


def row(front, active_play) -> dict:
    """A play, for a table."""
    facts = active_play.info
    return {
        "play": facts.play,
        "viewer": facts.viewer,
        "title": facts.title,
        "product": facts.product,
        "customer": facts.customer,
        "node": active_play.node if active_play.playing_number is not None else active_play.latest_node,
        "rung": active_play.rung,
        "state": "plays"
        if active_play.playing_number is not None
        else "answered"
        if active_play.answered
        else "is set up",
        "for_s": (front.driver.clock.now() - active_play.received_at) // 10_000,
    }


def match(active_play, words: str, node: str, product: str) -> bool:
    facts = active_play.info
    if (
        node
        and (active_play.node if active_play.playing_number is not None else active_play.latest_node) != node
    ):
        return False
    if product and facts.product != product:
        return False
    return (
        not words
        or words in facts.play
        or words in facts.viewer
        or words in facts.title
        or words == facts.customer
    )


def search(plays: Iterable, words: str, node: str, product: str, page: int) -> Iterator[tuple[list, int]]:
    """Looks at plays slice by slice; each step gives what the page holds so far and how many match.

    Pages count from 0. What is looked at is a list taken before: plays come and go meanwhile.
    """
    found, count = [], 0
    for number, active_play in enumerate(plays, 1):
        if match(active_play, words, node, product):
            if PAGE * page <= count < PAGE * (page + 1):
                found.append(active_play)
            count += 1
        if number % SLICE == 0:
            yield found, count
    yield found, count
