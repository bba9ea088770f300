"""Messages of the search slice."""

from dataclasses import dataclass
from typing import Any

from kumquatchute_model.query import SearchRequest


@dataclass(frozen=True)
class SearchCall:
    """Ask for a search. The result is a ``SearchAnswer`` or a ``Failure``.

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
    """Refuse new searches; answered with None once none is running."""


@dataclass(frozen=True)
class QueryReport:
    """Result of a search call, for the metrics.

    :param result: ``SearchAnswer`` or ``Failure``
    :param stats: ``QueryStats``, or None if the query was refused
    """

    call: SearchCall
    result: Any
    stats: Any
