"""Writes the figures and plots of runs."""

from pathlib import Path

from matplotlib.figure import Figure

from kumquatchute_bench.fleet_runs.measure import PERCENTILES
from kumquatchute_bench.fleet_runs.measure import Summary

COLUMNS = (
    "run",
    "sent",
    "answered",
    "whole",
    "refused",
    "failed",
    "wrong",
    *(f"p{percentile:g} ms" for percentile in PERCENTILES),
    "busiest searcher / mean",
)


def write_report(folder: Path, title: str, runs: tuple[Summary, ...]) -> None:
    """Write ``report.md`` and a plot of each run into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = [f"# {title}", "", _row(COLUMNS), _row(["---"] * len(COLUMNS))]
    lines += [_row(_cells(run)) for run in runs]
    for number, run in enumerate(runs):
        plot = f"run-{number}.png"
        _plot(folder / plot, run)
        lines += ["", f"![{run.version}]({plot})"]
        lines += [f"- {fault}" for fault in run.faults]
    text = "\n".join(lines) + "\n"
    (folder / "report.md").write_text(text, encoding="utf-8")


def _cells(run: Summary) -> list[str]:
    times = [f"{run.percentiles_ms[key]:.1f}" for key in PERCENTILES]
    counts = (
        run.sent,
        run.answered,
        run.whole,
        run.refused,
        run.failed,
        run.wrong,
    )
    loads = run.per_searcher.values()
    skew = max(loads) * len(loads) / sum(loads) if loads else 0.0
    return [run.version, *map(str, counts), *times, f"{skew:.2f}"]


def _row(cells: object) -> str:
    return f"| {' | '.join(cells)} |"


def _plot(path: Path, run: Summary) -> None:
    figure = Figure(figsize=(9, 9))
    times, coverage, lost, loads = figure.subplots(4, 1)
    seconds = [row.second for row in run.seconds]
    times.plot(seconds, [row.p99_ms or 0 for row in run.seconds], marker="o")
    times.set_ylabel("p99 (ms)")
    times.set_title(run.version)
    coverage.plot(seconds, [row.coverage for row in run.seconds], marker="o")
    coverage.set_ylabel("coverage")
    lost.bar(seconds, [row.refused for row in run.seconds], label="refused")
    lost.bar(
        seconds,
        [row.failed for row in run.seconds],
        bottom=[row.refused for row in run.seconds],
        label="failed",
    )
    lost.set_ylabel("not answered")
    lost.set_xlabel("second")
    lost.legend()
    names = sorted(run.per_searcher)
    loads.bar(names, [run.per_searcher[name] for name in names])
    loads.set_ylabel("requests")
    loads.set_xlabel("searcher")
    loads.tick_params(axis="x", labelrotation=90, labelsize=6)
    figure.tight_layout()
    figure.savefig(path)
