"""Runs sites of real processes for tests and reads their records."""

import asyncio
from contextlib import asynccontextmanager
import itertools
import os

import aiohttp

from kumquatchute_standins.demo.callers import Traffic
from kumquatchute_standins.demo.processes import SiteProcesses
from kumquatchute_standins.demo.site import CALLER_TOKEN
from kumquatchute_standins.demo.site import DOCUMENT_NAMES
from kumquatchute_standins.demo.site import list_searchers
from kumquatchute_standins.demo.site import SERVICE
from kumquatchute_standins.demo.site import write_site

SEARCHES_PER_S = 20.0
OWNERSHIP_CHANGE_S = 16.0
"""Time for a lease to expire, its holder to be removed and owners to start."""

COLD_SLOTS = 1
COLD_TARGET = "target cold without warning"
REPARTITION = "repartition during a query"
SILENT_CONNECTION = "connection silent for good"
NODE_KILLED = "node killed"
LEASE_S = 6.0
SHARD_COUNT = 6
SEARCHED_NAME = DOCUMENT_NAMES[0]
STORE_FAULTS = {
    "store down": {"do": "set_down"},
    "store slow": {"do": "set_delay", "delay_ms": 700},
    "store answers older state": {"do": "serve_older", "changes": 1000},
}


@asynccontextmanager
async def running_site(folder):
    """Run a site with all nodes ready, and kill its processes at the end."""
    # With ``latency``, an answer leaves out a slow shard after 80 ms, which
    # would hide a shard that has lost its owner.
    site = write_site(folder, prefer="coverage")
    processes = SiteProcesses(site, folder)
    try:
        await processes.start_all()
        yield processes
    finally:
        await processes.stop_all()


@asynccontextmanager
async def running_traffic(processes, rate_per_s=SEARCHES_PER_S):
    """Send searches to all nodes, and wait for open ones at the end."""
    names = itertools.cycle(DOCUMENT_NAMES)
    traffic = Traffic(processes.site.nodes, rate_per_s, lambda: next(names))
    task = asyncio.create_task(traffic.run())
    try:
        yield traffic
    finally:
        task.cancel()
        await task


async def cold_peaks(processes) -> dict[str, int]:
    """Return the maximum number of calls that each searcher ran while cold."""
    peaks = {}
    for name, _ in list_searchers():
        records = (await processes.read_records(name))["records"]
        cold = [r for r in records if r["cold"] and r["started"] is not None]
        changes = [(r["started"], 1) for r in cold]
        changes += [(r["ended"], -1) for r in cold]
        running = itertools.accumulate(step for _, step in sorted(changes))
        peaks[name] = max(running, default=0)
    return peaks


def uuid7(time_s: float) -> str:
    """Return a random UUID of version 7.

    :param time_s: Unix time in seconds
    """
    value = (int(time_s * 1000) << 80) | int.from_bytes(os.urandom(10), "big")
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0x3 << 62) | (2 << 62)
    text = f"{value:032x}"
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return "-".join(parts)


async def submit(
    session, node, key: str, payload: str = "quiz answers"
) -> tuple[int | None, dict]:
    """Send one submission.

    :param key: idempotency key
    :returns: HTTP status, or None if the connection failed, and the JSON body
    """
    url = f"http://{node.callers}/v1/services/{SERVICE}/submissions"
    headers = {
        "Authorization": f"Bearer {CALLER_TOKEN}",
        "Idempotency-Key": key,
    }
    body = {"payload": payload, "deadline_ms": 3000}
    try:
        async with session.post(url, json=body, headers=headers) as resp:
            return resp.status, await resp.json()
    except aiohttp.ClientError:
        return None, {}


async def executed_attempts(processes) -> list[str]:
    """Return the attempts of submissions that ran on any searcher."""
    attempts = []
    for name, _ in list_searchers():
        attempts += (await processes.read_records(name))["executed"]
    return attempts


async def search_arrivals(processes, names) -> list[float]:
    """Return when searches reached the named searchers.

    :returns: monotonic times in seconds, in ascending order
    """
    times = []
    for name in names:
        records = (await processes.read_records(name))["records"]
        times += [r["arrived"] for r in records if r["call"] == "search"]
    return sorted(times)


def make_documents(version: int, shard: int) -> list[dict]:
    """Return the documents of a shard in a version of the index."""
    return [
        {
            "doc": f"v{version}-{shard}-{number}",
            "name": DOCUMENT_NAMES[number % len(DOCUMENT_NAMES)],
        }
        for number in range(20)
    ]


async def change_index(processes, version: int) -> None:
    """Load a version of the index on all searchers and keep earlier ones."""
    shards = [
        {
            "shard": f"s{shard}",
            "replicas": [f"{SERVICE}-{shard}a", f"{SERVICE}-{shard}b"],
            "documents": make_documents(version, shard),
        }
        for shard in range(SHARD_COUNT)
    ]
    await processes.control_searchers(
        do="set_index",
        index_version=version,
        map_version=version,
        keep_previous=True,
        shards=shards,
    )
