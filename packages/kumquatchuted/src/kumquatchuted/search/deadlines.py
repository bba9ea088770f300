"""Moments of a query after which something is no longer worth doing.

All moments are monotonic times in seconds.
"""

from kumquatchuted.search.query_events import QueryTiming

ANSWER_MARGIN_S = 0.003
"""Time kept for merging and for the way back to the caller."""

LAG_WAIT_FRACTION = 0.2
"""Part of the time budget for which a lagging replica is awaited."""

RESTART_TIME_FRACTION = 0.5
"""Fraction of the time budget that must be left for a restart."""


def answer_deadline(timing: QueryTiming) -> float:
    """Return when the query answers with whatever it has."""
    return timing.deadline - ANSWER_MARGIN_S


def soft_answer_deadline(timing: QueryTiming) -> float | None:
    """Return from when a partial answer is given, None if never."""
    soft = timing.soft_deadline
    return None if soft is None else soft - ANSWER_MARGIN_S


def lag_retry_deadline(timing: QueryTiming) -> float:
    """Return until when another replica may still have the pinned index."""
    time_budget = timing.deadline - timing.started
    return timing.started + LAG_WAIT_FRACTION * time_budget


def restart_deadline(timing: QueryTiming) -> float:
    """Return until when a query may restart on a newer snapshot."""
    time_budget = timing.deadline - timing.started
    return timing.deadline - RESTART_TIME_FRACTION * time_budget


def attempt_deadline(
    timing: QueryTiming, has_results: bool, now: float
) -> float | None:
    """Return until when an answer to an attempt sent now is used.

    Until the soft deadline nothing is known of the need for later answers.
    Without this bound, attempts that wait at a busy searcher are run and then
    thrown away.

    :param has_results: a shard has been answered
    :returns: None if the attempt could not finish in time; under overload
        most retries are of this kind and cost as much as first attempts
    """
    hard = answer_deadline(timing)
    expected_end = now + timing.expected_s
    soft = soft_answer_deadline(timing)
    if soft is not None and now < soft:
        if expected_end <= min(soft, hard):
            return min(soft, hard)
        if has_results:
            return None
    # Without a result the query waits for its first one.
    return hard if expected_end <= hard else None
