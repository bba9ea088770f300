"""Checks measured runs against the stated requirements."""

from dataclasses import dataclass

from kumquatchute_bench.experiments import count_new_searches
from kumquatchute_bench.experiments import Results
from kumquatchute_bench.measurement import MAX_COLD_IN_FLIGHT
from kumquatchute_bench.measurement import Run
from kumquatchute_bench.measurement import Summary

P99_LIMIT_MS = 83.0
MAX_EXTRA_SHARE_STEADY = 0.05
MAX_EXTRA_SHARE_FAULTS = 0.10
DC_OUT_LIMIT_S = 5.0
SEPARATE_OWNERS_SIDE = "each node alone"
FAULT_EXPERIMENTS = ("data centre out and in", "one of four nodes")


@dataclass(frozen=True)
class RequirementResult:
    """A requirement, the measured figure and whether it is met."""

    target: str
    figure: str
    met: bool


def check_requirements(
    results: Results, summaries: list[Summary]
) -> list[RequirementResult]:
    """Check all requirements.

    Runs in which every node owns all searchers are left out: they break
    ownership on purpose.
    """
    runs = [run for run in results.runs if run.side != SEPARATE_OWNERS_SIDE]
    return [
        *(
            _check_latency(summary)
            for summary in summaries
            if _has_latency_requirement(summary)
        ),
        *_check_extra_attempts(summaries),
        _check_cold_peak(runs),
        _check_dc_out(results),
        _check_coverage(runs),
    ]


def _has_latency_requirement(summary: Summary) -> bool:
    return summary.load == "60%" and summary.side in (
        "on",
        "one owner",
        "latency",
    )


def _check_latency(summary: Summary) -> RequirementResult:
    p99 = summary.median["p99_ms"]
    low, high = summary.lowest["p99_ms"], summary.highest["p99_ms"]
    return RequirementResult(
        f"p99 at 60% is at most {P99_LIMIT_MS:g} ms: {summary.experiment}",
        f"{p99:.1f} ms ({low:.1f} to {high:.1f})",
        p99 <= P99_LIMIT_MS,
    )


def _check_extra_attempts(summaries: list[Summary]) -> list[RequirementResult]:
    steady = [
        summary
        for summary in summaries
        if summary.side != SEPARATE_OWNERS_SIDE
        and summary.load in ("30%", "60%")
        and summary.experiment not in FAULT_EXPERIMENTS
    ]
    faults = [
        summary
        for summary in summaries
        if summary.experiment in FAULT_EXPERIMENTS
    ]
    return [
        _check_extra_share("steady state", steady, MAX_EXTRA_SHARE_STEADY),
        _check_extra_share("faults", faults, MAX_EXTRA_SHARE_FAULTS),
    ]


def _check_extra_share(
    name: str, summaries: list[Summary], limit: float
) -> RequirementResult:
    worst = max(summaries, key=lambda summary: summary.highest["extra"])
    value = worst.highest["extra"]
    return RequirementResult(
        f"extra attempts at most {limit:.0%} of first ones, {name}",
        f"{value:.2%} at worst ({worst.experiment}, {worst.side}, "
        f"{worst.load})",
        value <= limit,
    )


def _check_cold_peak(runs: list[Run]) -> RequirementResult:
    worst = max(runs, key=lambda run: run.cold_peak)
    runs_over_limit = sum(run.cold_peak > MAX_COLD_IN_FLIGHT for run in runs)
    return RequirementResult(
        f"a cold target never has more than {MAX_COLD_IN_FLIGHT} in flight",
        f"peak {worst.cold_peak} ({worst.experiment}, {worst.side}, "
        f"{worst.load}); over the limit in {runs_over_limit} of "
        f"{len(runs)} runs",
        worst.cold_peak <= MAX_COLD_IN_FLIGHT,
    )


def _check_dc_out(results: Results) -> RequirementResult:
    late = count_new_searches(
        results.timelines["dc-out"], results.period, DC_OUT_LIMIT_S
    )
    early = (
        count_new_searches(results.timelines["dc-out"], results.period, 0.0)
        - late
    )
    return RequirementResult(
        f"no new work for a data centre out after {DC_OUT_LIMIT_S:g} s",
        f"{late} after {DC_OUT_LIMIT_S:g} s, {early} in the time before",
        late == 0,
    )


def _check_coverage(runs: list[Run]) -> RequirementResult:
    mismatches = sum(run.mismatches for run in runs)
    answered = sum(run.answered for run in runs)
    runs_over_limit = sum(run.stated > run.recorded for run in runs)
    stated = sum(run.stated for run in runs)
    recorded = sum(run.recorded for run in runs)
    return RequirementResult(
        "coverage stated equals coverage counted",
        f"{mismatches} of {answered} answers differ from their hits; {stated} "
        f"shards stated, {recorded} recorded by searchers; {runs_over_limit} "
        "runs state more than recorded",
        mismatches == 0 and runs_over_limit == 0,
    )
