"""Entry point: ``python -m kumquatchute_bench.played_days``."""

from pathlib import Path
import sys
from typing import Annotated

import typer

from kumquatchute_bench.played_days.entries import MalformedEntryError
from kumquatchute_bench.played_days.entries import read_own_days
from kumquatchute_bench.played_days.entries import read_played
from kumquatchute_bench.played_days.page import write_page
from kumquatchute_bench.played_days.table import by_kind
from kumquatchute_bench.played_days.table import by_site


def main(
    journal: Annotated[
        Path, typer.Option(help="Folder of the bench's entries.")
    ] = Path("journal"),
    days: Annotated[
        list[Path], typer.Option(help="Folders of this project's day files.")
    ] = [Path("deploy/days"), Path("deploy/days-grown")],
    page: Annotated[Path, typer.Option(help="Page to write.")] = Path(
        "docs/played-days.md"
    ),
    since: Annotated[
        str, typer.Option(help="Leave out plays before this time (ISO).")
    ] = "",
) -> None:
    """Sum up the days that were played on the users' bench."""
    try:
        played = tuple(read_played(journal, since))
    except MalformedEntryError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(1)
    own = (day for folder in days for day in read_own_days(folder))
    kinds = by_kind(played, own)
    page.write_text(write_page(by_site(played), kinds), encoding="utf-8")


if __name__ == "__main__":
    typer.run(main)
