"""Identifiers and counts of the attempts of a query."""

from collections.abc import Iterable

from kumquatchuted.search.query_events import QueryStats


class AttemptTracker:
    """Creates attempt identifiers, maps them to shards and counts outcomes."""

    def __init__(self, prefix: str) -> None:
        """Create an empty tracker.

        :param prefix: unique prefix of the identifiers
        """
        self._prefix = prefix
        self._count = 0
        self._shards: dict[str, str] = {}
        self._extra_attempts: set[str] = set()
        self._sent_first = 0
        self._sent_extra = 0
        self._answered = 0
        self._failed = 0

    def start(self, shard: str, extra: bool) -> str:
        """Register a new attempt and return its identifier.

        :param extra: True for load beyond the first attempt on the shard
        """
        self._count += 1
        attempt = f"{self._prefix}-{self._count}"
        self._shards[attempt] = shard
        if extra:
            self._extra_attempts.add(attempt)
            self._sent_extra += 1
        else:
            self._sent_first += 1
        return attempt

    def end(self, attempt: str) -> str | None:
        """Remove an attempt that got an outcome.

        :returns: its shard, or None if the attempt is no longer pending or
            belongs to another query
        """
        return self._shards.pop(attempt, None)

    def is_pending(self, attempt: str) -> bool:
        """Return True if the query still waits for the attempt's outcome."""
        return attempt in self._shards

    def count_result(self, superseded: Iterable[str]) -> None:
        """Count an attempt that gave a result.

        :param superseded: other attempts on its shard, whose outcomes are
            ignored from now on
        """
        self._answered += 1
        for attempt in superseded:
            del self._shards[attempt]

    def count_failure(self) -> None:
        """Count an attempt that may have run and gave no result."""
        self._failed += 1

    def exclude(self, attempt: str) -> None:
        """Remove an attempt that certainly did not run from the counts."""
        if attempt in self._extra_attempts:
            self._sent_extra -= 1
        else:
            self._sent_first -= 1

    def withdraw_all(self) -> tuple[str, ...]:
        """Remove all pending attempts and return their identifiers."""
        attempts = tuple(self._shards)
        self._shards.clear()
        return attempts

    def any_answered(self) -> bool:
        """Return True if any attempt was answered."""
        return self._answered > 0

    def stats(self, shards: int, overloaded: int) -> QueryStats:
        """Return the counts for the statistics of the query.

        :param shards: number of shards of the plan
        :param overloaded: number of shards missing because of overload
        """
        return QueryStats(
            shards,
            self._sent_first,
            self._sent_extra,
            self._answered,
            self._failed,
            overloaded=overloaded,
        )
