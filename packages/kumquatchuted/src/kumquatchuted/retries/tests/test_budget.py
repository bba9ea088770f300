"""Allowance for repeated sends, summed over all nodes."""

import pytest

from kumquatchuted.retries import budget as bud

LIMITS = bud.BudgetLimits(ratio=0.2, slack=58)


@pytest.mark.parametrize("nodes", [1, 4, 7, 37])
def test_storm_of_failures_keeps_the_limit_of_the_fleet(nodes: int) -> None:
    """Guards against a retry storm: each request asks for one more send.

    Every node restarts once within the window, with a full allowance.
    """
    requests = 500
    repeats = 0
    for _ in range(nodes):
        for _ in range(2):
            budget = bud.start_budget(LIMITS, nodes)
            for _ in range(requests // 2):
                budget = bud.record_request(budget, LIMITS, nodes)
                taken = bud.take(budget)
                if taken is not None:
                    budget, repeats = taken, repeats + 1
    assert repeats <= LIMITS.ratio * requests * nodes + LIMITS.slack


def test_quiet_service_can_still_repeat() -> None:
    """Guards against an allowance that rounds to none at many nodes."""
    budget = bud.start_budget(LIMITS, 300)
    for _ in range(20):
        budget = bud.record_request(budget, LIMITS, 300)
    assert bud.take(budget) is not None


def test_empty_allowance_refuses() -> None:
    """Guards against a negative allowance."""
    assert bud.take(bud.Budget(0.9)) is None
