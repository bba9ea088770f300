"""Fits straight lines to measured points."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import fmean
from statistics import median


@dataclass(frozen=True)
class Point:
    """A measured value ``y`` at ``x``.

    :param spread: largest minus smallest value of the rounds, of which
        ``y`` is the median
    """

    x: float
    y: float
    spread: float = 0.0


@dataclass(frozen=True)
class Slope:
    """Least squares fit ``y = intercept + slope * x`` and its points.

    :param r2: coefficient of determination, 1.0 if all points are on the line
    :param note: what the values include or leave out
    """

    name: str
    x_unit: str
    y_unit: str
    intercept: float
    slope: float
    r2: float
    points: tuple[Point, ...]
    note: str = ""


def fit(
    name: str,
    x_unit: str,
    y_unit: str,
    points: Iterable[Point],
    note: str = "",
) -> Slope:
    """Fit a line to points with at least two different ``x``."""
    points = tuple(points)
    mean_x = fmean(point.x for point in points)
    mean_y = fmean(point.y for point in points)
    sxx = sum((point.x - mean_x) ** 2 for point in points)
    sxy = sum((p.x - mean_x) * (p.y - mean_y) for p in points)
    syy = sum((point.y - mean_y) ** 2 for point in points)
    slope = sxy / sxx
    r2 = 1.0 if not syy else sxy**2 / (sxx * syy)
    intercept = mean_y - slope * mean_x
    return Slope(name, x_unit, y_unit, intercept, slope, r2, points, note)


def median_point(x: float, rounds: Iterable[float]) -> Point:
    """Return the median of several rounds and their spread."""
    rounds = tuple(rounds)
    return Point(x, median(rounds), max(rounds) - min(rounds))
