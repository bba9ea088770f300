"""Reads the journal of the users' bench and the day files."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
import tomllib
from typing import Any

import msgspec


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """A day that was played.

    :param started_at: start of the play in UTC, in ISO 8601
    :param name: name of the day, or the path of its file with its seed
    :param troubles: kinds of trouble that occurred
    :param broken_rules: number of times that each rule was broken
    :param worth: worth of the day; 1 is the highest
    """

    site: str
    started_at: str
    name: str
    troubles: frozenset[str]
    broken_rules: dict[str, int]
    worth: float


@dataclass(frozen=True, slots=True)
class DayFile:
    """A day file of this project and the kinds of trouble in it."""

    name: str
    kinds: frozenset[str]


class _Day(msgspec.Struct):
    name: str
    # The journal abbreviates the worth of a day to one letter.
    worth: float = msgspec.field(name="G")
    troubles: list[str] = []
    rules: dict[str, int] = {}
    # Why the day could not be played; for example, a node did not start.
    fault: str | None = None


class _Entry(msgspec.Struct):
    site: str | None
    at: list[str]
    days: list[_Day] | None = None


class MalformedEntryError(ValueError):
    """An entry of the journal cannot be read."""


def read_played(journal: Path, since: str = "") -> Iterator[PlayedDay]:
    """Yield the days of the journal that were played, oldest first.

    :param journal: folder of the entries
    :param since: time in ISO 8601; earlier plays are ignored
    :raises MalformedEntryError: an entry cannot be decoded
    """
    for path in sorted(journal.glob("*.json")):
        try:
            entry = msgspec.json.decode(path.read_bytes(), type=_Entry)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise MalformedEntryError(f"{path.name}: {exc}") from exc
        # The entry of a play that was aborted has no days.
        if entry.site is None or not entry.at or entry.at[0] < since:
            continue
        for day in entry.days or ():
            if day.fault is not None:
                continue
            yield PlayedDay(
                entry.site,
                entry.at[0],
                day.name,
                frozenset(day.troubles),
                day.rules,
                day.worth,
            )


def read_day_files(folder: Path) -> tuple[DayFile, ...]:
    """Return the day files in a folder, sorted by name."""
    return tuple(
        _build_day_file(
            path.stem, tomllib.loads(path.read_text(encoding="utf-8"))
        )
        for path in sorted(folder.glob("*.toml"))
    )


def _build_day_file(name: str, content: dict[str, Any]) -> DayFile:
    events = (*content.get("plan", ()), *content.get("faults", ()))
    return DayFile(name, frozenset(event["kind"] for event in events))
