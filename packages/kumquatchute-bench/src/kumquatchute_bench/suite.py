"""Runs all experiments and writes their report."""

from collections import defaultdict
from dataclasses import asdict
import os
import platform
import time

from kumquatchute_bench.experiments import ExperimentPlan
from kumquatchute_bench.experiments import Experiments
from kumquatchute_bench.experiments import Results
from kumquatchute_bench.experiments import SEED
from kumquatchute_bench.load import CallResult
from kumquatchute_bench.measurement import FIGURES
from kumquatchute_bench.measurement import latency_histogram
from kumquatchute_bench.measurement import percentile_ms
from kumquatchute_bench.measurement import summarise
from kumquatchute_bench.measurement import Summary
from kumquatchute_bench.plot import plot_timeline
from kumquatchute_bench.report import OUTPUT_FOLDER
from kumquatchute_bench.report import print_table
from kumquatchute_bench.report import write_csv
from kumquatchute_bench.report import write_json
from kumquatchute_bench.requirements import check_requirements

TABLE_FIGURES = (
    "rate",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "coverage",
    "coverage_worst",
    "per_shard",
    "extra",
    "cold_peak",
    "conns",
    "cancelled",
)
RESOURCE_FIGURES = (
    "lag_p99_ms",
    "generator_cores",
    "node_cores",
    "fleet_cores",
    "machine_cores",
    "stolen_cores",
)
TIMELINE_HEADER = ("second", "p99_ms", "coverage", "answered", "refused")


async def run_suite(plan: ExperimentPlan) -> None:
    """Run all experiments, and print and write the results."""
    started_at, load_average = time.monotonic(), os.getloadavg()[0]
    results = await Experiments(plan).run()
    summaries = summarise(results.runs)
    requirements = check_requirements(results, summaries)
    print_table(
        ("experiment", "side", "load", "runs", *TABLE_FIGURES, "refusals"),
        [_format_row(summary) for summary in summaries],
    )
    print_table(
        ("target", "figure", "result"),
        [
            (
                requirement.target,
                requirement.figure,
                "met" if requirement.met else "MISSED",
            )
            for requirement in requirements
        ],
    )
    for name, observation in results.timelines.items():
        write_csv(name, TIMELINE_HEADER, summarise_seconds(observation.calls))
    timeline = summarise_seconds(results.timelines["dc-out"].calls)
    plot_timeline(
        OUTPUT_FOLDER / "dc-out.png", timeline, _dc_change_times(results)
    )
    write_csv(
        "runs",
        ("experiment", "side", "load", "seed", *FIGURES, "refusals"),
        [
            (
                run.experiment,
                run.side,
                run.load,
                run.seed,
                *(getattr(run, name) for name in FIGURES),
                run.refusals,
            )
            for run in results.runs
        ],
    )
    machine = {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "load_average": [load_average, os.getloadavg()[0]],
        "seconds": time.monotonic() - started_at,
    }
    _print_resource_use(summaries)
    print(f"seed {SEED}, machine {machine}")
    write_json(
        "experiments",
        {
            "machine": machine,
            "seed": SEED,
            "capacity": results.capacity,
            "targets": [asdict(requirement) for requirement in requirements],
            "summaries": [asdict(summary) for summary in summaries],
            "runs": [asdict(run) for run in results.runs],
        },
    )


def _print_resource_use(summaries: list[Summary]) -> None:
    """Print the highest use of resources.

    It shows whether the load generator or the searchers were the bottleneck.
    """
    for name in RESOURCE_FIGURES:
        worst = max(summaries, key=lambda summary: summary.highest[name])
        print(
            f"highest {name}: {worst.highest[name]:.2f} "
            f"({worst.experiment}, {worst.side}, {worst.load})"
        )


def summarise_seconds(calls: tuple[CallResult, ...]) -> list[tuple]:
    """Return a row for each second, grouped by intended start.

    :returns: rows as named by ``TIMELINE_HEADER``
    """
    groups: defaultdict[int, list[CallResult]] = defaultdict(list)
    for call in calls:
        groups[int(call.intended_s)].append(call)
    rows = []
    for second, calls_of_second in sorted(groups.items()):
        answered = [call for call in calls_of_second if call.status == 200]
        coverage_sum = sum(call.coverage for call in answered)
        rows.append(
            (
                second,
                percentile_ms(latency_histogram(calls_of_second), 99),
                coverage_sum / len(answered) if answered else 0.0,
                len(answered),
                len(calls_of_second) - len(answered),
            )
        )
    return rows


def _format_row(summary: Summary) -> tuple:
    return (
        summary.experiment,
        summary.side,
        summary.load,
        summary.runs,
        *(_format_figure(summary, name) for name in TABLE_FIGURES),
        ", ".join(f"{n} {kind}" for kind, n in summary.refusals.items()),
    )


def _format_figure(summary: Summary, name: str) -> str:
    lowest, highest = summary.lowest[name], summary.highest[name]
    median = f"{summary.median[name]:.4g}"
    return (
        median
        if lowest == highest
        else f"{median} [{lowest:.4g}..{highest:.4g}]"
    )


def _dc_change_times(results: Results) -> tuple[float, float]:
    started_at = results.timelines["dc-out"].started_at
    return (
        results.period.taken_out_at - started_at,
        results.period.returned_at - started_at,
    )
