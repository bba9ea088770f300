"""Estimates of the latency of the requests of a route."""

from dataclasses import dataclass

# Estimated median and hedge delay before the first response, as shares of the
# latency objective.
INITIAL_MEDIAN_SHARE = 0.15
INITIAL_HEDGE_SHARE = 0.35
# The hedge delay follows this quantile of the latency.
HEDGE_QUANTILE = 0.95
# Scales the change of an estimate by one response, relative to its value. With
# this step the estimates settle after a few hundred responses.
STEP = 0.1
# Bounds of the hedge delay, as shares of the objective. A much earlier hedge
# only adds load, and a much later one cannot meet the objective.
MIN_HEDGE_SHARE = 0.12
MAX_HEDGE_SHARE = 0.45


@dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """Estimated latency of a route.

    :param median_s: median in seconds
    :param hedge_delay_s: time after which a request is hedged, in seconds
    """

    median_s: float
    hedge_delay_s: float


def initial_latency(objective_s: float) -> LatencyEstimate:
    """Return the estimate before the first response.

    :param objective_s: latency objective of the route in seconds
    """
    return LatencyEstimate(
        objective_s * INITIAL_MEDIAN_SHARE, objective_s * INITIAL_HEDGE_SHARE
    )


def record_latency(
    latency: LatencyEstimate, elapsed_s: float, objective_s: float
) -> LatencyEstimate:
    """Return the estimate after one more response.

    A response above an estimate raises it and one below lowers it, by steps
    whose ratio makes the estimate settle at its quantile.

    :param elapsed_s: latency of the response in seconds
    :param objective_s: latency objective of the route in seconds
    """
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
