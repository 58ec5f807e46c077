"""`curlewhall drain`: drains a node at several fronts and shows the progress of its plays."""

import json
import time
import urllib.error
import urllib.request
from urllib.parse import quote

from rich.console import Console
from rich.live import Live
from rich.table import Table

PROGRESS_COLUMNS = ("moved", "waiting", "out", "left", "lost", "held")


def request_json(url: str, method: str = "GET") -> dict:
    """A front's JSON answer. Raises `OSError` with the reason if there is none."""
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
        raise OSError(f"{url}: the answer is not JSON, expected a front") from None


def progress_table(node: str, progress: dict[str, dict]) -> Table:
    """One row of counts per front."""
    table = Table("front", *PROGRESS_COLUMNS, title=f"Drain of {node}")
    for front, plans in progress.items():
        plan = plans.get(node)
        table.add_row(front, *(str(plan[name]) if plan else "-" for name in PROGRESS_COLUMNS))
    return table


def drain(node: str, fronts: tuple[str, ...], back: bool, wait: float, console: Console) -> int:
    """Drain `node` at the fronts, or end its drain, and follow its plays; the exit code.

    `wait`: seconds to follow the plays; 0: none.
    """
    fronts = tuple(front.rstrip("/") for front in fronts)
    progress, failed = {}, []
    for front in fronts:
        try:
            progress[front] = request_json(
                f"{front}/v1/drain?node={quote(node, safe='')}&back={int(back)}", "POST"
            )
        except OSError as err:
            failed.append(front)
            console.print(f"drain not requested: {err}", style="red", markup=False, highlight=False)
    if back or not wait or not progress:
        if progress:
            state = "called back" if back else "draining"
            console.print(f"{node}: {state} at {len(progress)} of {len(fronts)} fronts")
        return 1 if failed else 0
    deadline = time.monotonic() + wait
    with Live(console=console, refresh_per_second=4) as live:
        while True:
            for front in progress:
                try:
                    progress[front] = request_json(f"{front}/v1/moves")
                except OSError as err:
                    console.print(f"no answer: {err}", style="red", markup=False, highlight=False)
            live.update(progress_table(node, progress))
            held = sum(plans.get(node, {}).get("held", 0) for plans in progress.values())
            if not held or time.monotonic() >= deadline:
                break
            time.sleep(0.25)
    lost = sum(plans.get(node, {}).get("lost", 0) for plans in progress.values())
    if held:
        console.print(
            f"{node}: {held} plays remain; their viewers will request them again when the node stops"
        )
    else:
        console.print(f"{node}: empty, {lost} lost by moves")
    return 1 if held or failed else 0
