"""Budget that bounds hedges and retries as a fraction of base load."""

from dataclasses import dataclass
from dataclasses import replace

STEADY_RATIO = 0.05
"""Extra attempts allowed per first attempt in the steady state."""

FAULT_RATIO = 0.10
"""Extra attempts allowed per first attempt while many attempts fail."""

FAULT_THRESHOLD = 0.05
"""Fraction of failed attempts above which the fault ratio applies."""

FAILURE_WEIGHT = 0.01
"""Weight of one attempt in the moving average of failures."""

MAX_TOKENS = 10.0
"""Extra attempts that can be saved up for a burst.

Many more would let a short load exceed the steady ratio.
"""


@dataclass(frozen=True)
class ExtraAttemptBudget:
    """Token bucket that is filled by first attempts.

    :param tokens: extra attempts allowed now
    :param failures: moving average of the fraction of failed attempts; a
        refusal without a run is none, or overload would raise the ratio
    """

    tokens: float = MAX_TOKENS
    failures: float = 0.0


def record_first_attempts(
    budget: ExtraAttemptBudget, count: int
) -> ExtraAttemptBudget:
    """Add what the first attempts of a query earn.

    :param count: first attempts that may have reached a searcher; under
        overload they are far fewer than the shards
    """
    is_failing = budget.failures > FAULT_THRESHOLD
    ratio = FAULT_RATIO if is_failing else STEADY_RATIO
    tokens = min(MAX_TOKENS, budget.tokens + ratio * count)
    return replace(budget, tokens=tokens)


def record_outcomes(
    budget: ExtraAttemptBudget, answered: int, failed: int
) -> ExtraAttemptBudget:
    """Move the average of failures by the outcomes of a query."""
    total = answered + failed
    if not total:
        return budget
    decay = (1 - FAILURE_WEIGHT) ** total
    failures = budget.failures * decay + (failed / total) * (1 - decay)
    return replace(budget, failures=failures)


def take_extras(
    budget: ExtraAttemptBudget, wanted: int
) -> tuple[ExtraAttemptBudget, int]:
    """Take up to ``wanted`` extra attempts.

    :returns: the budget left, and the number granted
    """
    granted = min(wanted, int(budget.tokens))
    return replace(budget, tokens=budget.tokens - granted), granted
