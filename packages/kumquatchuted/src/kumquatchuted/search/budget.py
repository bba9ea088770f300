"""Budget that limits hedges and retries to a fraction of the base load."""

from dataclasses import dataclass
from dataclasses import replace

STEADY_RATIO = 0.05
"""Extra attempts allowed per first attempt in the steady state."""

FAULT_RATIO = 0.10
"""Extra attempts allowed per first attempt while many attempts fail."""

FAULT_THRESHOLD = 0.05
"""Fraction of failed attempts above which the fault ratio applies."""

FAILURE_WEIGHT = 0.01
"""Weight of one attempt in the moving average of the failure rate."""

MAX_TOKENS = 10.0
"""Capacity of the token bucket, the largest burst of extra attempts.

A much larger bucket would let a short load exceed the steady ratio.
"""


@dataclass(frozen=True)
class ExtraAttemptBudget:
    """Token bucket that first attempts refill.

    :param tokens: extra attempts allowed now
    :param failures: moving average of the fraction of failed attempts;
        attempts that did not run are not counted, because otherwise overload
        would raise the ratio
    """

    tokens: float = MAX_TOKENS
    failures: float = 0.0


def record_first_attempts(
    budget: ExtraAttemptBudget, count: int
) -> ExtraAttemptBudget:
    """Add tokens for the first attempts of a query.

    :param count: first attempts that may have run; under overload these are
        far fewer than the shards
    """
    is_failing = budget.failures > FAULT_THRESHOLD
    ratio = FAULT_RATIO if is_failing else STEADY_RATIO
    tokens = min(MAX_TOKENS, budget.tokens + ratio * count)
    return replace(budget, tokens=tokens)


def record_outcomes(
    budget: ExtraAttemptBudget, answered: int, failed: int
) -> ExtraAttemptBudget:
    """Update the average of failures with the outcomes of a query.

    :param answered: attempts that gave a result
    :param failed: attempts that may have run and gave no result
    """
    total = answered + failed
    if not total:
        return budget
    decay = (1 - FAILURE_WEIGHT) ** total
    failures = budget.failures * decay + (failed / total) * (1 - decay)
    return replace(budget, failures=failures)


def take_extras(
    budget: ExtraAttemptBudget, wanted: int
) -> tuple[ExtraAttemptBudget, int]:
    """Take tokens for up to ``wanted`` extra attempts.

    :returns: the remaining budget and the number of attempts granted
    """
    granted = min(wanted, int(budget.tokens))
    return replace(budget, tokens=budget.tokens - granted), granted
