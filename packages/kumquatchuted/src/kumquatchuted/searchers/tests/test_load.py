"""Observed load of searchers and the choice that depends on it."""

import random

from kumquatchuted.searchers.choice import Candidate
from kumquatchuted.searchers.choice import choose_searcher
from kumquatchuted.searchers.latency import initial_latency
from kumquatchuted.searchers.latency import record_latency
from kumquatchuted.searchers import load as searcher_load

MEDIAN_S = 0.02


def choice_of_two(
    local: searcher_load.Load, remote: searcher_load.Load, now: float = 10.0
) -> str | None:
    """Return which of two searchers gets the next attempt.

    :returns: ``local``, ``remote``, or None if neither is chosen
    """
    candidate = choose_searcher(
        (
            Candidate("local", 2, True, local),
            Candidate("remote", 2, False, remote),
        ),
        MEDIAN_S,
        now,
        random.Random(1).random,
    )
    return None if candidate is None else candidate.name


def test_local_searcher_is_preferred_while_both_are_healthy() -> None:
    """Guards against needless traffic between data centres.

    Two searchers with equal loads differ only by the random part of the cost.
    """
    assert choice_of_two(searcher_load.Load(), searcher_load.Load()) == "local"


def test_slow_searcher_is_not_chosen() -> None:
    """Guards against a slow searcher that delays each query.

    A query over all shards takes as long as its slowest shard, so a slow local
    searcher costs more than a remote one.
    """
    slow = searcher_load.Load()
    for _ in range(4):
        slow = searcher_load.record_response(
            slow, 8 * MEDIAN_S, MEDIAN_S, 10.0
        )
    assert choice_of_two(slow, searcher_load.Load()) == "remote"


def test_slow_searcher_is_chosen_again_later() -> None:
    """Guards against a searcher that gets no work after a slow period.

    Without attempts there are no responses that show that it is fast again,
    so its average must decay with time.
    """
    slow = searcher_load.record_response(
        searcher_load.Load(), 20 * MEDIAN_S, MEDIAN_S, 10.0
    )
    assert choice_of_two(slow, searcher_load.Load(), 10.1) == "remote"
    assert choice_of_two(slow, searcher_load.Load(), 30.0) == "local"


def test_overdue_attempt_counts_before_its_response() -> None:
    """Guards against more attempts on a searcher that pauses for 150 ms.

    The latency average shows a pause only with the delayed response, when the
    attempts sent meanwhile are delayed too.
    """
    paused = searcher_load.start_attempt(searcher_load.Load(), 10.0)
    assert choice_of_two(paused, searcher_load.Load(), 10.01) == "local"
    assert choice_of_two(paused, searcher_load.Load(), 10.12) == "remote"


def test_searcher_that_fails_half_of_its_requests_is_avoided() -> None:
    """Guards against a failing searcher that keeps its share of attempts.

    Its health check passes and its failures are fast, so neither its entry in
    the store nor its latency shows the fault.
    """
    flaky = searcher_load.Load()
    for turn in range(6):
        if turn % 2:
            flaky = searcher_load.record_response(
                flaky, MEDIAN_S, MEDIAN_S, 10.0
            )
        else:
            flaky = searcher_load.record_failure(flaky, 10.0)
    flaky = searcher_load.record_failure(flaky, 10.0)
    assert choice_of_two(flaky, searcher_load.Load()) == "remote"


def test_unreachable_searcher_is_avoided_for_a_bounded_time() -> None:
    """Guards against attempts that each wait for an unreachable searcher.

    The backoff is bounded, so that the searcher gets requests soon after it
    can be reached again.
    """
    unreachable = searcher_load.record_connection_failure(
        searcher_load.Load(), 10.0
    )
    assert choice_of_two(unreachable, unreachable, 10.01) is None
    assert (
        choice_of_two(
            unreachable,
            searcher_load.Load(),
            10.0 + searcher_load.FIRST_BACKOFF_S,
        )
        == "remote"
    )
    for _ in range(20):
        unreachable = searcher_load.record_connection_failure(
            unreachable, 10.0
        )
    assert unreachable.avoided_until <= 10.0 + searcher_load.MAX_BACKOFF_S


def test_attempts_of_other_nodes_count() -> None:
    """Guards against a searcher that several nodes overload together.

    Each node counts only its own attempts; the load report includes all.
    """
    report = searcher_load.LoadReport(
        running=2, waiting=6, received_at=10.0, own_attempts=0
    )
    busy = searcher_load.record_report(searcher_load.Load(), report)
    assert choice_of_two(busy, searcher_load.Load(), 10.1) == "remote"
    assert choice_of_two(busy, searcher_load.Load(), 12.0) == "local"


def test_hedge_delay_settles_at_a_high_quantile() -> None:
    """Guards against hedges of requests that are not slow.

    Such hedges add load and use up the retry budget. At the 95th percentile
    about 5 % of the responses take longer than the hedge delay.
    """
    rng = random.Random(7)
    objective_s = 0.145
    latency = initial_latency(objective_s)
    exceeded_count = 0
    for number in range(4000):
        elapsed_s = rng.lognormvariate(-3.9, 0.35)
        if number >= 2000:
            exceeded_count += elapsed_s > latency.hedge_delay_s
        latency = record_latency(latency, elapsed_s, objective_s)
    assert 0.02 <= exceeded_count / 2000 <= 0.10
