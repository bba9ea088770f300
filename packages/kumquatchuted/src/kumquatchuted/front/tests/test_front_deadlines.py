"""Deadlines for sending the answer to a request."""

import pytest

from kumquatchuted.front.deadlines import CONNECT_S
from kumquatchuted.front.deadlines import plan_deadlines


def test_answer_is_planned_within_objective_and_timeout() -> None:
    """Guards against an answer that times out in transit to the caller.

    The caller counts the transit time too, but the node cannot measure it.
    """
    deadlines = plan_deadlines(10.0, 0.145, 0.8, 0.8, 0.8)
    assert 10.0 < deadlines.soft_deadline < 10.145
    assert deadlines.soft_deadline < deadlines.deadline < 10.8


def test_later_attempt_of_a_caller_has_less_time() -> None:
    """Guards against an objective that restarts with a later attempt.

    The caller measures its latency from the first attempt. If the second one
    had the full time, its answer would miss the objective.
    """
    first = plan_deadlines(10.0, 0.145, 0.8, 0.8, 0.8)
    second = plan_deadlines(10.0, 0.145, 0.8, 0.75, 0.8)
    assert first.soft_deadline - second.soft_deadline == pytest.approx(0.05)


def test_route_timeout_limits_a_longer_caller_timeout() -> None:
    """Guards against a request that outlives the timeout of its route.

    A caller can state a longer timeout or none.
    """
    deadlines = plan_deadlines(10.0, 0.1, 0.5, 30.0, 30.0)
    assert deadlines.deadline < 10.5
    assert plan_deadlines(10.0, 0.1, 0.5, None, 0.0).deadline < 10.5


def test_soft_deadline_is_never_after_the_deadline() -> None:
    """Guards against a query that waits for shards until the caller is gone.

    With an objective that is longer than the timeout, the soft deadline would
    be after the deadline.
    """
    deadlines = plan_deadlines(10.0, 2.0, 0.5, 0.2, 0.2)
    assert deadlines.soft_deadline <= deadlines.deadline


def test_answer_on_a_new_connection_leaves_earlier() -> None:
    """Guards against answers that just miss the objective.

    The caller counts the time in which it opened the connection. On quiet-1 of
    the large Peachline site, 40 of 131 short queries were late by a few
    milliseconds; the node had waited for a missing shard as long as on an open
    connection.
    """
    kept = plan_deadlines(10.0, 0.0695, 0.3, 0.3, 0.3)
    opened = plan_deadlines(10.0, 0.0695, 0.3, 0.3, 0.3, True)
    assert kept.soft_deadline - opened.soft_deadline == pytest.approx(
        CONNECT_S
    )
    assert kept.deadline == opened.deadline
