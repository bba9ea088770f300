"""Sums the played days up by kind of trouble."""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatchute_bench.played_days.entries import DayFile
from kumquatchute_bench.played_days.entries import PlayedDay


@dataclass(frozen=True, slots=True)
class KindRow:
    """What is known of a kind of trouble.

    :param own_days: day files of this project that hold it
    :param played: days on which it struck
    :param broken: how many of them broke a rule
    :param last_broken: start of the newest play that did, empty if none
    :param least_worth: lowest worth of a day that broke no rule; None if
        there is none
    """

    kind: str
    day_files: tuple[str, ...]
    played_count: int
    broken_count: int
    last_broken: str
    lowest_worth: float | None


@dataclass(frozen=True, slots=True)
class SiteRow:
    """All days of a site."""

    site: str
    played_count: int
    broken_count: int
    last_broken: str


def summarise_by_kind(
    played: Iterable[PlayedDay], day_files: Iterable[DayFile]
) -> tuple[KindRow, ...]:
    """Return a row for each kind that was played or is in a day file."""
    days, day_files = tuple(played), tuple(day_files)
    kinds = {kind for day in days for kind in day.troubles}
    kinds |= {kind for day in day_files for kind in day.kinds}
    return tuple(_kind_row(kind, days, day_files) for kind in sorted(kinds))


def summarise_by_site(played: Iterable[PlayedDay]) -> tuple[SiteRow, ...]:
    """Return a row for each site."""
    days = tuple(played)
    return tuple(
        _site_row(site, [day for day in days if day.site == site])
        for site in sorted({day.site for day in days})
    )


def _kind_row(
    kind: str, days: tuple[PlayedDay, ...], day_files: tuple[DayFile, ...]
) -> KindRow:
    affected = [day for day in days if kind in day.troubles]
    broken = [day for day in affected if day.broken_rules]
    worths = [day.worth for day in affected if not day.broken_rules]
    return KindRow(
        kind,
        tuple(day.name for day in day_files if kind in day.kinds),
        len(affected),
        len(broken),
        max((day.started_at for day in broken), default=""),
        min(worths, default=None),
    )


def _site_row(site: str, days: list[PlayedDay]) -> SiteRow:
    broken = [day for day in days if day.broken_rules]
    last_broken = max((day.started_at for day in broken), default="")
    return SiteRow(site, len(days), len(broken), last_broken)
