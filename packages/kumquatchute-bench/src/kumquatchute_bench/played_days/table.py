"""Sums the played days up by kind of trouble."""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatchute_bench.played_days.entries import OwnDay
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
    own_days: tuple[str, ...]
    played: int
    broken: int
    last_broken: str
    least_worth: float | None


@dataclass(frozen=True, slots=True)
class SiteRow:
    """All days of a site."""

    site: str
    played: int
    broken: int
    last_broken: str


def by_kind(
    played: Iterable[PlayedDay], own: Iterable[OwnDay]
) -> tuple[KindRow, ...]:
    """Return a row for each kind that was played or is in a day file."""
    days, own = tuple(played), tuple(own)
    kinds = {kind for day in days for kind in day.troubles}
    kinds |= {kind for day in own for kind in day.kinds}
    return tuple(_kind_row(kind, days, own) for kind in sorted(kinds))


def by_site(played: Iterable[PlayedDay]) -> tuple[SiteRow, ...]:
    """Return a row for each site."""
    days = tuple(played)
    return tuple(
        _site_row(site, [day for day in days if day.site == site])
        for site in sorted({day.site for day in days})
    )


def _kind_row(
    kind: str, days: tuple[PlayedDay, ...], own: tuple[OwnDay, ...]
) -> KindRow:
    struck = [day for day in days if kind in day.troubles]
    broken = [day for day in struck if day.rules]
    kept = [day.worth for day in struck if not day.rules]
    return KindRow(
        kind,
        tuple(day.name for day in own if kind in day.kinds),
        len(struck),
        len(broken),
        max((day.at for day in broken), default=""),
        min(kept, default=None),
    )


def _site_row(site: str, days: list[PlayedDay]) -> SiteRow:
    broken = [day for day in days if day.rules]
    last = max((day.at for day in broken), default="")
    return SiteRow(site, len(days), len(broken), last)
