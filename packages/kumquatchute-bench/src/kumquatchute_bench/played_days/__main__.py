"""Entry point: ``python -m kumquatchute_bench.played_days``."""

from pathlib import Path
import sys
from typing import Annotated

import typer

from kumquatchute_bench.played_days.entries import MalformedEntryError
from kumquatchute_bench.played_days.entries import read_day_files
from kumquatchute_bench.played_days.entries import read_played
from kumquatchute_bench.played_days.page import render_page
from kumquatchute_bench.played_days.table import summarise_by_kind
from kumquatchute_bench.played_days.table import summarise_by_site


def main(
    journal: Annotated[
        Path, typer.Option(help="Folder of the journal of the users' bench.")
    ] = Path("journal"),
    days: Annotated[
        list[Path], typer.Option(help="Folders of this project's day files.")
    ] = [Path("deploy/days"), Path("deploy/days-grown")],
    page: Annotated[Path, typer.Option(help="Page to write.")] = Path(
        "docs/played-days.md"
    ),
    since: Annotated[
        str, typer.Option(help="Ignore plays before this time (ISO 8601).")
    ] = "",
) -> None:
    """Summarise the days that were played on the users' bench."""
    try:
        played = tuple(read_played(journal, since))
    except MalformedEntryError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(1)
    day_files = (day for folder in days for day in read_day_files(folder))
    kinds = summarise_by_kind(played, day_files)
    page.write_text(
        render_page(summarise_by_site(played), kinds), encoding="utf-8"
    )


if __name__ == "__main__":
    typer.run(main)
