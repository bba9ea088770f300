"""Plots the run in which a data centre is taken out and put back."""

from pathlib import Path

from matplotlib.figure import Figure

P99_LIMIT_MS = 83.0


def plot_timeline(
    path: Path, rows: list[tuple], change_times: tuple[float, float]
) -> None:
    """Draw p99 and coverage over time.

    :param path: file to write, an image
    :param rows: second, p99 in milliseconds, coverage and further columns
    :param change_times: seconds at which the data centre went out and in
    """
    figure = Figure(figsize=(9, 5))
    p99_axes, coverage_axes = figure.subplots(2, 1, sharex=True)
    seconds = [row[0] for row in rows]
    p99_axes.plot(seconds, [row[1] for row in rows], marker="o")
    p99_axes.axhline(P99_LIMIT_MS, linestyle=":", color="grey")
    p99_axes.set_ylabel("p99 (ms)")
    p99_axes.set_title("Data centre out and in, billing at 30% of capacity")
    coverage_axes.plot(seconds, [row[2] for row in rows], marker="o")
    coverage_axes.set_ylabel("coverage")
    coverage_axes.set_xlabel("seconds of intended start")
    for axes in (p99_axes, coverage_axes):
        for change_s in change_times:
            axes.axvline(change_s, color="tab:red", linewidth=1)
    figure.tight_layout()
    figure.savefig(path)
