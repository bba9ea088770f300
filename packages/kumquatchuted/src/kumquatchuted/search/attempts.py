"""Counts the attempts of a query and knows which shard each one is for."""

from collections.abc import Iterable

from kumquatchuted.search.query_events import QueryStats


class AttemptTracker:
    """Owns the identifiers and the counts of the attempts of one query."""

    def __init__(self, prefix: str) -> None:
        """Create an empty ledger.

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
        """Return the identifier of a new attempt.

        :param extra: whether it is load beyond the first attempt
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
        """Return the shard of an attempt that got an outcome.

        :returns: None if it is of an earlier plan or of another query
        """
        return self._shards.pop(attempt, None)

    def is_pending(self, attempt: str) -> bool:
        """Return whether the outcome of an attempt still matters."""
        return attempt in self._shards

    def count_answer(self, superseded: Iterable[str]) -> None:
        """Count an answer.

        :param losers: other attempts on its shard, whose outcomes no longer
            matter
        """
        self._answered += 1
        for attempt in superseded:
            del self._shards[attempt]

    def count_failure(self) -> None:
        """Count an attempt that may have run and brought no answer."""
        self._failed += 1

    def exclude(self, attempt: str) -> None:
        """Leave out an attempt that reached no searcher."""
        if attempt in self._extra_attempts:
            self._sent_extra -= 1
        else:
            self._sent_first -= 1

    def withdraw_all(self) -> tuple[str, ...]:
        """Forget all attempts without an outcome and return them."""
        attempts = tuple(self._shards)
        self._shards.clear()
        return attempts

    def has_answers(self) -> bool:
        """Return whether any attempt was answered."""
        return self._answered > 0

    def stats(self, shards: int, overloaded: int) -> QueryStats:
        """Return the counts at the end of the query.

        :param shards: number of shards of the plan
        :param overloaded: shards that are missing because of too much load
        """
        return QueryStats(
            shards,
            self._sent_first,
            self._sent_extra,
            self._answered,
            self._failed,
            overloaded=overloaded,
        )
