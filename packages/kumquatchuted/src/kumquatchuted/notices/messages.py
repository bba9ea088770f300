"""Notices of searchers, decoded from the heads of their responses."""

from dataclasses import dataclass

from kumquatchuted.membership.messages import RegisteredSearcher


@dataclass(frozen=True, slots=True)
class ProcessId:
    """One process of a searcher.

    :param name: name of the searcher, which a restart may keep
    :param started_ms: start time in Unix milliseconds; None if not stated
    """

    name: str
    started_ms: int | None


@dataclass(frozen=True, slots=True)
class Leaving:
    """The searcher shuts down and is to get no further requests."""


@dataclass(frozen=True, slots=True)
class PauseRequested:
    """The searcher refused a request and wants none for some time.

    :param delay_s: the stated time in seconds
    """

    delay_s: float


@dataclass(frozen=True, slots=True)
class MalformedNotice:
    """A header with a value that has no meaning.

    :param header: name of the header
    :param value: its value
    """

    header: str
    value: str


Notice = Leaving | PauseRequested | MalformedNotice


@dataclass(frozen=True, slots=True)
class ProcessesLeaving:
    """Another node knows that these processes of searchers leave."""

    processes: tuple[ProcessId, ...]


def process_of(searcher: RegisteredSearcher) -> ProcessId:
    """Return the process that an entry of the store describes."""
    return ProcessId(searcher.name, searcher.started_ms)
