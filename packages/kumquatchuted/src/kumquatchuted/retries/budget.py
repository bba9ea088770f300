"""Retry budget: a token bucket for sending a request once more.

The limit of a service holds for all nodes together: in each window they may
send as many retries as a ratio of its requests plus a fixed slack. A node adds
tokens to its bucket with each request, according to the ratio, and over time,
according to its part of the slack.
"""

from dataclasses import dataclass
from dataclasses import replace

# Shares of the limits that the nodes use: of the ratio, of the slack as the
# capacity of their buckets, and of the slack as their refill per window. The
# rest covers nodes that restart with a new budget within the window.
RATIO_SHARE = 0.6
BURST_SHARE = 0.3
REFILL_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits for all nodes together.

    :param ratio: retries per request
    :param slack: retries beyond the ratio within the window
    :param window_s: length of the window in seconds
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(frozen=True, slots=True)
class Budget:
    """Retries of one service that this node may still send.

    :param tokens: number of retries; a fraction allows none
    :param refilled_at: monotonic time of the last refill, in seconds
    """

    tokens: float
    refilled_at: float


def initial_budget(limits: BudgetLimits, nodes: int, now: float) -> Budget:
    """Return the budget of a node at its start.

    :param nodes: number of nodes that share the limits
    :param now: monotonic time in seconds
    """
    return Budget(limits.slack * BURST_SHARE / max(1, nodes), now)


def refill(
    budget: Budget, limits: BudgetLimits, nodes: int, now: float
) -> Budget:
    """Return the budget with the slack of the time since the last refill.

    :param nodes: number of nodes that share the limits
    :param now: monotonic time in seconds
    """
    elapsed_s = max(0.0, now - budget.refilled_at)
    tokens_per_s = (
        limits.slack * REFILL_SHARE / max(1, nodes) / limits.window_s
    )
    tokens = min(
        _max_tokens(limits, nodes), budget.tokens + elapsed_s * tokens_per_s
    )
    return Budget(tokens, now)


def record_request(budget: Budget, limits: BudgetLimits, nodes: int) -> Budget:
    """Return the budget with the tokens that one request adds."""
    tokens = budget.tokens + limits.ratio * RATIO_SHARE
    return replace(budget, tokens=min(_max_tokens(limits, nodes), tokens))


def take_token(budget: Budget) -> Budget | None:
    """Return the budget after a retry, or None if it is used up."""
    if budget.tokens < 1:
        return None
    return replace(budget, tokens=budget.tokens - 1)


def _max_tokens(limits: BudgetLimits, nodes: int) -> float:
    """Return the capacity of the bucket, at least one token.

    With many nodes a node's part of the slack is below one token, and a bucket
    of that capacity would never allow a retry.
    """
    return max(1.0, limits.slack * BURST_SHARE / max(1, nodes))
