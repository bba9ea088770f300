"""Summarises the played days by kind of trouble and by site."""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatchute_bench.played_days.entries import DayFile
from kumquatchute_bench.played_days.entries import PlayedDay


@dataclass(frozen=True, slots=True)
class KindRow:
    """Figures of a kind of trouble.

    :param day_files: day files of this project that contain it
    :param played_count: days on which it occurred
    :param broken_count: days among them on which a rule was broken
    :param last_broken: start of the newest such play; empty if none
    :param lowest_worth: lowest worth of a day on which no rule was broken;
        None if there is no such day
    """

    kind: str
    day_files: tuple[str, ...]
    played_count: int
    broken_count: int
    last_broken: str
    lowest_worth: float | None


@dataclass(frozen=True, slots=True)
class SiteRow:
    """Figures of a site.

    :param played_count: played days
    :param broken_count: days on which a rule was broken
    :param last_broken: start of the newest such play; empty if none
    """

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
