"""Writes tables to standard output, and JSON and CSV files."""

from collections.abc import Sequence
import csv
from pathlib import Path
from typing import Any

import msgspec

from kumquatchute_bench.fit import Slope

OUTPUT_FOLDER = Path("bench-out")


def format_number(value: Any) -> str:
    """Return a float with four significant digits, other values as text."""
    if isinstance(value, float):
        return f"{value:.4g}" if abs(value) < 1e4 else f"{value:.0f}"
    return str(value)


def print_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print a table with aligned columns."""
    lines = [
        [*header],
        *([format_number(cell) for cell in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*lines)]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths))
        print("  ".join(cells).rstrip(), flush=True)


def write_json(name: str, content: Any) -> Path:
    """Write a JSON file to the output folder and return its path."""
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    path = OUTPUT_FOLDER / f"{name}.json"
    body = msgspec.json.encode(content)
    path.write_bytes(msgspec.json.format(body, indent=1) + b"\n")
    return path


def write_csv(
    name: str, header: Sequence[str], rows: Sequence[Sequence[Any]]
) -> Path:
    """Write a CSV file to the output folder and return its path."""
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    path = OUTPUT_FOLDER / f"{name}.csv"
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(header)
        writer.writerows(rows)
    return path


def print_slopes(slopes: Sequence[Slope]) -> None:
    """Print each fit with its points."""
    rows = [
        (
            slope.name,
            slope.slope,
            slope.intercept,
            f"{slope.y_unit} per {slope.x_unit}",
            f"{slope.r2:.3f}",
            " ".join(f"{p.x:g}:{format_number(p.y)}" for p in slope.points),
        )
        for slope in slopes
    ]
    print_table(
        ("part", "slope", "at 0", "units", "r2", "points (x:median)"), rows
    )
