"""Runs callers, faulty searchers and real nodes for some seconds."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random
import signal

from kumquatchute_standins.platform.fleet.answer_checks import check_record
from kumquatchute_standins.platform.fleet.answer_checks import check_runs
from kumquatchute_standins.platform.fleet.answer_checks import find_waits
from kumquatchute_standins.platform.fleet.answer_checks import Violation
from kumquatchute_standins.platform.fleet.answer_checks import Wait
from kumquatchute_standins.platform.fleet.answer_faults import AnswerDraw
from kumquatchute_standins.platform.fleet.connection_callers import Caller
from kumquatchute_standins.platform.fleet.connection_callers import CallRecord
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape

NODES = ("a", "a", "b", "c")
SHARDS = 3
CALLERS = 32
# Time in which a request that was refused may still arrive at a searcher.
SETTLE_S = 0.5
MAX_SUSPENDED_S = 0.8
SUSPENSION_GAP_S = 0.2
STALL_CHECK_S = 0.02


@dataclass(frozen=True, slots=True)
class Case:
    """What is run.

    :param length_s: time for which requests are sent, in seconds
    :param faults: names of faults of answers
    :param share: fraction of the answers that are faulty
    :param pipeline: most requests that a caller sends at once
    :param suspends: whether nodes are suspended, one after another
    :param has_replicas: whether services have three searchers, not one
    :param source: checkout whose nodes run, None for this one
    :param nodes: data centre of each node
    """

    seed: int
    length_s: float
    faults: tuple[str, ...]
    share: float = 0.25
    pipeline: int = 1
    suspends: bool = False
    has_replicas: bool = True
    source: Path | None = None
    nodes: tuple[str, ...] = NODES


@dataclass(frozen=True, slots=True)
class CaseResult:
    """Figures of a run.

    :param successes: responses with a status 2xx, also wrong ones
    :param right: successes that are not wrong
    :param waits: waits for the time limit after a searcher's answer
    :param stall_s: longest time for which the callers and searchers of the
        case did not run, in seconds; waits of this length are its own
    """

    case: Case
    requests: int
    successes: int
    right: int
    violations: tuple[Violation, ...]
    waits: tuple[Wait, ...]
    stall_s: float

    def format_line(self) -> str:
        """Return the line that is printed for the run."""
        wrong = Counter(item.wrong.name.lower() for item in self.violations)
        kinds = " ".join(f"{k}={n}" for k, n in sorted(wrong.items()))
        longest_s = max((wait.wait_s for wait in self.waits), default=0.0)
        return (
            f"seed={self.case.seed} faults={','.join(self.case.faults)}"
            f" requests={self.requests} successes={self.successes}"
            f" wrong={len(self.violations)} ({kinds or 'none'})"
            f" served={self.right / max(1, self.requests):.3f}"
            f" waited={len(self.waits)}"
            f" longest_wait_ms={1000 * longest_s:.0f}"
            f" longest_stall_ms={1000 * self.stall_s:.0f}"
        )


def run_case(case: Case, folder: Path) -> CaseResult:
    """Run a case.

    :param folder: receives settings and logs of the nodes
    """
    return asyncio.run(_run(case, folder))


async def _run(case: Case, folder: Path) -> CaseResult:
    places = ("a", "b", "c") if case.has_replicas else ("a",)
    shape = Shape(case.nodes, SHARDS, places, places)
    async with FleetSite(shape, folder, case.source) as site:
        draw = AnswerDraw(case.faults, case.share, case.seed)
        for searcher in site.searchers:
            searcher.faults = SearcherFaults(answers=draw)
        callers = [
            Caller(
                f"c{number}",
                site.nodes[number % len(site.nodes)].front_port,
                case.pipeline,
                case.seed,
            )
            for number in range(CALLERS)
        ]
        end = asyncio.get_running_loop().time() + case.length_s
        async with asyncio.TaskGroup() as tasks:
            for caller in callers:
                tasks.create_task(caller.send_until(end))
            stall = tasks.create_task(_measure_stall_s(end))
            if case.suspends:
                tasks.create_task(_suspend_nodes(site, case.seed, end))
        await asyncio.sleep(SETTLE_S)
    records = [record for caller in callers for record in caller.records]
    return _evaluate(case, site, records, stall.result())


async def _measure_stall_s(end: float) -> float:
    """Return how long the event loop stood still at most, in seconds.

    :param end: time of the event loop until which it is watched, in seconds
    """
    loop, longest_s = asyncio.get_running_loop(), 0.0
    while (started_at := loop.time()) < end:
        await asyncio.sleep(STALL_CHECK_S)
        longest_s = max(longest_s, loop.time() - started_at - STALL_CHECK_S)
    return longest_s


async def _suspend_nodes(site: FleetSite, seed: int, end: float) -> None:
    """Suspend one node after another until a time of the event loop."""
    rng, loop = Random(seed), asyncio.get_running_loop()
    while loop.time() < end:
        node = rng.choice(site.nodes)
        site.send_signal(node, signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.1, MAX_SUSPENDED_S))
        site.send_signal(node, signal.SIGCONT)
        await asyncio.sleep(SUSPENSION_GAP_S)


def _evaluate(
    case: Case,
    site: FleetSite,
    records: list[CallRecord],
    stall_s: float,
) -> CaseResult:
    run_counts = Counter(arrival.request_id for arrival in site.arrivals)
    checked = [
        (record, check_record(record, site.ledger, site.shard_names))
        for record in records
    ]
    violations = [violation for _, violation in checked if violation]
    violations += check_runs(records, run_counts)
    successes = [
        violation for record, violation in checked if record.is_success()
    ]
    return CaseResult(
        case,
        len(records),
        len(successes),
        successes.count(None),
        tuple(violations),
        tuple(find_waits(records, site.ledger)),
        stall_s,
    )
