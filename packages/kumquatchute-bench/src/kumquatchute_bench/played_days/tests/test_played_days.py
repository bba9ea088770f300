"""Tests of the summary of days played on the users' bench."""

from pathlib import Path

import msgspec
import pytest

from kumquatchute_bench.played_days.entries import DayFile
from kumquatchute_bench.played_days.entries import MalformedEntryError
from kumquatchute_bench.played_days.entries import read_day_files
from kumquatchute_bench.played_days.entries import read_played
from kumquatchute_bench.played_days.page import render_page
from kumquatchute_bench.played_days.table import KindRow
from kumquatchute_bench.played_days.table import SiteRow
from kumquatchute_bench.played_days.table import summarise_by_kind
from kumquatchute_bench.played_days.table import summarise_by_site


def write_entry(folder: Path, number: int, days: list | None) -> None:
    """Write an entry as the bench does."""
    content = {
        "site": "s",
        "at": [f"2026-12-0{number}T10:00:00Z", "later"],
        "days": days,
        "seal": "unknown fields are ignored",
    }
    path = folder / f"2026120{number}.json"
    path.write_bytes(msgspec.json.encode(content))


def day(troubles: list[str], worth: float, **rules: int) -> dict:
    """Return a day of an entry."""
    return {"name": "d", "G": worth, "troubles": troubles, "rules": rules}


def test_days_count_for_each_kind_that_occurred(tmp_path: Path) -> None:
    """Guards against wrong counts that make a kind look untested or safe."""
    write_entry(tmp_path, 1, [day(["cut", "slow"], 0.6, DRAIN=2)])
    write_entry(tmp_path, 2, [day(["cut"], 0.7), day([], 0.9)])
    unplayed = day(["cut"], 0.0) | {"fault": "does not start"}
    write_entry(tmp_path, 3, [unplayed])
    write_entry(tmp_path, 4, None)
    played = tuple(read_played(tmp_path))
    day_files = (DayFile("links", frozenset({"cut", "never"})),)
    broken_at = "2026-12-01T10:00:00Z"
    assert summarise_by_kind(played, day_files) == (
        KindRow("cut", ("links",), 2, 1, broken_at, 0.7),
        KindRow("never", ("links",), 0, 0, "", None),
        KindRow("slow", (), 1, 1, broken_at, None),
    )
    assert summarise_by_site(played) == (SiteRow("s", 3, 1, broken_at),)
    assert len(tuple(read_played(tmp_path, "2026-12-02"))) == 2


def test_malformed_entry_is_rejected_with_its_file_name(
    tmp_path: Path,
) -> None:
    """Guards against entries that are skipped without an error."""
    (tmp_path / "x.json").write_text('{"site": 7}', encoding="utf-8")
    with pytest.raises(MalformedEntryError, match="x.json"):
        tuple(read_played(tmp_path))


def test_day_file_lists_the_kinds_of_its_plan_and_faults(
    tmp_path: Path,
) -> None:
    """Guards against a kind for which the page names no day file.

    A day file lists planned work and faults separately.
    """
    (tmp_path / "a.toml").write_text(
        'plan = [{ at = 1, kind = "hup" }]\n'
        'faults = [{ at = 2, kind = "node_cut" }]\n',
        encoding="utf-8",
    )
    kinds = frozenset({"hup", "node_cut"})
    assert read_day_files(tmp_path) == (DayFile("a", kinds),)


def test_page_has_a_line_for_each_row() -> None:
    """Guards against a page that hides a broken rule or an unplayed kind."""
    page = render_page(
        (SiteRow("s", 3, 0, ""),),
        (KindRow("cut", ("links", "zone"), 2, 0, "", 0.7),),
    )
    assert "| s | 3 | 0 |  |\n" in page
    assert "| cut | links, zone | 2 | 0 |  | 0.70 |\n" in page
