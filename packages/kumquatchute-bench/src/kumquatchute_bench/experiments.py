"""Experiments that show the effect of each policy under load and faults."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import replace
import signal
import time

from kumquatchute_bench.control_slopes import run_site
from kumquatchute_bench.cpu import process_cpu_s
from kumquatchute_bench.load import Arrivals
from kumquatchute_bench.load import run_load
from kumquatchute_bench.measurement import measure_run
from kumquatchute_bench.measurement import Observation
from kumquatchute_bench.measurement import Run
from kumquatchute_bench.measurement import RunKey
from kumquatchute_bench.services import BenchService
from kumquatchute_bench.services import BILLING
from kumquatchute_bench.services import CONSOLE
from kumquatchute_bench.services import dc_of_instance
from kumquatchute_bench.services import QUIZ
from kumquatchute_bench.site import BenchSite
from kumquatchute_bench.site import Layout
from kumquatchute_model.settings import Preference

SEED = 20_260
LOADS = {"30%": 0.3, "60%": 0.6, "90%": 0.9, "2x": 2.0}
LATE_SOFT_DEADLINE_MS = 900
DISTURBED_DC = "atl-east"


@dataclass(frozen=True)
class ExperimentPlan:
    """Durations and times in seconds, and the number of runs of each side.

    Times count from the start of a run.

    A cold target warms up only under light load. A site therefore gets a
    light load after its start and again before each run of a comparison.

    :param rounds: runs of each side
    :param fewer_rounds: runs of each side in the shorter comparisons
    :param run_s: length of a run of a comparison
    :param warm_up_s: length of the light load after the start
    :param warm_up_rate: queries per second after the start
    :param rewarm_s: length of the light load before each run
    :param rewarm_rate: queries per second before each run
    :param calibration_s: length of the load with which capacity is measured
    :param calibration_rate: queries per second of this load
    :param cold_s: length of the first run, which starts cold
    :param out_at_s: when the data centre is taken out
    :param in_at_s: when the data centre is put back in service
    :param out_run_s: length of the run with the data centre out and in
    :param fault_at_s: when the node is killed or paused
    :param pause_s: time for which the node is paused
    :param fault_run_s: length of the run with the node killed or paused
    """

    rounds: int = 3
    fewer_rounds: int = 2
    run_s: float = 3.5
    warm_up_s: float = 4.0
    warm_up_rate: float = 15.0
    rewarm_s: float = 1.0
    rewarm_rate: float = 25.0
    calibration_s: float = 3.0
    calibration_rate: float = 40.0
    cold_s: float = 4.0
    out_at_s: float = 6.0
    in_at_s: float = 16.0
    out_run_s: float = 25.0
    fault_at_s: float = 4.0
    pause_s: float = 5.0
    fault_run_s: float = 17.0


@dataclass(frozen=True)
class Side:
    """A layout that is compared with others."""

    name: str
    layout: Layout


@dataclass(frozen=True)
class OutPeriod:
    """The time for which a data centre was out of service.

    :param taken_out_at: monotonic time in seconds at which the ticket was
        accepted
    :param returned_at: monotonic time in seconds just before the ticket
        for its return was submitted
    """

    taken_out_at: float
    returned_at: float


@dataclass(frozen=True)
class Results:
    """Results of all experiments.

    :param timelines: runs with a fault or an evacuation, by name
    :param period: when the data centre of the run ``dc-out`` was out
    :param capacity: queries per second that each service can handle
    """

    runs: tuple[Run, ...]
    timelines: dict[str, Observation]
    period: OutPeriod
    capacity: dict[str, float]


class Experiments:
    """Runs all experiments in sequence."""

    def __init__(self, plan: ExperimentPlan) -> None:
        """Create the experiments without starting any process."""
        self._plan = plan
        self._runs: list[Run] = []
        self._capacity: dict[str, float] = {}

    async def run(self) -> Results:
        """Run all experiments."""
        plan = self._plan
        await self._compare_hedging(BILLING, LOADS, plan.rounds)
        console = {name: LOADS[name] for name in ("60%", "90%")}
        await self._compare_hedging(CONSOLE, console, plan.fewer_rounds)
        await self._compare_ownership()
        dc_out, period = await self._run_dc_out()
        timelines = {
            "dc-out": dc_out,
            "node-killed": await self._run_node_fault(
                "killed", signal.SIGKILL
            ),
            "node-paused": await self._run_node_fault(
                "paused", signal.SIGSTOP
            ),
        }
        self._runs += [observation.run for observation in timelines.values()]
        await self._compare_preference()
        await self._compare_cancellation()
        return Results(tuple(self._runs), timelines, period, self._capacity)

    async def _compare_hedging(
        self, service: BenchService, loads: dict[str, float], rounds: int
    ) -> None:
        sides = [
            Side("off", Layout((replace(service, hedging=False),))),
            Side("on", Layout((service,))),
        ]
        await self._compare_sides("hedging", service, sides, loads, rounds)

    async def _compare_ownership(self) -> None:
        sides = [
            Side("one owner", Layout((BILLING,))),
            Side(
                "each node alone",
                Layout((BILLING,), separate_memberships=True),
            ),
        ]
        loads = {name: LOADS[name] for name in ("30%", "60%")}
        rounds = self._plan.fewer_rounds
        await self._compare_sides("ownership", BILLING, sides, loads, rounds)

    async def _compare_cancellation(self) -> None:
        """Measure the cost of cancellations at the soft deadline.

        With a late soft deadline, fewer attempts are still in flight when a
        query ends, and fewer are cancelled.
        """
        service = replace(BILLING, hedging=False)
        late = replace(service, soft_deadline_ms=LATE_SOFT_DEADLINE_MS)
        sides = [
            Side("soft deadline 80 ms", Layout((service,))),
            Side("soft deadline 900 ms", Layout((late,))),
        ]
        loads = {name: LOADS[name] for name in ("30%", "60%")}
        rounds = self._plan.fewer_rounds
        await self._compare_sides(
            "cancellation", BILLING, sides, loads, rounds
        )

    async def _compare_preference(self) -> None:
        sides = [
            Side("latency", Layout((_with_preference(QUIZ, "latency"),))),
            Side("coverage", Layout((QUIZ,))),
        ]
        loads = {name: LOADS[name] for name in ("60%", "90%")}
        rounds = self._plan.fewer_rounds
        await self._compare_sides("prefer", QUIZ, sides, loads, rounds)

    async def _compare_sides(
        self,
        name: str,
        service: BenchService,
        sides: list[Side],
        loads: dict[str, float],
        rounds: int,
    ) -> None:
        """Alternate the sides with the same seeds, on sites that stay up.

        The first run of each site starts cold.
        """
        plan = self._plan
        name = f"{name}, {service.name}"
        async with AsyncExitStack() as stack:
            sites = [
                await stack.enter_async_context(run_site(side.layout))
                for side in sides
            ]
            rate = LOADS["30%"] * min(service.capacity, MAX_COLD_RATE)
            arrivals = Arrivals(rate, plan.cold_s, SEED)
            for side, site in zip(sides, sites):
                run_key = RunKey(name, side.name, "30%, cold start")
                await self._measure_run(site, service, run_key, arrivals)
            for site in sites:
                await self._warm_up(site, service)
            capacity = await self._measure_capacity(sites[0], service)
            for load, share in loads.items():
                for number in range(rounds):
                    seed = SEED + 1 + number
                    arrivals = Arrivals(share * capacity, plan.run_s, seed)
                    for side, site in zip(sides, sites):
                        run_key = RunKey(name, side.name, load)
                        await self._rewarm(site, service)
                        await self._measure_run(
                            site, service, run_key, arrivals
                        )

    async def _measure_run(
        self,
        site: BenchSite,
        service: BenchService,
        run_key: RunKey,
        arrivals: Arrivals,
    ) -> None:
        observation = await measure_run(site, service, run_key, arrivals)
        self._runs.append(observation.run)
        _print_run(observation.run)

    async def _measure_capacity(
        self, site: BenchSite, service: BenchService
    ) -> float:
        """Return the queries per second that searchers and nodes can handle.

        A node uses at most one core, so its capacity follows from the
        processor time of a query, which is measured once for each service.
        """
        if service.name in self._capacity:
            return self._capacity[service.name]
        plan = self._plan
        pids = [site.pid(node.name) for node in site.nodes]
        before_s = sum(map(process_cpu_s, pids))
        rate, duration_s = plan.calibration_rate, plan.calibration_s
        arrivals = Arrivals(rate, duration_s, SEED)
        calls = await run_load(site.nodes, service, arrivals)
        used_s = sum(map(process_cpu_s, pids)) - before_s
        node_capacity = len(pids) * len(calls) / used_s
        capacity = min(service.capacity, node_capacity)
        self._capacity[service.name] = capacity
        print(
            f"{service.name}: slots allow {service.capacity:.0f} queries/s, "
            f"nodes {node_capacity:.0f}; loads are shares of {capacity:.0f}",
            flush=True,
        )
        return capacity

    async def _run_dc_out(self) -> tuple[Observation, OutPeriod]:
        """Take a data centre out of service and return it under load."""
        async with run_site(Layout((BILLING,))) as site:
            await self._warm_up(site, BILLING)
            run_key = RunKey("data centre out and in", DISTURBED_DC, "30%")
            rate = LOADS["30%"] * BILLING.capacity
            arrivals = Arrivals(rate, self._plan.out_run_s, SEED)
            change = asyncio.create_task(self._take_dc_out_and_in(site))
            observation = await measure_run(site, BILLING, run_key, arrivals)
            _print_run(observation.run)
            return observation, await change

    async def _take_dc_out_and_in(self, site: BenchSite) -> OutPeriod:
        started_at = time.monotonic()
        await asyncio.sleep(self._plan.out_at_s)
        entry = {"type": "dc", "dc": DISTURBED_DC, "in_service": False}
        await site.submit_ticket([entry])
        taken_out_at = time.monotonic()
        returned_at = started_at + self._plan.in_at_s
        await asyncio.sleep(max(0.0, returned_at - time.monotonic()))
        returned_at = time.monotonic()
        await site.submit_ticket([entry | {"in_service": True}])
        return OutPeriod(taken_out_at, returned_at)

    async def _run_node_fault(
        self, name: str, signum: signal.Signals
    ) -> Observation:
        """Kill or pause one of four nodes under load."""
        async with run_site(Layout((BILLING,))) as site:
            await self._warm_up(site, BILLING)
            rate = LOADS["30%"] * BILLING.capacity
            arrivals = Arrivals(rate, self._plan.fault_run_s, SEED)
            fault = asyncio.create_task(self._inject_node_fault(site, signum))
            run_key = RunKey("one of four nodes", name, "30%")
            observation = await measure_run(site, BILLING, run_key, arrivals)
            await fault
            _print_run(observation.run)
            return observation

    async def _inject_node_fault(
        self, site: BenchSite, signum: signal.Signals
    ) -> None:
        node_name = site.nodes[-1].name
        await asyncio.sleep(self._plan.fault_at_s)
        site.send_signal(node_name, signum)
        if signum == signal.SIGSTOP:
            await asyncio.sleep(self._plan.pause_s)
            site.send_signal(node_name, signal.SIGCONT)

    async def _warm_up(self, site: BenchSite, service: BenchService) -> None:
        plan = self._plan
        arrivals = Arrivals(plan.warm_up_rate, plan.warm_up_s, SEED)
        await run_load(site.nodes, service, arrivals)
        await self._rewarm(site, service)

    async def _rewarm(self, site: BenchSite, service: BenchService) -> None:
        plan = self._plan
        arrivals = Arrivals(plan.rewarm_rate, plan.rewarm_s, SEED)
        await run_load(site.nodes, service, arrivals)


MAX_COLD_RATE = 120.0
"""Highest rate of a cold run, in queries per second.

The nodes can certainly handle it; their capacity is measured after that run.
"""


def _with_preference(service: BenchService, preference: str) -> BenchService:
    return replace(service, prefer=Preference(preference))


def count_new_searches(
    observation: Observation, period: OutPeriod, after_s: float
) -> int:
    """Return the number of searches that the data centre got while out.

    :param after_s: seconds after the ticket from which searches count
    """
    # The name of a searcher, such as "billing-3a", contains its instance.
    return sum(
        period.taken_out_at + after_s <= record.arrived < period.returned_at
        for searcher in observation.records
        if dc_of_instance(
            int(searcher.searcher.strip("abcd").rpartition("-")[2])
        )
        == DISTURBED_DC
        for record in searcher.records
    )


def _print_run(run: Run) -> None:
    print(
        f"{run.experiment}, {run.side}, {run.load}: {run.calls} calls, "
        f"{run.answered} answered, p99 {run.p99_ms:.0f} ms, "
        f"coverage {run.coverage:.4f}, nodes {run.node_cores:.2f} cores, "
        f"lag {run.lag_p99_ms:.1f} ms",
        flush=True,
    )
