"""Memory of searchers, shard map entries, names and catalogue entries.

Each point is measured in a separate process:
``python -m kumquatchute_bench.memory KIND COUNT`` prints the growth of the
resident memory in bytes.
"""

import asyncio
import gc
import subprocess
import sys
import time

from kumquatchute_bench.cpu import rss_bytes
from kumquatchute_bench.fit import fit
from kumquatchute_bench.fit import Point
from kumquatchute_bench.fit import Slope
from kumquatchute_bench import samples
from kumquatchute_model.shards import Shard
from kumquatchute_model.shards import ShardMap
from kumquatchute_model.ticket import NO_DIGEST
from kumquatchuted.target_http.client import HttpTargetClient
from kumquatchuted.targets.admission import Eligibility
from kumquatchuted.targets.target_task import TargetTask
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.view import apply_tickets

COUNTS = {
    "searchers": (250, 500, 1000, 2000),
    "shards": (2500, 5000, 10_000, 20_000),
    "names": (5000, 10_000, 20_000, 40_000),
    "catalogued": (2500, 5000, 10_000, 20_000),
}
NOTES = {
    "searchers": "target task and HTTP client, without open connections",
    "shards": "entry of a shard map with two replicas",
    "names": "ticket key with a name and two aliases, three spellings",
    "catalogued": "searcher in the catalogue",
}
NAMES_PER_TICKET = 5000


def memory_slopes() -> list[Slope]:
    """Measure the memory of each kind by its count."""
    return [
        fit(
            f"memory: {kind}",
            kind,
            "bytes",
            [Point(count, _run_measurement(kind, count)) for count in counts],
            NOTES[kind],
        )
        for kind, counts in COUNTS.items()
    ]


def _run_measurement(kind: str, count: int) -> int:
    process = subprocess.run(
        [sys.executable, "-m", __name__, kind, str(count)],
        capture_output=True,
        check=True,
        text=True,
    )
    return int(process.stdout)


async def measure_growth(kind: str, count: int) -> int:
    """Return the growth of the resident memory in bytes.

    A small allocation of the same kind comes first, so that one-time costs
    do not count.
    """
    kept = [_allocate(kind, 50)]
    await asyncio.sleep(0)
    gc.collect()
    before_bytes = rss_bytes()
    kept.append(_allocate(kind, count))
    await asyncio.sleep(0.1)
    gc.collect()
    return rss_bytes() - before_bytes


def _allocate(kind: str, count: int) -> object:
    match kind:
        case "searchers":
            return [_start_target(item) for item in samples.searchers(count)]
        case "shards":
            return ShardMap("s", 1, 1, tuple(map(_build_shard, range(count))))
        case "catalogued":
            searchers = samples.searchers(count, "memory")
            return {item.name: item for item in searchers}
        case "names":
            return _build_view(count)
    raise ValueError(kind)


def _start_target(searcher) -> tuple:
    eligibility = Eligibility(searcher, 1e9, True, True, False, 0.005)
    task = TargetTask(
        searcher, eligibility, HttpTargetClient, print, print, time.monotonic
    )
    return task, asyncio.get_running_loop().create_task(
        _wait_for_message(task)
    )


async def _wait_for_message(task: TargetTask) -> None:
    """Wait like a target task, but without its reports once a second."""
    await task.mailbox.get()


def _build_shard(number: int) -> Shard:
    return Shard(
        f"shard-{number}", 1000, (f"console-{number}a", f"console-{number}b")
    )


def _build_view(count: int) -> View:
    view = View()
    while view.number * NAMES_PER_TICKET < count:
        names = min(NAMES_PER_TICKET, count - view.number * NAMES_PER_TICKET)
        prev = view.digest or NO_DIGEST
        view = apply_tickets(
            view, (samples.ticket(view.number + 1, prev, names),)
        )
    return view


if __name__ == "__main__":
    print(asyncio.run(measure_growth(sys.argv[1], int(sys.argv[2]))))
