"""Messages of the target slice: attempts on searchers."""

from dataclasses import dataclass

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.query import Hit


@dataclass(frozen=True)
class SearchAttempt:
    """One attempt to search one shard on one searcher.

    :param attempt: unique identifier of this attempt
    :param names: spellings to search for, expanded with the pinned view
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
    """The one attempt of a non-idempotent request."""

    attempt: str
    service: str
    searcher: str
    payload: str
    budget_ms: float


@dataclass(frozen=True)
class SearchResult:
    """A searcher's answer to a ``SearchAttempt``.

    :param documents: documents of the shard that the answer covers
    """

    attempt: str
    searcher: str
    index_version: int
    map_version: int
    documents: int
    hits: tuple[Hit, ...]


@dataclass(frozen=True)
class SubmitResult:
    """A searcher's answer to a ``SubmitAttempt``."""

    attempt: str
    status: int
    result: str


@dataclass(frozen=True)
class AttemptFailed:
    """The attempt gave no answer.

    :param not_run: True only if no byte of it reached the searcher
    :param newer_version: index version that the searcher has instead
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
    :param expires: monotonic time in seconds after which it is dropped
    """

    origin: str
    attempt: Attempt
    expires: float


@dataclass(frozen=True)
class CancelAttempts:
    """Nobody waits for these attempts on one searcher any more."""

    origin: str
    searcher: str
    attempts: tuple[str, ...]


@dataclass(frozen=True)
class AttemptDone:
    """Outcome of an attempt, to be handed to the node that waits for it."""

    origin: str
    outcome: AttemptOutcome


@dataclass(frozen=True)
class StopTargets:
    """Refuse new attempts. Result: None once those in flight are done."""


@dataclass(frozen=True)
class TargetStatus:
    """State of a searcher that this node owns.

    :param limit: attempts that may be in flight
    """

    searcher: str
    service: str
    warm: bool
    limit: int
    in_flight: int
    queued: int


@dataclass(frozen=True)
class OwnedTargetsStatus:
    """Sent once a second to the task that answers status requests."""

    targets: tuple[TargetStatus, ...]
