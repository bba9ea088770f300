"""Allowance for sending a request to a second searcher.

The fleet has one limit: within a window, repeated sends to a service may be
a share of its requests plus a fixed slack. A node adds the share as requests
come, and its part of the slack as time passes.
"""

from dataclasses import dataclass
from dataclasses import replace

# Parts of the limit that this node uses: of the share of requests, of the
# slack at once, and of the slack in each further window. Their sum leaves
# room for a node that starts with a new allowance within the window.
RATIO_SHARE = 0.6
BURST_SHARE = 0.3
REFILL_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limit of the fleet.

    :param ratio: repeated sends for each request
    :param slack: repeated sends beyond the ratio within the window
    :param window_s: length of the window, in seconds
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(frozen=True, slots=True)
class Budget:
    """Repeated sends of one service that this node may still make.

    :param filled_at: monotonic time of the last refill, in seconds
    """

    tokens: float
    refilled_at: float


def initial_budget(limits: BudgetLimits, nodes: int, now: float) -> Budget:
    """Return the allowance of a node that has just started."""
    return Budget(limits.slack * BURST_SHARE / max(1, nodes), now)


def refill(
    budget: Budget, limits: BudgetLimits, nodes: int, now: float
) -> Budget:
    """Add this node's part of the slack for the time that has passed."""
    elapsed_s = max(0.0, now - budget.refilled_at)
    tokens_per_s = (
        limits.slack * REFILL_SHARE / max(1, nodes) / limits.window_s
    )
    tokens = min(
        _max_tokens(limits, nodes), budget.tokens + elapsed_s * tokens_per_s
    )
    return Budget(tokens, now)


def record_request(budget: Budget, limits: BudgetLimits, nodes: int) -> Budget:
    """Add the share of one request."""
    tokens = budget.tokens + limits.ratio * RATIO_SHARE
    return replace(budget, tokens=min(_max_tokens(limits, nodes), tokens))


def take_token(budget: Budget) -> Budget | None:
    """Return the allowance after a repeated send, or None if it is used."""
    if budget.tokens < 1:
        return None
    return replace(budget, tokens=budget.tokens - 1)


def _max_tokens(limits: BudgetLimits, nodes: int) -> float:
    """Return the most tokens that this node holds; one must be possible."""
    return max(1.0, limits.slack * BURST_SHARE / max(1, nodes))
