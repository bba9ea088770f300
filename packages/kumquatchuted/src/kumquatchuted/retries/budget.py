"""Retry budget: a token bucket for sending a request once more.

The limit of a service holds for all nodes together: in each window they may
send as many retries as a ratio of its requests plus a fixed slack. A node adds
tokens to its bucket with each request, according to the ratio, and over time,
according to its share of the slack. A node starts with few tokens, so that
restarts of nodes hardly add to them.
"""

from dataclasses import dataclass
from dataclasses import replace

# Shares of the limits that the nodes use: of the ratio, of the slack as the
# capacity of their buckets, as their refill per window, and as the tokens of a
# node that starts. The rest covers a second start of all nodes within the
# window, and nodes with an old list of the others.
RATIO_SHARE = 0.6
BURST_SHARE = 0.35
REFILL_SHARE = 0.4
INITIAL_SHARE = 0.1


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


def initial_budget(limits: BudgetLimits, share: float, now: float) -> Budget:
    """Return the budget of a node at its start.

    :param share: this node's share of the slack, from 0 to 1
    :param now: monotonic time in seconds
    """
    return Budget(limits.slack * INITIAL_SHARE * share, now)


def refill(
    budget: Budget, limits: BudgetLimits, share: float, now: float
) -> Budget:
    """Return the budget with the slack of the time since the last refill.

    :param share: this node's share of the slack, from 0 to 1
    :param now: monotonic time in seconds
    """
    elapsed_s = max(0.0, now - budget.refilled_at)
    tokens_per_s = limits.slack * REFILL_SHARE * share / limits.window_s
    tokens = min(
        _max_tokens(limits, share), budget.tokens + elapsed_s * tokens_per_s
    )
    return Budget(tokens, now)


def record_request(
    budget: Budget, limits: BudgetLimits, share: float
) -> Budget:
    """Return the budget with the tokens that one request adds.

    :param share: this node's share of the slack, from 0 to 1
    """
    tokens = budget.tokens + limits.ratio * RATIO_SHARE
    return replace(budget, tokens=min(_max_tokens(limits, share), tokens))


def take_token(budget: Budget) -> Budget | None:
    """Return the budget after a retry, or None if it is used up."""
    if budget.tokens < 1:
        return None
    return replace(budget, tokens=budget.tokens - 1)


def _max_tokens(limits: BudgetLimits, share: float) -> float:
    """Return the capacity of the bucket, at least one token.

    With many nodes a node's share of the slack is below one token, and a
    bucket of that capacity would never allow a retry.
    """
    return max(1.0, limits.slack * BURST_SHARE * share)
