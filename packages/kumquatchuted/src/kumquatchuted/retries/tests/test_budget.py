"""Retry budgets, summed over all nodes."""

import pytest

from kumquatchuted.retries import budget as retry_budget

LIMITS = retry_budget.BudgetLimits(ratio=0.2, slack=58, window_s=10.0)
STEP_S = 0.02


def simulate_retries(
    nodes: int, requests_per_s: float, duration_s: float, restart_at: float
) -> list[float]:
    """Return the times of retries if each request of a node needs one.

    :param nodes: number of nodes that share the limits
    :param requests_per_s: rate of the requests of this node
    :param duration_s: length of the simulation in seconds
    :param restart_at: when the node restarts with a new budget, in seconds
    :returns: seconds since the start of the simulation
    """
    budget = retry_budget.initial_budget(LIMITS, 1 / nodes, 0.0)
    retried_at, unsent_requests, restarted = [], 0.0, False
    for step in range(int(duration_s / STEP_S)):
        now = step * STEP_S
        if now >= restart_at and not restarted:
            budget, restarted = (
                retry_budget.initial_budget(LIMITS, 1 / nodes, now),
                True,
            )
        budget = retry_budget.refill(budget, LIMITS, 1 / nodes, now)
        unsent_requests += requests_per_s * STEP_S
        while unsent_requests >= 1:
            unsent_requests -= 1
            budget = retry_budget.record_request(budget, LIMITS, 1 / nodes)
            remaining = retry_budget.take_token(budget)
            if remaining is not None:
                budget = remaining
                retried_at.append(now)
    return retried_at


@pytest.mark.parametrize("nodes", [1, 4, 7, 37])
@pytest.mark.parametrize("requests_per_s", [1.0, 11.0, 45.0])
def test_retry_storm_stays_within_the_limit_of_all_nodes(
    nodes: int, requests_per_s: float
) -> None:
    """Guards against a retry storm that overloads the searchers.

    Each request needs one more attempt, and every node restarts once and gets
    a new budget.
    """
    limit = LIMITS.ratio * requests_per_s * LIMITS.window_s + LIMITS.slack
    for restart_at in (2.0, 8.0, 15.0):
        retried_at = simulate_retries(
            nodes, requests_per_s / nodes, 30.0, restart_at
        )
        for start in retried_at:
            sent_in_window = sum(
                start <= at < start + 10.0 for at in retried_at
            )
            assert sent_in_window * nodes <= limit


def test_slack_is_refilled_during_a_long_disturbance() -> None:
    """Guards against slack that is used once and never refilled.

    On day trouble-1 of the grown Hifazat site searchers lost a part of their
    responses for 4 s. Queries failed because no retry was allowed, although
    all nodes together had used half of the limit.
    """
    retried_at = simulate_retries(
        nodes=36, requests_per_s=0.6, duration_s=30.0, restart_at=99
    )
    first_window = sum(at < 10.0 for at in retried_at)
    last_window = sum(at >= 20.0 for at in retried_at)
    assert last_window >= 0.5 * first_window


def test_service_with_few_requests_can_still_retry() -> None:
    """Guards against queries that fail because no retry is ever allowed.

    With 300 nodes the part of the slack of one node is below one token.
    """
    budget = retry_budget.initial_budget(LIMITS, 1 / 300, 0.0)
    for _ in range(20):
        budget = retry_budget.record_request(budget, LIMITS, 1 / 300)
    assert retry_budget.take_token(budget) is not None


def test_budget_below_one_token_allows_no_retry() -> None:
    """Guards against retries beyond the limit of all nodes.

    If a fraction of a token allowed a retry, each node would send one more
    than its budget, which would become negative.
    """
    assert retry_budget.take_token(retry_budget.Budget(0.9, 0.0)) is None
