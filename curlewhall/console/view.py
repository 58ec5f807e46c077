"""The data that the console's pages show, as plain maps and lists read from a running front. No I/O.

The overview is built on the front's event loop, once a second while a console is open. It uses counts per
node and running totals only: iterating over 100,000 plays each second would delay the answers to viewers.
Only a search iterates over plays, in batches.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

# In ticks of a tenth of a millisecond; the policy ignores load reports after the same time.
LOAD_REPORT_MAX_AGE = 50_000
PLAYS_PER_PAGE = 50
SEARCH_BATCH_SIZE = 2000  # plays examined before the event loop runs again: about a millisecond
# Stages of the policy at which a play was declined; the texts are label values of a metric.
DECLINE_CAUSES = {
    "in_time": "no time left",
    "rationed": "budget or tries used up",
    "holding": "no holder serves",
    "streaming": "no free stream or seat",
    "warming": "holders are warming up",
    "capping": "over the cap or the customer's share",
    "fitting": "no room for the rung",
}


def percent(share: float) -> int:
    """A share as a whole percentage."""
    return round(100 * share)


def fleet_zones(front) -> list[dict]:
    """The zones with their racks and nodes; load is the percentage of link or uplink capacity asked for."""
    driver = front.driver
    mover = front.driver.moves.mover
    now = driver.clock.now()
    racks = max(1, driver.start_settings["specifics.shelves"])
    zones: dict[str, dict[int, list]] = defaultdict(lambda: defaultdict(list))
    for name, node in sorted(front.nodes.nodes.items()):
        row = front.follower.with_local_drain(node.row)
        load = mover.node_loads.get(name)
        recent = load is not None and now - load.reported_at <= LOAD_REPORT_MAX_AGE
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
                "full": percent(load.reported_load) if recent else None,
            }
        )
    result = []
    for zone, by_rack in sorted(zones.items()):
        rows = []
        for rack, nodes in sorted(by_rack.items()):
            load = mover.rack_loads.get(rack)
            recent = load is not None and now - load.reported_at <= LOAD_REPORT_MAX_AGE
            rows.append(
                {"rack": rack, "nodes": nodes, "full": percent(load.reported_load) if recent else None}
            )
        result.append(
            {
                "zone": zone,
                "racks": rows,
                "nodes": sum(len(r["nodes"]) for r in rows),
                "plays": sum(n["plays"] for r in rows for n in r["nodes"]),
            }
        )
    return result


def overview(front) -> dict:
    """Everything that the first page shows."""
    driver = front.driver
    now = driver.clock.now()
    counts = driver.counts
    zones = fleet_zones(front)
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
            ((DECLINE_CAUSES.get(stage, stage), count) for stage, count in stages.items()),
            key=lambda row: -row[1],
        ),
        "zones": zones,
        "states": dict(states),
        "moves": active_drains(front, now),
        "list": {
            "version": front.follower.version,
            "reached": not front.follower.service_failing,
            "titles": len(front.viewers.titles),
        },
        "peers": [
            {
                "index": index,
                "address": f"{address[0]}:{address[1]}",
                "heard": age_text(now, front.peers.last_heard_at.get(index)),
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


def age_text(now: int, then: int | None) -> str:
    """How long ago `then` was, both in ticks; None means never."""
    return "never" if then is None else f"{(now - then) / 10_000:.0f} s ago"


def active_drains(front, now: int) -> list[dict]:
    """The drains in progress, earliest deadline first."""
    drains = [
        {"node": node, **row, "left_s": max(0, (row["deadline"] - now) // 10_000)}
        for node, row in front.driver.moves.progress().items()
    ]
    return sorted(drains, key=lambda row: row["deadline"])


def play_row(front, active_play) -> dict:
    """The columns of a play in a table."""
    info = active_play.info
    return {
        "play": info.play,
        "viewer": info.viewer,
        "title": info.title,
        "product": info.product,
        "customer": info.customer,
        "node": active_play.node if active_play.playing_number is not None else active_play.latest_node,
        "rung": active_play.rung,
        "state": "plays"
        if active_play.playing_number is not None
        else "answered"
        if active_play.answered
        else "is set up",
        "for_s": (front.driver.clock.now() - active_play.received_at) // 10_000,
    }


def matches(active_play, search_text: str, node: str, product: str) -> bool:
    """Whether a play passes all given filters; an empty filter passes every play.

    `search_text` is part of the play's id, viewer or title, or the whole customer name.
    """
    info = active_play.info
    if (
        node
        and (active_play.node if active_play.playing_number is not None else active_play.latest_node) != node
    ):
        return False
    if product and info.product != product:
        return False
    return (
        not search_text
        or search_text in info.play
        or search_text in info.viewer
        or search_text in info.title
        or search_text == info.customer
    )


def search(
    plays: Iterable, search_text: str, node: str, product: str, page: int
) -> Iterator[tuple[list, int]]:
    """Searches plays in batches; yields after each the plays found for the page and the number of matches.

    Pages are numbered from 0. `plays` must be a snapshot: plays start and end between two batches.
    """
    found = []
    count = 0
    for number, active_play in enumerate(plays, 1):
        if matches(active_play, search_text, node, product):
            if PLAYS_PER_PAGE * page <= count < PLAYS_PER_PAGE * (page + 1):
                found.append(active_play)
            count += 1
        if number % SEARCH_BATCH_SIZE == 0:
            yield found, count
    yield found, count
