"""Writes the played days as a Markdown page."""

from kumquatchute_bench.played_days.table import KindRow
from kumquatchute_bench.played_days.table import SiteRow

HEADER = """\
# Days played on the users' bench

`make days` writes this page from `journal/`, `deploy/days/` and
`deploy/days-grown/`; a change by hand is lost. A day counts for each kind of
trouble that occurred on it, whatever its seed and site. Days that broke a rule
are counted for all commits on which days were played; docs/incidents.md names
the causes and the tests."""

SITES_HEADER = """\
| site | days | broke a rule | last such play |
|---|---|---|---|"""

KINDS_HEADER = """\
| kind | day files | days | broke a rule | last such play | lowest worth |
|---|---|---|---|---|---|"""


def render_page(sites: tuple[SiteRow, ...], kinds: tuple[KindRow, ...]) -> str:
    """Return the text of the page.

    :returns: Markdown with a final newline
    """
    site_rows = "\n".join(
        f"| {row.site} | {row.played_count} | {row.broken_count} "
        f"| {row.last_broken} |"
        for row in sites
    )
    kind_rows = "\n".join(_kind_line(row) for row in kinds)
    return (
        f"{HEADER}\n\n{SITES_HEADER}\n{site_rows}\n\n"
        f"{KINDS_HEADER}\n{kind_rows}\n"
    )


def _kind_line(row: KindRow) -> str:
    lowest_worth = (
        "" if row.lowest_worth is None else f"{row.lowest_worth:.2f}"
    )
    names = ", ".join(row.day_files)
    return (
        f"| {row.kind} | {names} | {row.played_count} | {row.broken_count} "
        f"| {row.last_broken} | {lowest_worth} |"
    )
