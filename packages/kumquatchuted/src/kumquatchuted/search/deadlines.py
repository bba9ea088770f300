"""Deadlines within a query: for answers, attempts, retries and restarts.

All deadlines are monotonic times in seconds.
"""

from kumquatchuted.search.query_events import QueryTiming

ANSWER_MARGIN_S = 0.003
"""Time reserved for merging and for sending the answer to the caller."""

LAG_WAIT_FRACTION = 0.2
"""Fraction of the time budget in which lagging replicas are retried."""

RESTART_TIME_FRACTION = 0.5
"""Fraction of the time budget that must remain for a restart."""


def answer_deadline(timing: QueryTiming) -> float:
    """Return when the query ends with the results it has by then."""
    return timing.deadline - ANSWER_MARGIN_S


def soft_answer_deadline(timing: QueryTiming) -> float | None:
    """Return the time from which a partial answer suffices, None if never."""
    soft = timing.soft_deadline
    return None if soft is None else soft - ANSWER_MARGIN_S


def lag_retry_deadline(timing: QueryTiming) -> float:
    """Return the time until which a wrong index version is retried.

    Until then, another replica may still have the pinned version.
    """
    time_budget = timing.deadline - timing.started
    return timing.started + LAG_WAIT_FRACTION * time_budget


def restart_deadline(timing: QueryTiming) -> float:
    """Return the latest time for a restart on a newer snapshot."""
    time_budget = timing.deadline - timing.started
    return timing.deadline - RESTART_TIME_FRACTION * time_budget


def attempt_deadline(
    timing: QueryTiming, has_results: bool, now: float
) -> float | None:
    """Return the time until which an attempt sent now can be useful.

    A result after the soft deadline may not be needed. Attempts sent earlier
    therefore expire at the soft deadline; otherwise a busy searcher would run
    queued attempts whose results are discarded.

    :param has_results: True if a shard has been answered
    :returns: None if the attempt is not expected to finish in time; under
        overload this prevents most retries, each of which costs as much as a
        first attempt
    """
    hard = answer_deadline(timing)
    expected_end = now + timing.expected_s
    soft = soft_answer_deadline(timing)
    if soft is not None and now < soft:
        if expected_end <= min(soft, hard):
            return min(soft, hard)
        if has_results:
            return None
    # Without any result, the query waits past the soft deadline for one.
    return hard if expected_end <= hard else None
