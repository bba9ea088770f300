"""What a node learns of a searcher, and the choice that follows."""

import random

from kumquatchuted.searchers.choice import Candidate
from kumquatchuted.searchers.choice import choose
from kumquatchuted.searchers import load as ld
from kumquatchuted.searchers.times import first_times
from kumquatchuted.searchers.times import record_time

USUAL_S = 0.02


def chosen(near: ld.Load, far: ld.Load, now: float = 10.0) -> str | None:
    """Return which of two searchers gets the next attempt."""
    candidate = choose(
        (Candidate("near", 2, True, near), Candidate("far", 2, False, far)),
        USUAL_S,
        now,
        random.Random(1).random,
    )
    return None if candidate is None else candidate.name


def test_near_searcher_is_preferred_while_both_are_well() -> None:
    """Guards against traffic between data centres without a reason."""
    assert chosen(ld.Load(), ld.Load()) == "near"


def test_slow_searcher_gets_no_new_work() -> None:
    """Guards against a slow searcher that delays each query."""
    slow = ld.Load()
    for _ in range(4):
        slow = ld.record_answer(slow, 8 * USUAL_S, USUAL_S, 10.0)
    assert chosen(slow, ld.Load()) == "far"


def test_slow_searcher_is_tried_again_later() -> None:
    """Guards against a searcher that never gets work after a slow phase."""
    slow = ld.record_answer(ld.Load(), 20 * USUAL_S, USUAL_S, 10.0)
    assert chosen(slow, ld.Load(), 10.1) == "far"
    assert chosen(slow, ld.Load(), 30.0) == "near"


def test_overdue_attempt_shows_a_pause_before_its_answer() -> None:
    """Guards against work for a searcher that pauses for 150 ms."""
    paused = ld.start_attempt(ld.Load(), 10.0)
    assert chosen(paused, ld.Load(), 10.01) == "near"
    assert chosen(paused, ld.Load(), 10.12) == "far"


def test_searcher_that_fails_half_of_its_requests_is_avoided() -> None:
    """Guards against a searcher whose health check is good."""
    grey = ld.Load()
    for turn in range(6):
        if turn % 2:
            grey = ld.record_answer(grey, USUAL_S, USUAL_S, 10.0)
        else:
            grey = ld.record_failure(grey, 10.0)
    grey = ld.record_failure(grey, 10.0)
    assert chosen(grey, ld.Load()) == "far"


def test_unreachable_searcher_rests_before_the_next_attempt() -> None:
    """Guards against attempts that each wait for a dead searcher."""
    broken = ld.record_broken(ld.Load(), 10.0)
    assert chosen(broken, broken, 10.01) is None
    assert chosen(broken, ld.Load(), 10.0 + ld.FIRST_PAUSE_S) == "far"
    for _ in range(20):
        broken = ld.record_broken(broken, 10.0)
    assert broken.closed_until <= 10.0 + ld.MAX_PAUSE_S


def test_work_of_other_nodes_counts() -> None:
    """Guards against nodes that each see an idle searcher and fill it."""
    report = ld.LoadReport(running=2, waiting=6, at=10.0, own=0)
    busy = ld.record_report(ld.Load(), report)
    assert chosen(busy, ld.Load(), 10.1) == "far"
    assert chosen(busy, ld.Load(), 12.0) == "near"


def test_late_time_settles_at_a_high_quantile() -> None:
    """Guards against second attempts for answers that are not late."""
    rng = random.Random(7)
    objective_s = 0.145
    times = first_times(objective_s)
    late = 0
    for number in range(4000):
        took_s = rng.lognormvariate(-3.9, 0.35)
        if number >= 2000:
            late += took_s > times.hedge_delay_s
        times = record_time(times, took_s, objective_s)
    assert 0.02 <= late / 2000 <= 0.10
