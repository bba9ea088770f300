"""Distribution of the requests of a route over weighted services."""

from dataclasses import dataclass

from kumquatchuted.routing.messages import WeightedService


@dataclass(frozen=True, slots=True)
class SplitState:
    """State of the smooth weighted round robin.

    :param credits: credit of each service, in the order of ``services``; the
        service with the greatest one is chosen next
    """

    services: tuple[WeightedService, ...]
    credits: tuple[float, ...]


def initial_split(services: tuple[WeightedService, ...]) -> SplitState:
    """Return the state before the first request."""
    return SplitState(services, (0.0,) * len(services))


def next_service(state: SplitState) -> tuple[SplitState, str]:
    """Choose the service of the next request.

    Smooth weighted round robin: the weight of each service is added to its
    credit, and the sum of the weights is subtracted from the credit of the
    chosen one. The proportions then hold in any run of requests; a random
    choice would deviate from them on a route with few requests.
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
