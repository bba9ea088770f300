"""Choice of the searcher that receives a submission."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Searcher
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Placement
from kumquatchuted.tickets.messages import View

OwnerLookup = Callable[[Placement, str], Member | None]


@dataclass(frozen=True)
class RoutingState:
    """State of the node that the choice of a searcher depends on.

    :param current_until: monotonic time in seconds until which the node is
        current
    """

    catalog: Catalog
    view: View
    placement: Placement
    current_until: float


@dataclass(frozen=True)
class OwnedSearcher:
    """A searcher and the node that owns it and sends to it."""

    searcher: str
    node: str


def choose_searcher(
    service: str,
    routing: RoutingState,
    find_owner: OwnerLookup,
    rng: Random,
    now: float,
) -> OwnedSearcher | Failure:
    """Choose at random one of the searchers that may receive new work.

    They are in service, not leaving, and have an owner.

    :param find_owner: returns the member that owns a searcher, None if no
        member does
    :param now: monotonic time in seconds
    :returns: the searcher, or why none may receive new work
    """
    if now >= routing.current_until:
        return _not_run_failure(
            ErrorKind.NOT_CURRENT, "this node is not current"
        )
    listed = [
        searcher
        for searcher in routing.catalog.searchers.values()
        if searcher.service == service
    ]
    if not listed:
        return _not_run_failure(
            ErrorKind.UNKNOWN_SERVICE, f"no searcher of {service} is listed"
        )
    candidates = [
        OwnedSearcher(searcher.name, member.node)
        for searcher in listed
        if _is_in_service(searcher, routing.view)
        and (member := find_owner(routing.placement, searcher.name))
        is not None
    ]
    if not candidates:
        return _not_run_failure(
            ErrorKind.TARGET_OUT, f"no searcher of {service} is in service"
        )
    return rng.choice(candidates)


def _is_in_service(searcher: Searcher, view: View) -> bool:
    return not (
        searcher.leaving
        or searcher.host in view.hosts_out
        or searcher.dc in view.dcs_out
    )


def _not_run_failure(kind: ErrorKind, reason: str) -> Failure:
    return Failure(kind, reason, not_run=True)
