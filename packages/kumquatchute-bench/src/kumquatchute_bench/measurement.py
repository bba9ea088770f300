"""Measures a run of load on a site, and summarises several runs."""

from collections.abc import Iterable
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from statistics import fmean
from statistics import median
import time

from hdrh.histogram import HdrHistogram

from kumquatchute_bench.cpu import machine_time
from kumquatchute_bench.cpu import process_cpu_s
from kumquatchute_bench.load import Arrivals
from kumquatchute_bench.load import CallResult
from kumquatchute_bench.load import run_load
from kumquatchute_bench.profiling import read_attempts
from kumquatchute_bench.services import BenchService
from kumquatchute_bench.site import BenchSite
from kumquatchute_standins.searcher.messages import Records

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MAX_COLD_IN_FLIGHT = 1
HTTP_OK = 200
HTTP_CANCELLED = 499


@dataclass(frozen=True)
class Run:
    """Figures of one run.

    :param coverage: mean coverage that the answers state
    :param coverage_worst: lowest coverage that an answer states
    :param extra: extra attempts for each first attempt, counted by nodes
    :param per_shard: attempts that searchers received for each requested
        shard
    :param cold_peak: most requests in flight on any cold searcher
    :param conns: new connections for each attempt that searchers received
    :param cancelled: share of the attempts that a searcher cancelled
    :param mismatches: answers that state another number of shards than
        their hits come from
    :param stated: shards that all answers state as covered
    :param recorded: shards that searchers recorded as answered, each once
        for each query
    :param lag_p99_ms: p99 of the delay of the load generator, in
        milliseconds
    :param generator_cores: cores that the load generator used
    :param node_cores: cores that the busiest node used
    :param fleet_cores: cores that the busiest searcher process used
    :param machine_cores: cores used on the whole machine, also by others
    :param stolen_cores: cores that the host gave to other virtual machines
    :param refusals: number of calls without an answer, by kind of error
    """

    experiment: str
    side: str
    load: str
    rate: float
    seed: int
    calls: int
    answered: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    coverage: float
    coverage_worst: float
    extra: float
    per_shard: float
    cold_peak: int
    conns: float
    cancelled: float
    mismatches: int
    stated: int
    recorded: int
    lag_p99_ms: float
    generator_cores: float
    node_cores: float
    fleet_cores: float
    machine_cores: float
    stolen_cores: float
    refusals: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class RunKey:
    """Experiment, side and load to which a run belongs."""

    experiment: str
    side: str
    load: str


@dataclass(frozen=True)
class Observation:
    """A run with the calls and records behind its figures.

    :param started_at: monotonic time in seconds at which the load began
    """

    run: Run
    started_at: float
    calls: tuple[CallResult, ...]
    records: tuple[Records, ...]


async def measure_run(
    site: BenchSite, service: BenchService, run_key: RunKey, arrivals: Arrivals
) -> Observation:
    """Run load on a site and read the counters of nodes and searchers."""
    await site.send_control(do="clear_records")
    attempts_before = await _read_node_attempts(site)
    cpu_before, machine_before = _read_cpu_s(site), machine_time()
    own_cpu_s, started_at = time.process_time(), time.monotonic()
    calls = await run_load(site.nodes, service, arrivals)
    elapsed_s = time.monotonic() - started_at
    own_cores = (time.process_time() - own_cpu_s) / elapsed_s
    machine_after = machine_time()
    busy_cores = (machine_after.busy_s - machine_before.busy_s) / elapsed_s
    stolen_cores = (
        machine_after.stolen_s - machine_before.stolen_s
    ) / elapsed_s
    cpu_after = _read_cpu_s(site)
    used_cores = {
        name: (cpu_after[name] - cpu_before[name]) / elapsed_s
        for name in cpu_after
        if name in cpu_before
    }
    attempt_counts = {
        name: tuple(
            map(
                counter_increase, totals, attempts_before.get(name, (0.0, 0.0))
            )
        )
        for name, totals in (await _read_node_attempts(site)).items()
    }
    records = await site.read_records()
    run = _build_run(
        run_key, service, arrivals, calls, records, attempt_counts
    )
    run = replace(run, machine_cores=busy_cores, stolen_cores=stolen_cores)
    return Observation(
        _add_core_usage(run, used_cores, own_cores), started_at, calls, records
    )


def counter_increase(after: float, before: float) -> float:
    """Return the increase of a counter, which a restart sets to zero."""
    return after - before if after >= before else after


def latency_histogram(calls: Iterable[CallResult]) -> HdrHistogram:
    """Return the latencies of answered calls in microseconds.

    They count from the intended start, so that delays of the load generator
    do not hide slow answers.
    """
    latencies = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for call in calls:
        if call.status == HTTP_OK:
            latencies.record_value(max(1, int(call.latency_s * 1e6)))
    return latencies


