"""Messages of the search slice."""

from dataclasses import dataclass
from typing import Any

from kumquatchute_model.query import SearchRequest


@dataclass(frozen=True)
class SearchCall:
    """A caller's search. Result: ``SearchAnswer`` or ``Failure``.

    :param caller: identity behind the bearer token
    :param batch: True for callers of the batch class
    :param received_at: monotonic time in seconds
    """

    caller: str
    batch: bool
    service: str
    request: SearchRequest
    received_at: float


@dataclass(frozen=True)
class StopSearches:
    """Refuse new searches. Result: None once the running ones are done."""


@dataclass(frozen=True)
class QueryReport:
    """Sent to the task that keeps the metrics.

    :param result: ``SearchAnswer`` or ``Failure``
    :param stats: what the query used, None if it was refused
    """

    call: SearchCall
    result: Any
    stats: Any
