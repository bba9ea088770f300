"""Plan of a query: its snapshot, spellings and shard map."""

from dataclasses import dataclass

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchRequest
from kumquatchute_model.query import Snapshot
from kumquatchute_model.shards import ShardMap
from kumquatchuted.search.routing import Routing
from kumquatchuted.tickets.view import find_spellings


@dataclass(frozen=True)
class Plan:
    """Snapshot and parameters that stay fixed during a query.

    :param names: all spellings to search for, from the pinned ticket view
    :param limit: maximum number of hits
    """

    service: str
    snapshot: Snapshot
    shard_map: ShardMap
    names: tuple[str, ...]
    limit: int


def make_plan(
    service: str, request: SearchRequest, routing: Routing
) -> Plan | Failure:
    """Pin a query to the newest known snapshot.

    :returns: a failure if no shard map of the service is known
    """
    shard_map = routing.catalog.maps.get(service)
    if shard_map is None:
        return Failure(
            ErrorKind.UNAVAILABLE,
            f"no shard map of service {service} is known yet",
            not_run=True,
        )
    snapshot = Snapshot(
        shard_map.index_version, shard_map.map_version, routing.view.number
    )
    names = find_spellings(routing.view, request.name)
    return Plan(service, snapshot, shard_map, names, request.limit)
