"""Usual and late times of the answers to the requests of a route."""

from dataclasses import dataclass

# Before the first answers, as parts of the latency objective.
FIRST_USUAL = 0.15
FIRST_LATE = 0.35
# The late time is about this quantile of the answers.
LATE_QUANTILE = 0.95
# Step of the estimates relative to their value. A quantile estimate moves by
# the step for each answer, so that some hundred answers settle it.
STEP = 0.1
# The late time stays within these parts of the objective: sending again much
# earlier only adds load, and much later cannot meet the objective.
LEAST_LATE = 0.12
MOST_LATE = 0.45


@dataclass(frozen=True, slots=True)
class Times:
    """Times of the answers on a route, in seconds."""

    usual_s: float
    hedge_delay_s: float


def first_times(objective_s: float) -> Times:
    """Return what is assumed before the first answer."""
    return Times(objective_s * FIRST_USUAL, objective_s * FIRST_LATE)


def record_time(times: Times, took_s: float, objective_s: float) -> Times:
    """Learn from the time of an answer."""
    usual = times.usual_s * (
        1 + STEP * (0.5 if took_s > times.usual_s else -0.5)
    )
    if took_s > times.hedge_delay_s:
        late = times.hedge_delay_s * (1 + STEP * LATE_QUANTILE)
    else:
        late = times.hedge_delay_s * (1 - STEP * (1 - LATE_QUANTILE))
    late = max(late, objective_s * LEAST_LATE, usual * 1.5)
    return Times(usual, min(late, objective_s * MOST_LATE))
