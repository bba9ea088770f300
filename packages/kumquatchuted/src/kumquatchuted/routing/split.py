"""Distribution of the requests of a route over weighted services."""

from dataclasses import dataclass

from kumquatchuted.routing.messages import WeightedService


@dataclass(frozen=True, slots=True)
class SplitState:
    """State of the smooth weighted round robin.

    :param credits: credit of each service, in the order of ``services``
    """

    services: tuple[WeightedService, ...]
    credits: tuple[float, ...]


def initial_split(services: tuple[WeightedService, ...]) -> SplitState:
    """Return the state before the first request."""
    return SplitState(services, (0.0,) * len(services))


def next_service(state: SplitState) -> tuple[SplitState, str]:
    """Choose the service of the next request.

    Smooth weighted round robin: each service gains its weight and the
    chosen one pays the sum of the weights. The proportions then hold in
    any run of requests, which a random choice would miss on a route with
    few requests.
    """
    total_weight = sum(item.weight for item in state.services)
    credits = [
        credit + item.weight
        for credit, item in zip(state.credits, state.services)
    ]
    chosen = max(range(len(credits)), key=credits.__getitem__)
    credits[chosen] -= total_weight
    return (
        SplitState(state.services, tuple(credits)),
        state.services[chosen].service,
    )
