"""Tests of the limit of a searcher through cold start and warm-up."""

from dataclasses import replace

import pytest

from kumquatchute_model.shards import Searcher
from kumquatchuted.targets.health import credible_unhealthy
from kumquatchuted.targets.warmup import AppearsUnhealthy
from kumquatchuted.targets.warmup import AttemptCompleted
from kumquatchuted.targets.warmup import AttemptRejected
from kumquatchuted.targets.warmup import AttemptTimedOut
from kumquatchuted.targets.warmup import AttemptUnproven
from kumquatchuted.targets.warmup import ConnectionLost
from kumquatchuted.targets.warmup import Event
from kumquatchuted.targets.warmup import limit
from kumquatchuted.targets.warmup import LoadReported
from kumquatchuted.targets.warmup import observe
from kumquatchuted.targets.warmup import Reconnecting
from kumquatchuted.targets.warmup import WarmupState

SEARCHER = Searcher("s1", "console", "", "h1", "north", slots=3)
COMPLETED = AttemptCompleted(0, 0.01, "i1", cold=False)


def state_after(warmup: WarmupState, *events: Event) -> WarmupState:
    for event in events:
        warmup = observe(warmup, event, SEARCHER)
    return warmup


WARM_STATE = state_after(WarmupState(), *[COMPLETED] * 24)


def test_limit_rises_with_every_eight_consecutive_successes():
    """Guards against a warm-up that is too fast or never completes.

    A cold searcher would be overloaded, or a warm one hardly used.
    """
    limits = [
        limit(state_after(WarmupState(), *[COMPLETED] * count), SEARCHER)
        for count in (0, 7, 8, 15, 16, 40)
    ]
    assert limits == [1, 1, 2, 2, 3, 3]


@pytest.mark.parametrize(
    "event",
    [AttemptRejected(0, "i1"), AttemptTimedOut(0, 0.1), AttemptUnproven(0)],
)
def test_failure_restarts_the_success_count(event):
    """Guards against counting successes that are not consecutive.

    A searcher that fails now and then would get more load.
    """
    interrupted = state_after(
        WarmupState(), *[COMPLETED] * 7, event, *[COMPLETED] * 7
    )
    assert limit(interrupted, SEARCHER) == 1


@pytest.mark.parametrize(
    "event",
    [
        ConnectionLost(),
        AppearsUnhealthy(),
        Reconnecting(),
        replace(COMPLETED, incarnation="i2"),
        replace(COMPLETED, cold=True),
        AttemptRejected(0, "i2"),
        AttemptRejected(0, "i1", cold=True),
        LoadReported(0, "i2", cold=False),
        LoadReported(0, "i1", cold=True),
    ],
)
@pytest.mark.proves("search: send", "target cold without warning")
def test_sign_of_a_cold_start_lowers_the_limit(event):
    """Guards against full load on a searcher that has restarted.

    Any one of these events may be the only sign of the restart.
    """
    assert limit(WARM_STATE, SEARCHER) == 3
    assert limit(state_after(WARM_STATE, event), SEARCHER) == 1


def test_unproven_response_does_not_show_which_process_runs():
    """Guards against full load on a searcher whose process is not known.

    A response that belongs to no known request may be that of another process.
    """
    unverified = state_after(WARM_STATE, Reconnecting())
    generation = unverified.generation
    after = state_after(unverified, AttemptUnproven(generation))
    assert limit(after, SEARCHER) == 1


def test_old_responses_do_not_warm_up_a_cold_searcher():
    """Guards against counting responses of the previous process.

    Attempts sent before the connection was lost are answered after it.
    """
    cold = state_after(WARM_STATE, ConnectionLost())
    assert state_after(cold, *[COMPLETED] * 24) == cold


def test_response_of_an_old_incarnation_is_no_restart():
    """Guards against turning cold on responses of the old process.

    A late response arrives after the new process has warmed up.
    """
    new = replace(COMPLETED, generation=1, incarnation="i2")
    warmed = state_after(WARM_STATE, new, *[new] * 24)
    assert limit(state_after(warmed, COMPLETED), SEARCHER) == 3


def test_same_incarnation_after_reconnecting_is_warm_at_once():
    """Guards against a new warm-up when only idle connections closed.

    The first response on a new connection names the same process.
    """
    reconnecting = state_after(WARM_STATE, Reconnecting())
    verified = state_after(
        reconnecting, replace(COMPLETED, generation=reconnecting.generation)
    )
    assert limit(verified, SEARCHER) == 3


@pytest.mark.proves("search: send", "straggler")
def test_three_slow_responses_turn_the_searcher_cold():
    """Guards against full load on a searcher that has slowed down.

    Three consecutive attempts take more than five times the median, whether
    they end with a response or a timeout.
    """
    slow = replace(COMPLETED, latency_s=0.051)
    fast = replace(COMPLETED, latency_s=0.049)
    assert (
        limit(state_after(WARM_STATE, slow, slow, fast, slow, slow), SEARCHER)
        == 3
    )
    assert limit(state_after(WARM_STATE, slow, slow, slow), SEARCHER) == 1
    timed_out = AttemptTimedOut(0, 0.06)
    assert (
        limit(
            state_after(WARM_STATE, timed_out, timed_out, timed_out), SEARCHER
        )
        == 1
    )


def test_repeated_cold_report_does_not_prevent_the_warm_up():
    """Guards against a stale or wrong report that keeps a searcher cold.

    The report says cold again and again while attempts succeed.
    """
    report = LoadReported(1, "i1", cold=True)
    completed = replace(COMPLETED, generation=1)
    cold = state_after(WARM_STATE, replace(report, generation=0))
    warmed = state_after(cold, *[completed, report] * 30)
    assert limit(warmed, SEARCHER) >= 2


def test_bad_health_counts_only_for_a_minority():
    """Guards against a faulty health check that turns a service cold.

    If more than half of its searchers appear unhealthy at once, the check is
    more likely faulty than so many searchers.
    """
    reports = {"s1": False, "s2": True, "s3": True, "s4": False}
    assert credible_unhealthy(reports) == {"s1", "s4"}
    assert credible_unhealthy(reports | {"s2": False}) == frozenset()
    assert credible_unhealthy({"s1": False}) == frozenset()
