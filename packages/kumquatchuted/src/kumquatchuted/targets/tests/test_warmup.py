"""Tests of the rules by which a searcher is cold, warming or warm."""

from dataclasses import replace

import pytest

from kumquatchute_model.shards import Searcher
from kumquatchuted.targets.health import heeded
from kumquatchuted.targets.warmup import AppearsUnhealthy
from kumquatchuted.targets.warmup import ConnectionLost
from kumquatchuted.targets.warmup import Declined
from kumquatchuted.targets.warmup import Event
from kumquatchuted.targets.warmup import limit
from kumquatchuted.targets.warmup import observe
from kumquatchuted.targets.warmup import Reconnecting
from kumquatchuted.targets.warmup import Reported
from kumquatchuted.targets.warmup import Served
from kumquatchuted.targets.warmup import Unanswered
from kumquatchuted.targets.warmup import WarmupState

SEARCHER = Searcher("s1", "console", "", "h1", "north", slots=3)
SERVED = Served(0, 0.01, "i1", cold=False)


def after(warmup: WarmupState, *events: Event) -> WarmupState:
    for event in events:
        warmup = observe(warmup, event, SEARCHER)
    return warmup


WARM = after(WarmupState(), *[SERVED] * 24)


def test_limit_rises_with_every_eight_consecutive_successes():
    """Guards against a warm-up that is too fast or never ends."""
    limits = [
        limit(after(WarmupState(), *[SERVED] * count), SEARCHER)
        for count in (0, 7, 8, 15, 16, 40)
    ]
    assert limits == [1, 1, 2, 2, 3, 3]


@pytest.mark.parametrize("event", [Declined(0, "i1"), Unanswered(0, 0.1)])
def test_failure_starts_the_count_again(event):
    """Guards against a warm-up by successes between failures."""
    mixed = after(WarmupState(), *[SERVED] * 7, event, *[SERVED] * 7)
    assert limit(mixed, SEARCHER) == 1


@pytest.mark.parametrize(
    "event",
    [
        ConnectionLost(),
        AppearsUnhealthy(),
        Reconnecting(),
        replace(SERVED, incarnation="i2"),
        replace(SERVED, cold=True),
        Declined(0, "i2"),
        Declined(0, "i1", cold=True),
        Reported(0, "i2", cold=False),
        Reported(0, "i1", cold=True),
    ],
)
@pytest.mark.proves("search: send", "target cold without warning")
def test_sign_of_a_cold_start_lowers_the_limit(event):
    """Guards against full load on a searcher that has restarted."""
    assert limit(WARM, SEARCHER) == 3
    assert limit(after(WARM, event), SEARCHER) == 1


def test_old_responses_do_not_warm_up_a_cold_searcher():
    """Guards against counting what the process before has answered."""
    cold = after(WARM, ConnectionLost())
    assert after(cold, *[SERVED] * 24) == cold


def test_old_incarnation_is_no_restart():
    """Guards against a cold start for every late response."""
    new = replace(SERVED, era=1, incarnation="i2")
    warm = after(WARM, new, *[new] * 24)
    assert limit(after(warm, SERVED), SEARCHER) == 3


def test_same_incarnation_after_reconnecting_is_warm_at_once():
    """Guards against a warm-up because idle connections were closed."""
    waiting = after(WARM, Reconnecting())
    proven = after(waiting, replace(SERVED, era=waiting.era))
    assert limit(proven, SEARCHER) == 3


@pytest.mark.proves("search: send", "straggler")
def test_three_slow_responses_turn_it_cold():
    """Guards against full load on a searcher that has slowed down."""
    slow = replace(SERVED, latency_s=0.051)
    fast = replace(SERVED, latency_s=0.049)
    assert limit(after(WARM, slow, slow, fast, slow, slow), SEARCHER) == 3
    assert limit(after(WARM, slow, slow, slow), SEARCHER) == 1
    late = Unanswered(0, 0.06)
    assert limit(after(WARM, late, late, late), SEARCHER) == 1


def test_repeated_cold_report_does_not_hold_it_cold():
    """Guards against a load report that lags or is wrong for ever."""
    report = Reported(1, "i1", cold=True)
    served = replace(SERVED, era=1)
    cold = after(WARM, replace(report, era=0))
    warm = after(cold, *[served, report] * 30)
    assert limit(warm, SEARCHER) >= 2


def test_bad_health_counts_only_for_a_minority():
    """Guards against a wrong health check that takes a service down."""
    reports = {"s1": False, "s2": True, "s3": True, "s4": False}
    assert heeded(reports) == {"s1", "s4"}
    assert heeded(reports | {"s2": False}) == frozenset()
    assert heeded({"s1": False}) == frozenset()
