"""Messages about a part of a query that another node gathers."""

from collections.abc import Callable
from dataclasses import dataclass

from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.messages import SearcherResponse


@dataclass(frozen=True, slots=True)
class SendPartialQuery:
    """Let a node of another data centre query some of the shards.

    :param key: names the order; chosen by the sender
    :param data_centre: where the node is
    :param shards: positions of the shards in the query
    :param services: the shards, in the same order
    :param top: number of records that the query asks for
    :param is_bounded: whether each shard has no more searchers than a query
        may be sent to
    :param answer_at: monotonic time at which its answer must be here
    :param reply_to: receives ``PartialSent`` and then ``PartialDone``
    """

    key: object
    route: Route
    data_centre: str
    shards: tuple[int, ...]
    services: tuple[str, ...]
    top_k: int
    has_few_searchers: bool
    outgoing: OutgoingRequest
    deadline: float
    reply_to: Callable[[object], None]


@dataclass(frozen=True, slots=True)
class AbandonPartialQuery:
    """The result of an order is no longer needed."""

    key: object


@dataclass(frozen=True, slots=True)
class PartialQueryAssigned:
    """A node was chosen."""

    key: object
    query: SendPartialQuery


@dataclass(frozen=True, slots=True)
class PartialQueryDone:
    """The result of an order.

    :param parts: position and answer of each covered shard; the first one
        holds the merged records of all
    :param lost: why there is none; None if the node answered
    """

    key: object
    query: SendPartialQuery
    responses: tuple[tuple[int, SearcherResponse], ...]
    failure: NoResponse | None = None


@dataclass(frozen=True, slots=True)
class PartialQueryRequest:
    """What a node asks of another one.

    :param answer_ms: time until the answer must leave, in milliseconds
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


@dataclass(frozen=True, slots=True)
class PartialQueryResponse:
    """What the other node answers.

    :param covered: positions within the services of the request
    :param stamps: digests of their answers, in the same order
    :param records: greatest records of all of them, greatest first
    """

    covered: tuple[int, ...]
    stamps: tuple[bytes, ...]
    records: bytes
