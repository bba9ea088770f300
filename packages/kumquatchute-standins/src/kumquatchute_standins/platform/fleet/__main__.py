"""Demo: real nodes on the emulated platform while faults are injected."""

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
from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.callers import send_at_rate
from kumquatchute_standins.platform.fleet.callers import send_request
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape

QUERIES_PER_S = 40.0
STEP_S = 3.0
SHAPE = Shape(nodes=("a", "a", "b", "c"), shards=12, replicas=("a", "b"))


@dataclass(frozen=True)
class DemoStep:
    """A disturbance during steady queries.

    :param disturb: called half a second after the first query
    :param node: index of the node that receives the queries
    """

    title: str
    disturb: Callable[[FleetSite], None]
    node: int = 0


def _do_nothing(site: FleetSite) -> None:
    """Leave the site undisturbed."""


def _drain_searcher(site: FleetSite) -> None:
    for searcher in site.searchers_of(site.shard_names[0])[:1]:
        entry = searcher.build_entry(state="draining")
        site.store.put("servers", searcher.name, entry)


def _stop_store(site: FleetSite) -> None:
    site.store.post_control(SetDown())


def _restore_store(site: FleetSite) -> None:
    site.store.post_control(ClearFaults())


def _silence_shard(site: FleetSite) -> None:
    for searcher in site.searchers_of(site.shard_names[1]):
        searcher.faults = SearcherFaults(silent=True)


def _restore_searchers(site: FleetSite) -> None:
    for searcher in site.searchers:
        searcher.faults = SearcherFaults()


def _fail_most_shards(site: FleetSite) -> None:
    for shard in site.shard_names[:8]:
        for searcher in site.searchers_of(shard):
            searcher.faults = SearcherFaults(fail=True)


def _stop_node(site: FleetSite) -> None:
    site.send_signal(site.nodes[1], signal.SIGTERM)


def _kill_node(site: FleetSite) -> None:
    site.send_signal(site.nodes[2], signal.SIGKILL)


STEPS = (
    DemoStep("calm", _do_nothing),
    DemoStep(
        "queries to a node without searchers near it", _do_nothing, node=3
    ),
    DemoStep("a searcher drains", _drain_searcher),
    DemoStep("the store is down", _stop_store),
    DemoStep("the store is back", _restore_store),
    DemoStep("both searchers of a shard are silent", _silence_shard),
    DemoStep("they answer again", _restore_searchers),
    DemoStep("most shards fail", _fail_most_shards),
    DemoStep("they answer again", _restore_searchers),
    DemoStep("a node stops as planned", _stop_node, node=1),
    DemoStep("a node is killed, queries to another node", _kill_node, node=3),
)


async def _run_step(
    site: FleetSite, session: aiohttp.ClientSession, step: DemoStep
) -> list[CallResult]:
    port = site.nodes[step.node].front_port
    # A node accepts requests for 2.3 s after the stop signal, so the step in
    # which it stops must be shorter than the others.
    pending = asyncio.ensure_future(
        send_at_rate(
            lambda: send_request(session, port, "/notes/1", site.shard_names),
            QUERIES_PER_S,
            STEP_S if step.title != "a node stops as planned" else 2.0,
        )
    )
    await asyncio.sleep(0.5)
    step.disturb(site)
    return await pending


def summarise(results: list[CallResult]) -> str:
    """Return one line with the figures of a step."""
    statuses = Counter(result.status for result in results)
    complete = sum(result.coverage == 1.0 for result in results)
    wrong = sum(result.error is not None for result in results)
    latencies_s = sorted(result.latency_s for result in results)
    p99_s = latencies_s[int(0.99 * (len(latencies_s) - 1))]
    counts = ", ".join(
        f"{status}: {n}" for status, n in sorted(statuses.items(), key=str)
    )
    return (
        f"{counts}; complete {complete}, wrong {wrong},"
        f" p99 {p99_s * 1000:.0f} ms"
    )


async def run_demo(folder: Path) -> int:
    """Run all steps.

    :param folder: receives the logs of the nodes
    :returns: number of wrong answers
    """
    wrong = 0
    async with FleetSite(SHAPE, folder) as site:
        async with aiohttp.ClientSession() as session:
            for step in STEPS:
                results = await _run_step(site, session, step)
                wrong += sum(result.error is not None for result in results)
                print(f"{step.title}: {summarise(results)}", flush=True)
                failed = [result for result in results if result.status != 200]
                if failed:
                    print(f"  first failed request: {failed[0].request_id}")
    return wrong


def main(
    folder: Annotated[
        Path, typer.Option(help="Folder for the logs of the nodes.")
    ] = Path("demo-out"),
) -> None:
    """Run real nodes on the emulated platform while faults are injected."""
    folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        log.unlink()
    wrong = asyncio.run(run_demo(folder))
    print(f"wrong answers: {wrong}")
    print(
        f"logs: {folder}; try kumquatchute explain REQUEST-ID {folder}/*.log"
    )
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    typer.run(main)
