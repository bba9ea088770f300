"""Requests that a stopping node receives, on a virtual clock."""

import pytest

from kumquatchuted.front.deadlines import RequestDeadlines
from kumquatchuted.front.shutdown import limit_deadlines
from kumquatchuted.front.shutdown import plan_shutdown

GRACE_S = 6.0
OBJECTIVE_S = 0.5


def admit(
    at: float, timeout_s: float, idempotent: bool
) -> RequestDeadlines | None:
    """Return the deadlines of a request that arrives after the signal.

    :param at: time since the stop signal, in seconds
    """
    plan = plan_shutdown(0.0, GRACE_S)
    deadlines = RequestDeadlines(at + 0.4, at + timeout_s)
    return limit_deadlines(plan, deadlines, idempotent, OBJECTIVE_S, at)


def test_request_that_ends_in_time_is_not_changed() -> None:
    """Guards against requests that are refused early in the grace period."""
    for idempotent in (True, False):
        assert admit(1.0, 3.0, idempotent) == RequestDeadlines(1.4, 4.0)


@pytest.mark.parametrize("idempotent", [True, False])
def test_long_request_is_answered_before_the_exit(idempotent: bool) -> None:
    """Guards against a request that is cut off without an answer.

    Its timeout is as long as the grace period.
    """
    plan = plan_shutdown(0.0, GRACE_S)
    for step in range(60):
        deadlines = admit(step * 0.1, 6.0, idempotent)
        if deadlines is not None:
            assert deadlines.deadline <= plan.answer_by < plan.exit_by
            assert deadlines.soft_deadline <= deadlines.deadline
    assert plan.exit_by < GRACE_S


def test_late_request_is_refused_before_it_runs() -> None:
    """Guards against requests that may run and get no result."""
    assert admit(4.0, 6.0, idempotent=True) is not None
    assert admit(4.9, 6.0, idempotent=True) is None


def test_at_most_once_request_keeps_its_deadline() -> None:
    """Guards against at-most-once requests that a stopping node gives up.

    One that was accepted with 1.2 s left, and whose searcher needed 1.21 s,
    was answered with a timeout, so that its caller must not send it again.
    """
    for step in range(60):
        at = step * 0.1
        deadlines = admit(at, 3.0, idempotent=False)
        assert deadlines in (None, RequestDeadlines(at + 0.4, at + 3.0)), at
    assert admit(2.4, 3.0, idempotent=False) is not None
    assert admit(2.5, 3.0, idempotent=False) is None


def test_grace_shorter_than_the_margins_refuses_everything() -> None:
    """Guards against times in the past."""
    plan = plan_shutdown(10.0, 0.1)
    assert plan.answer_by == plan.exit_by == 10.0
    deadlines = RequestDeadlines(10.1, 12.0)
    assert limit_deadlines(plan, deadlines, True, 0.1, 10.0) is None
