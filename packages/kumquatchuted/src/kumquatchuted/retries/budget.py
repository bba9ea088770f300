"""Allowance for sending a request to a second searcher.

The fleet has one limit: within a window, repeated sends to a service may be
a share of its requests plus a fixed slack. A node adds the share as requests
come and divides the slack by the number of nodes.
"""

from dataclasses import dataclass
from dataclasses import replace

# Part of the limit that this node uses. The rest covers nodes that start
# with a full allowance again after a restart within the window.
USED_SHARE = 0.6
USED_SLACK = 0.45


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limit of the fleet.

    :param ratio: repeated sends for each request
    :param slack: repeated sends beyond the ratio within the window
    """

    ratio: float
    slack: float


@dataclass(frozen=True, slots=True)
class Budget:
    """Repeated sends of one service that this node may still make."""

    tokens: float


def capacity(limits: BudgetLimits, nodes: int) -> float:
    """Return the most tokens that this node can hold."""
    return limits.slack * USED_SLACK / max(1, nodes)


def start_budget(limits: BudgetLimits, nodes: int) -> Budget:
    """Return the allowance of a node that has just started."""
    return Budget(capacity(limits, nodes))


def record_request(budget: Budget, limits: BudgetLimits, nodes: int) -> Budget:
    """Add the share of one request."""
    most = max(1.0, capacity(limits, nodes))
    tokens = min(most, budget.tokens + limits.ratio * USED_SHARE)
    return replace(budget, tokens=tokens)


def take(budget: Budget) -> Budget | None:
    """Return the allowance after a repeated send, or None if it is used."""
    if budget.tokens < 1:
        return None
    return replace(budget, tokens=budget.tokens - 1)
