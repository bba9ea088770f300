"""Messages of the targets slice: attempts on searchers."""

from dataclasses import dataclass

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.query import Hit


@dataclass(frozen=True)
class SearchAttempt:
    """One attempt to search one shard on one searcher.

    :param attempt: unique identifier of this attempt
    :param names: spellings to search for, expanded with the query's view
    :param budget_ms: time left for the attempt in milliseconds
    """

    attempt: str
    service: str
    searcher: str
    shard: str
    index_version: int
    map_version: int
    names: tuple[str, ...]
    limit: int
    budget_ms: float


@dataclass(frozen=True)
class SubmitAttempt:
    """The only attempt of a submission, which is not idempotent."""

    attempt: str
    service: str
    searcher: str
    payload: str
    budget_ms: float


@dataclass(frozen=True)
class SearchResult:
    """A searcher's response to a ``SearchAttempt``.

    :param documents: number of documents of the shard that it covers
    """

    attempt: str
    searcher: str
    index_version: int
    map_version: int
    documents: int
    hits: tuple[Hit, ...]


@dataclass(frozen=True)
class SubmitResult:
    """A searcher's response to a ``SubmitAttempt``.

    :param status: HTTP status
    """

    attempt: str
    status: int
    result: str


@dataclass(frozen=True)
class AttemptFailed:
    """An attempt ended without a usable response.

    :param not_run: True only if the searcher certainly did not run it
    :param newer_version: index version that the searcher serves instead, 0
        if it reported none
    """

    attempt: str
    kind: ErrorKind
    reason: str
    not_run: bool
    newer_version: int = 0


Attempt = SearchAttempt | SubmitAttempt
AttemptOutcome = SearchResult | SubmitResult | AttemptFailed


@dataclass(frozen=True)
class RunAttempt:
    """Run an attempt on a searcher that this node owns.

    :param origin: node that waits for the outcome
    :param expires_at: monotonic time in seconds at which the attempt expires
    """

    origin: str
    attempt: Attempt
    expires_at: float


@dataclass(frozen=True)
class CancelAttempts:
    """Cancel attempts on one searcher whose outcomes are not needed."""

    origin: str
    searcher: str
    attempts: tuple[str, ...]


@dataclass(frozen=True)
class AttemptDone:
    """Outcome of an attempt, addressed to the node that waits for it."""

    origin: str
    outcome: AttemptOutcome


@dataclass(frozen=True)
class StopTargets:
    """Refuse new attempts; answered with None once none is in flight."""


@dataclass(frozen=True)
class TargetStatus:
    """State of a searcher that this node owns.

    :param warm: True if the searcher takes its full load
    :param limit: attempts that may be in flight
    :param in_flight: attempts and probes that occupy a slot
    :param queued: attempts that wait for a slot
    """

    searcher: str
    service: str
    warm: bool
    limit: int
    in_flight: int
    queued: int


@dataclass(frozen=True)
class OwnedTargetsStatus:
    """Status of all owned searchers each second, for operators and metrics."""

    targets: tuple[TargetStatus, ...]
