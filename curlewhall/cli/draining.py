"""`curlewhall drain`: tells fronts that a node is taken out, and shows how its plays leave."""

import json
import time
import urllib.error
import urllib.request
from urllib.parse import quote

from rich.console import Console
from rich.live import Live
from rich.table import Table

SHOWN = ("moved", "waiting", "out", "left", "lost", "held")


def call(url: str, method: str = "GET") -> dict:
    """A front's answer as JSON; `OSError` with a plain reason where there is none."""
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(urllib.request.Request(url, method=method), timeout=5) as reply:
            return json.load(reply)
    except urllib.error.HTTPError as err:
        try:
            detail = json.load(err).get("detail", err.reason)
        except ValueError:
            detail = err.reason
        raise OSError(f"{url}: {detail}") from None
    except urllib.error.URLError as err:
        raise OSError(f"{url}: {err.reason}") from None
    except ValueError:
        raise OSError(f"{url}: what answers is no front") from None


def picture(node: str, found: dict[str, dict]) -> Table:
    table = Table("front", *SHOWN, title=f"Drain of {node}")
    for front, plans in found.items():
        plan = plans.get(node)
        table.add_row(front, *(str(plan[name]) if plan else "-" for name in SHOWN))
    return table


def drain(node: str, fronts: tuple[str, ...], back: bool, wait: float, console: Console) -> int:
    """Tell, follow, and say how it ended; the command's exit code."""
    fronts = tuple(front.rstrip("/") for front in fronts)
    found, failed = {}, []
    for front in fronts:
        try:
            found[front] = call(f"{front}/v1/drain?node={quote(node, safe='')}&back={int(back)}", "POST")
        except OSError as err:
            failed.append(front)
            console.print(f"not told: {err}", style="red", markup=False, highlight=False)
    if back or not wait or not found:
        if found:
            what = "called back" if back else "draining"
            console.print(f"{node}: {what} at {len(found)} of {len(fronts)} fronts")
        return 1 if failed else 0
    until = time.monotonic() + wait
    with Live(console=console, refresh_per_second=4) as live:
        while True:
            for front in found:
                try:
                    found[front] = call(f"{front}/v1/moves")
                except OSError as err:
                    console.print(f"out of reach: {err}", style="red", markup=False, highlight=False)
            live.update(picture(node, found))
            held = sum(plans.get(node, {}).get("held", 0) for plans in found.values())
            if not held or time.monotonic() >= until:
                break
            time.sleep(0.25)
    lost = sum(plans.get(node, {}).get("lost", 0) for plans in found.values())
    if held:
        console.print(f"{node}: {held} plays are still there; their viewers come again when it stops")
    else:
        console.print(f"{node}: empty, {lost} lost by moves")
    return 1 if held or failed else 0