def percentile_ms(latencies: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds; 0 if there are no values."""
    return latencies.get_value_at_percentile(percentile) / 1000


def recorded_shards(records: Iterable[Records]) -> int:
    """Return the number of shards answered by any searcher.

    A shard counts once for each query, however many attempts were answered.
    """
    return len(
        {
            (record.attempt.rpartition("-")[0], record.shard)
            for searcher in records
            for record in searcher.records
            if record.status == HTTP_OK and record.call == "search"
        }
    )


def _build_run(
    run_key, service, arrivals, calls, records, attempt_counts
) -> Run:
    answered = [call for call in calls if call.status == HTTP_OK]
    latencies = latency_histogram(calls)
    coverages = [call.coverage for call in answered] or [0.0]
    first_attempts = sum(pair[0] for pair in attempt_counts.values())
    all_attempts = sum(pair[1] for pair in attempt_counts.values())
    attempt_count = sum(len(searcher.records) for searcher in records)
    cancelled = sum(
        record.status == HTTP_CANCELLED
        for searcher in records
        for record in searcher.records
    )
    conns_opened = sum(searcher.conns_opened for searcher in records)
    lags = sorted(call.lag_s for call in calls)
    return Run(
        run_key.experiment,
        run_key.side,
        run_key.load,
        arrivals.rate,
        arrivals.seed,
        len(calls),
        len(answered),
        percentile_ms(latencies, 50),
        percentile_ms(latencies, 99),
        percentile_ms(latencies, 99.9),
        fmean(coverages),
        min(coverages),
        (all_attempts - first_attempts) / first_attempts
        if first_attempts
        else 0.0,
        attempt_count / (max(1, len(answered)) * service.shards),
        max(searcher.cold_peak for searcher in records),
        conns_opened / max(1, attempt_count),
        cancelled / max(1, attempt_count),
        sum(call.stated_shards != call.hit_shards for call in answered),
        sum(call.stated_shards for call in answered),
        recorded_shards(records),
        lags[int(len(lags) * 0.99)] * 1000,
        0.0,
        0.0,
        0.0,
        0.0,
        0.0,
        dict(
            Counter(
                f"{call.error_kind}{' (not run)' if call.not_run else ''}"
                for call in calls
                if call.status != HTTP_OK
            )
        ),
    )


def _add_core_usage(run: Run, used_cores: dict, own_cores: float) -> Run:
    nodes = [
        cores for name, cores in used_cores.items() if name.startswith("n")
    ]
    fleets = [
        cores for name, cores in used_cores.items() if name.startswith("fleet")
    ]
    return replace(
        run,
        generator_cores=own_cores,
        node_cores=max(nodes),
        fleet_cores=max(fleets),
    )


def _read_cpu_s(site: BenchSite) -> dict[str, float]:
    by_name = {}
    for name, pid in site.pids.items():
        with suppress(OSError):
            by_name[name] = process_cpu_s(pid)
    return by_name


async def _read_node_attempts(
    site: BenchSite,
) -> dict[str, tuple[float, float]]:
    """Return first attempts and all attempts of each running node."""
    by_name = {}
    for node in site.nodes:
        if node.name not in site.pids:
            continue
        by_name[node.name] = (
            await read_attempts(node, "first_attempts"),
            await read_attempts(node, "attempts"),
        )
    return by_name


@dataclass(frozen=True)
class Summary:
    """Medians and ranges of the runs of one side at one load.

    :param median: medians by the names in ``FIGURES``; the lowest and highest
        values have the same names
    """

    experiment: str
    side: str
    load: str
    runs: int
    median: dict[str, float]
    lowest: dict[str, float]
    highest: dict[str, float]
    refusals: dict[str, int]


FIGURES = (
    "rate",
    "calls",
    "answered",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "coverage",
    "coverage_worst",
    "extra",
    "per_shard",
    "cold_peak",
    "conns",
    "cancelled",
    "mismatches",
    "stated",
    "recorded",
    "lag_p99_ms",
    "generator_cores",
    "node_cores",
    "fleet_cores",
    "machine_cores",
    "stolen_cores",
)


def summarise(runs: Iterable[Run]) -> list[Summary]:
    """Return one summary for each experiment, side and load."""
    groups: dict[RunKey, list[Run]] = {}
    for run in runs:
        run_key = RunKey(run.experiment, run.side, run.load)
        groups.setdefault(run_key, []).append(run)
    return [
        _build_summary(run_key, group) for run_key, group in groups.items()
    ]


def _build_summary(run_key: RunKey, runs: list[Run]) -> Summary:
    values = {
        name: [float(getattr(run, name)) for run in runs] for name in FIGURES
    }
    refusals: Counter[str] = Counter()
    for run in runs:
        refusals.update(run.refusals)
    return Summary(
        run_key.experiment,
        run_key.side,
        run_key.load,
        len(runs),
        {name: median(figures) for name, figures in values.items()},
        {name: min(figures) for name, figures in values.items()},
        {name: max(figures) for name, figures in values.items()},
        dict(refusals),
    )
