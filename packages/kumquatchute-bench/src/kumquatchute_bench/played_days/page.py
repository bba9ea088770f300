"""Writes the played days as a Markdown page."""

from kumquatchute_bench.played_days.table import KindRow
from kumquatchute_bench.played_days.table import SiteRow

HEAD = """\
# Days played on the users' bench

`make days` writes this page from `journal/` and `deploy/days/`; a change by
hand is lost. A day counts for each kind of trouble that struck on it, whatever
its seed and site. Days that broke a rule are counted for all commits on which
days were played; docs/incidents.md names the causes and the tests."""

SITES = """\
| site | days | broke a rule | last such play |
|---|---|---|---|"""

KINDS = """\
| kind | day files | days | broke a rule | last such play | least worth |
|---|---|---|---|---|---|"""


def write_page(sites: tuple[SiteRow, ...], kinds: tuple[KindRow, ...]) -> str:
    """Return the whole page.

    :returns: Markdown with a final newline
    """
    site_rows = "\n".join(
        f"| {row.site} | {row.played} | {row.broken} | {row.last_broken} |"
        for row in sites
    )
    kind_rows = "\n".join(_kind_line(row) for row in kinds)
    return f"{HEAD}\n\n{SITES}\n{site_rows}\n\n{KINDS}\n{kind_rows}\n"


def _kind_line(row: KindRow) -> str:
    worth = "" if row.least_worth is None else f"{row.least_worth:.2f}"
    own = ", ".join(row.own_days)
    return (
        f"| {row.kind} | {own} | {row.played} | {row.broken} "
        f"| {row.last_broken} | {worth} |"
    )
