"""Reads the journal that the users' bench writes."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
import tomllib
from typing import Any

import msgspec


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """A day that was played.

    :param at: start of the play in UTC, in ISO form
    :param name: name of the day, or the path of its file with its seed
    :param troubles: kinds of trouble that struck
    :param rules: number of times that each rule was broken
    :param worth: worth of the day, 1 is the highest
    """

    site: str
    started_at: str
    name: str
    troubles: frozenset[str]
    broken_rules: dict[str, int]
    worth: float


@dataclass(frozen=True, slots=True)
class DayFile:
    """A day file of this project and the kinds that it holds."""

    name: str
    kinds: frozenset[str]


class _Day(msgspec.Struct):
    name: str
    # The journal calls the worth of a day by one letter.
    worth: float = msgspec.field(name="G")
    troubles: list[str] = []
    rules: dict[str, int] = {}
    # Why the day could not be played, such as a node that did not start.
    fault: str | None = None


class _Entry(msgspec.Struct):
    site: str | None
    at: list[str]
    days: list[_Day] | None = None


class MalformedEntryError(ValueError):
    """An entry of the journal cannot be read."""


def read_played(journal: Path, since: str = "") -> Iterator[PlayedDay]:
    """Yield the days of the journal that could be played, oldest first.

    :param journal: folder of the entries
    :param since: start in ISO form before which plays are left out
    :raises MalformedEntryError: an entry is of another form
    """
    for path in sorted(journal.glob("*.json")):
        try:
            entry = msgspec.json.decode(path.read_bytes(), type=_Entry)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise MalformedEntryError(f"{path.name}: {exc}") from exc
        # An entry of a play that was ended early has no days.
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
    """Return the day files of this project, by name."""
    return tuple(
        _build_day_file(
            path.stem, tomllib.loads(path.read_text(encoding="utf-8"))
        )
        for path in sorted(folder.glob("*.toml"))
    )


def _build_day_file(name: str, content: dict[str, Any]) -> DayFile:
    events = (*content.get("plan", ()), *content.get("faults", ()))
    return DayFile(name, frozenset(event["kind"] for event in events))
