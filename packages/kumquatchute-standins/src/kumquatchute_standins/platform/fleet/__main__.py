"""Shows real nodes on the emulated platform while it is disturbed."""

import asyncio
from collections.abc import Callable
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
import signal
import sys
from typing import Annotated

import aiohttp
import typer

from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.fleet.callers import call
from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.callers import steady
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape

PER_S = 40.0
STEP_S = 3.0
SHAPE = Shape(nodes=("a", "a", "b", "c"), shards=12, replicas=("a", "b"))


@dataclass(frozen=True)
class Step:
    """A disturbance under steady queries.

    :param disturb: called half a second after the queries have started
    :param node: node that receives the queries
    """

    title: str
    disturb: Callable[[FleetSite], None]
    node: int = 0


def _nothing(site: FleetSite) -> None:
    """Leave the site alone."""


def _drain(site: FleetSite) -> None:
    for searcher in site.searchers_of(site.shard_names[0])[:1]:
        entry = searcher.entry(state="draining")
        site.store.put("servers", searcher.name, entry)


def _store_down(site: FleetSite) -> None:
    site.store.disturb(SetDown())


def _store_up(site: FleetSite) -> None:
    site.store.disturb(ClearFaults())


def _silence_shard(site: FleetSite) -> None:
    for searcher in site.searchers_of(site.shard_names[1]):
        searcher.faults = SearcherFaults(silent=True)


def _restore(site: FleetSite) -> None:
    for searcher in site.searchers:
        searcher.faults = SearcherFaults()


def _fail_all(site: FleetSite) -> None:
    for shard in site.shard_names[:8]:
        for searcher in site.searchers_of(shard):
            searcher.faults = SearcherFaults(fail=True)


def _stop(site: FleetSite) -> None:
    site.signal(site.nodes[1], signal.SIGTERM)


def _kill(site: FleetSite) -> None:
    site.signal(site.nodes[2], signal.SIGKILL)


STEPS = (
    Step("calm", _nothing),
    Step("from a node without searchers near", _nothing, node=3),
    Step("a searcher drains", _drain),
    Step("the store is down", _store_down),
    Step("the store is back", _store_up),
    Step("both searchers of a shard are silent", _silence_shard),
    Step("they answer again", _restore),
    Step("most shards fail", _fail_all),
    Step("they answer again", _restore),
    Step("a node stops as planned", _stop, node=1),
    Step("a node is killed, seen from another one", _kill, node=3),
)


async def _run_step(
    site: FleetSite, session: aiohttp.ClientSession, step: Step
) -> list[CallResult]:
    port = site.nodes[step.node].front
    running = asyncio.ensure_future(
        steady(
            lambda: call(session, port, "/notes/1", site.shard_names),
            PER_S,
            STEP_S if step.title != "a node stops as planned" else 2.0,
        )
    )
    await asyncio.sleep(0.5)
    step.disturb(site)
    return await running


def summarise(seen: list[CallResult]) -> str:
    """Return one line about the answers of a step."""
    statuses = Counter(item.status for item in seen)
    whole = sum(item.coverage == 1.0 for item in seen)
    wrong = sum(item.error is not None for item in seen)
    times = sorted(item.latency_s for item in seen)
    late = times[int(0.99 * (len(times) - 1))]
    counts = ", ".join(
        f"{status}: {n}" for status, n in sorted(statuses.items(), key=str)
    )
    return f"{counts}; whole {whole}, wrong {wrong}, p99 {late * 1000:.0f} ms"


async def run(folder: Path) -> int:
    """Run all steps.

    :param folder: receives the logs of the nodes
    :returns: number of wrong answers
    """
    wrong = 0
    async with FleetSite(SHAPE, folder) as site:
        async with aiohttp.ClientSession() as session:
            for step in STEPS:
                seen = await _run_step(site, session, step)
                wrong += sum(item.error is not None for item in seen)
                print(f"{step.title}: {summarise(seen)}", flush=True)
                failed = [item for item in seen if item.status != 200]
                if failed:
                    print(f"  first failed request: {failed[0].request_id}")
    return wrong


def main(
    folder: Annotated[
        Path, typer.Option(help="Folder for the logs of the nodes.")
    ] = Path("demo-out"),
) -> None:
    """Run the demo of the users' platform."""
    folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        log.unlink()
    wrong = asyncio.run(run(folder))
    print(f"wrong answers: {wrong}")
    print(
        f"logs: {folder}; see kumquatchute explain REQUEST-ID {folder}/*.log"
    )
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    typer.run(main)
