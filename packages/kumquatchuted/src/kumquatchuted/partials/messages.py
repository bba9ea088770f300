"""Messages about partial queries, within a node and between nodes."""

from collections.abc import Callable
from dataclasses import dataclass

from kumquatchuted.notices.messages import ProcessId
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import OutgoingRequest


@dataclass(frozen=True, slots=True)
class SendPartialQuery:
    """Have a node of another data centre query some of the shards.

    :param key: identifies the partial query; chosen by the sender
    :param data_centre: where the node is
    :param shards: positions of the shards in the query
    :param services: services of these shards, in the same order
    :param top_k: maximum number of records in the answer to the query
    :param has_few_searchers: whether each shard has at most ``max_attempts``
        searchers
    :param min_coverage: share of the shards, from 0 to 1, with which the node
        responds at ``deadline``; with fewer it waits for more
    :param deadline: monotonic time at which the response is due, in seconds
    :param latest_deadline: monotonic time at which the response must leave
        whatever it covers, in seconds
    :param leaving: processes of searchers of these services that leave
    :param reply_to: receives ``PartialQueryAssigned`` and then
        ``PartialQueryDone``, or the latter alone if no node is usable
    """

    key: object
    route: Route
    data_centre: str
    shards: tuple[int, ...]
    services: tuple[str, ...]
    top_k: int
    has_few_searchers: bool
    outgoing: OutgoingRequest
    min_coverage: float
    deadline: float
    latest_deadline: float
    leaving: tuple[ProcessId, ...]
    reply_to: Callable[[object], None]


@dataclass(frozen=True, slots=True)
class AbandonPartialQuery:
    """Abandon a partial query whose result is no longer needed."""

    key: object


@dataclass(frozen=True, slots=True)
class PartialQueryAssigned:
    """A node was chosen for the partial query."""

    key: object
    query: SendPartialQuery


@dataclass(frozen=True, slots=True)
class PartialQueryDone:
    """The result of a partial query.

    :param query: the message that requested it
    :param responses: position and response of each covered shard; the first
        one holds the merged records of all
    :param failure: why there is no response; None if the node responded
    """

    key: object
    query: SendPartialQuery
    responses: tuple[tuple[int, SearcherResponse], ...]
    failure: NoResponse | None = None


@dataclass(frozen=True, slots=True)
class PartialQueryRequest:
    """The request that one node sends to another.

    :param route: name of the route
    :param objective_ms: latency objective of the route, in milliseconds
    :param max_attempts: maximum number of searchers per shard
    :param services: service of each shard
    :param top: maximum number of records in the response
    :param request_id: as the caller sent it
    :param method: HTTP method
    :param head: request line and headers for the searchers
    :param answer_ms: time until the response is due, in milliseconds
    :param latest_ms: time until it must leave whatever it covers, in
        milliseconds; an ``answer_ms`` that is later counts instead
    :param min_coverage: share of the shards, from 0 to 1, with which it may
        leave after ``answer_ms``
    :param leaving: processes of searchers that the sender knows to leave
    """

    route: str
    objective_ms: float
    max_attempts: int
    services: tuple[str, ...]
    top: int
    request_id: bytes
    method: bytes
    head: bytes
    body: bytes
    answer_ms: float
    latest_ms: float = 0.0
    min_coverage: float = 0.0
    leaving: tuple[ProcessId, ...] = ()


@dataclass(frozen=True, slots=True)
class PartialQueryResponse:
    """The response of the other node.

    :param covered: positions of the covered shards in ``services`` of the
        request
    :param stamps: digests of the responses of these shards, in the same order
    :param records: greatest records of all of them, greatest first
    :param leaving: processes of searchers of the queried services that leave
    """

    covered: tuple[int, ...]
    stamps: tuple[bytes, ...]
    records: bytes
    leaving: tuple[ProcessId, ...] = ()


def names_shards_once(response: PartialQueryResponse, shards: int) -> bool:
    """Return whether a response names each covered shard with its digest.

    A response of another version or of a faulty node could name shards that
    were not requested, or count one twice.

    :param shards: number of shards that were requested
    """
    covered = response.covered
    return (
        len(covered) == len(set(covered)) == len(response.stamps)
        and all(0 <= shard < shards for shard in covered)
        and all(response.stamps)
    )
