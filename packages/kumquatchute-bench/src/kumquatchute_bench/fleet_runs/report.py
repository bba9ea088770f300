"""Writes the figures and plots of runs."""

from pathlib import Path

from matplotlib.figure import Figure

from kumquatchute_bench.fleet_runs.measure import PERCENTILES
from kumquatchute_bench.fleet_runs.measure import RunSummary

COLUMNS = (
    "run",
    "sent",
    "answered",
    "complete",
    "refused",
    "failed",
    "wrong",
    *(f"p{percentile:g} ms" for percentile in PERCENTILES),
    "busiest searcher / mean",
)


def write_report(
    folder: Path, title: str, runs: tuple[RunSummary, ...]
) -> None:
    """Write ``report.md`` and a plot of each run into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = [
        f"# {title}",
        "",
        _format_row(COLUMNS),
        _format_row(["---"] * len(COLUMNS)),
    ]
    lines += [_format_row(_format_cells(run)) for run in runs]
    for number, run in enumerate(runs):
        plot = f"run-{number}.png"
        _plot_run(folder / plot, run)
        lines += ["", f"![{run.version}]({plot})"]
        lines += [f"- {failure}" for failure in run.shutdown_failures]
    text = "\n".join(lines) + "\n"
    (folder / "report.md").write_text(text, encoding="utf-8")


def _format_cells(run: RunSummary) -> list[str]:
    latencies = [f"{run.percentiles_ms[key]:.1f}" for key in PERCENTILES]
    figures = (
        run.sent,
        run.answered,
        run.complete,
        run.refused,
        run.failed,
        run.wrong,
    )
    requests = run.per_searcher.values()
    skew = max(requests) * len(requests) / sum(requests) if requests else 0.0
    return [run.version, *map(str, figures), *latencies, f"{skew:.2f}"]


def _format_row(cells: object) -> str:
    return f"| {' | '.join(cells)} |"


def _plot_run(path: Path, run: RunSummary) -> None:
    figure = Figure(figsize=(9, 9))
    latency_axes, coverage_axes, unanswered_axes, request_axes = (
        figure.subplots(4, 1)
    )
    seconds = [row.second for row in run.seconds]
    latency_axes.plot(
        seconds, [row.p99_ms or 0 for row in run.seconds], marker="o"
    )
    latency_axes.set_ylabel("p99 (ms)")
    latency_axes.set_title(run.version)
    coverage_axes.plot(
        seconds, [row.coverage for row in run.seconds], marker="o"
    )
    coverage_axes.set_ylabel("coverage")
    unanswered_axes.bar(
        seconds, [row.refused for row in run.seconds], label="refused"
    )
    unanswered_axes.bar(
        seconds,
        [row.failed for row in run.seconds],
        bottom=[row.refused for row in run.seconds],
        label="failed",
    )
    unanswered_axes.set_ylabel("not answered")
    unanswered_axes.set_xlabel("second")
    unanswered_axes.legend()
    names = sorted(run.per_searcher)
    request_axes.bar(names, [run.per_searcher[name] for name in names])
    request_axes.set_ylabel("requests")
    request_axes.set_xlabel("searcher")
    request_axes.tick_params(axis="x", labelrotation=90, labelsize=6)
    figure.tight_layout()
    figure.savefig(path)
