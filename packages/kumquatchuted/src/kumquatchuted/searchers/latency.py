"""Usual and late times of the answers to the requests of a route."""

from dataclasses import dataclass

# Before the first answers, as parts of the latency objective.
INITIAL_MEDIAN_SHARE = 0.15
INITIAL_HEDGE_SHARE = 0.35
# The late time is about this quantile of the answers.
HEDGE_QUANTILE = 0.95
# Step of the estimates relative to their value. A quantile estimate moves by
# the step for each answer, so that some hundred answers settle it.
STEP = 0.1
# The late time stays within these parts of the objective: sending again much
# earlier only adds load, and much later cannot meet the objective.
MIN_HEDGE_SHARE = 0.12
MAX_HEDGE_SHARE = 0.45


@dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """Times of the answers on a route, in seconds."""

    median_s: float
    hedge_delay_s: float


def initial_latency(objective_s: float) -> LatencyEstimate:
    """Return what is assumed before the first answer."""
    return LatencyEstimate(
        objective_s * INITIAL_MEDIAN_SHARE, objective_s * INITIAL_HEDGE_SHARE
    )


def record_latency(
    latency: LatencyEstimate, elapsed_s: float, objective_s: float
) -> LatencyEstimate:
    """Learn from the time of an answer."""
    median_s = latency.median_s * (
        1 + STEP * (0.5 if elapsed_s > latency.median_s else -0.5)
    )
    if elapsed_s > latency.hedge_delay_s:
        hedge_delay_s = latency.hedge_delay_s * (1 + STEP * HEDGE_QUANTILE)
    else:
        hedge_delay_s = latency.hedge_delay_s * (
            1 - STEP * (1 - HEDGE_QUANTILE)
        )
    hedge_delay_s = max(
        hedge_delay_s, objective_s * MIN_HEDGE_SHARE, median_s * 1.5
    )
    return LatencyEstimate(
        median_s, min(hedge_delay_s, objective_s * MAX_HEDGE_SHARE)
    )
