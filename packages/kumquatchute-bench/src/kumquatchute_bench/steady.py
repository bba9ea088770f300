"""Repeats one steady load, to compare two versions of the code."""

from dataclasses import dataclass
import os

from kumquatchute_bench.control_slopes import run_site
from kumquatchute_bench.cpu import process_cpu_s
from kumquatchute_bench.experiments import SEED
from kumquatchute_bench.load import Arrivals
from kumquatchute_bench.load import run_load
from kumquatchute_bench.measurement import measure_run
from kumquatchute_bench.measurement import Run
from kumquatchute_bench.measurement import RunKey
from kumquatchute_bench.services import BILLING
from kumquatchute_bench.services import CONSOLE
from kumquatchute_bench.services import QUIZ
from kumquatchute_bench.site import BenchSite
from kumquatchute_bench.site import Layout

SERVICES = {service.name: service for service in (BILLING, CONSOLE, QUIZ)}
WARM_UP_S = 4.0
WARM_UP_RATE = 15.0


@dataclass(frozen=True)
class SteadyLoad:
    """A load that is repeated with consecutive seeds.

    :param rate: queries per second; use the same for both versions
    :param run_s: length of a run in seconds
    """

    service: str
    rate: float
    runs: int
    run_s: float


async def run_steady(load: SteadyLoad) -> None:
    """Run the load on one site and print a line for each run."""
    service = SERVICES[load.service]
    run_key = RunKey("steady", load.service, f"{load.rate:.0f}/s")
    async with run_site(Layout((service,))) as site:
        warm_up = Arrivals(WARM_UP_RATE, WARM_UP_S, SEED)
        await run_load(site.nodes, service, warm_up)
        for number in range(load.runs):
            seed = SEED + 1 + number
            arrivals = Arrivals(load.rate, load.run_s, seed)
            before_s = _read_nodes_cpu_s(site)
            observation = await measure_run(site, service, run_key, arrivals)
            used_s = _read_nodes_cpu_s(site) - before_s
            attempt_count = sum(
                len(searcher.records) for searcher in observation.records
            )
            print(
                _format_run(observation.run, used_s / max(1, attempt_count)),
                flush=True,
            )


def _read_nodes_cpu_s(site: BenchSite) -> float:
    return sum(process_cpu_s(site.pid(node.name)) for node in site.nodes)


def _format_run(run: Run, cpu_s: float) -> str:
    return (
        f"seed {run.seed}: {run.answered} of {run.calls} answered, "
        f"p50 {run.p50_ms:.0f} ms, p99 {run.p99_ms:.0f} ms, "
        f"coverage {run.coverage:.3f}, extra {run.extra:.3f}, "
        f"cancelled {run.cancelled:.3f}, connections {run.conns:.3f}, "
        f"{cpu_s * 1e6:.0f} us of processor time of all nodes "
        "for each attempt, "
        f"lag {run.lag_p99_ms:.0f} ms, node {run.node_cores:.2f} cores, "
        f"machine {run.machine_cores:.1f} cores, "
        f"{run.stolen_cores:.1f} stolen, "
        f"load average {os.getloadavg()[0]:.1f}, {run.refusals or 'none'}"
    )
