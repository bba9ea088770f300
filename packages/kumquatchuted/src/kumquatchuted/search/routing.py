"""Routing of attempts: searchers in service and the nodes that own them."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Placement
from kumquatchuted.tickets.messages import View

OwnerLookup = Callable[[Placement, str], Member | None]


@dataclass(frozen=True)
class Routing:
    """Ticket view, catalog and owners as of one moment, for all queries.

    :param owners: owning node by searcher, of searchers that may get new
        attempts
    """

    view: View
    catalog: Catalog
    owners: Mapping[str, str]


@dataclass(frozen=True)
class RoutingChanged:
    """New routing, sent to every running query."""

    routing: Routing


def build_routing(
    view: View, catalog: Catalog, placement: Placement, find_owner: OwnerLookup
) -> Routing:
    """Determine which searchers may get new attempts, and their owners.

    Searchers that are leaving or out of service, or have no owner, get none.

    :param find_owner: returns the member that owns a searcher
    """
    owners = {}
    for searcher in catalog.searchers.values():
        if searcher.leaving:
            continue
        if searcher.dc in view.dcs_out or searcher.host in view.hosts_out:
            continue
        member = find_owner(placement, searcher.name)
        if member is not None:
            owners[searcher.name] = member.node
    return Routing(view, catalog, MappingProxyType(owners))
