"""Events and actions of a query over all shards of a route."""

from dataclasses import dataclass

from kumquatchute_model.errors import Failure
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal
from kumquatchuted.searchers.messages import SearcherResponse


@dataclass(frozen=True, slots=True)
class Started:
    """The query was admitted."""


@dataclass(frozen=True, slots=True)
class ShardAssigned:
    """A searcher was chosen for an attempt.

    :param late_s: time after which its answer is late, in seconds
    """

    shard: int
    searcher: str
    hedge_delay_s: float


@dataclass(frozen=True, slots=True)
class ShardDone:
    """The result of an attempt."""

    shard: int
    result: SearcherResponse | NoResponse | Refusal


@dataclass(frozen=True, slots=True)
class ShardsDelegated:
    """Another node gathers some of the shards.

    :param answer_at: monotonic time at which its answer is due
    :param is_bounded: whether each of them has no more searchers than a query
        may be sent to
    """

    shards: tuple[int, ...]
    deadline: float
    has_few_searchers: bool


@dataclass(frozen=True, slots=True)
class DelegationDone:
    """Another node answered for some of the shards, or is lost.

    :param parts: answers of the covered shards, to be used together: one
        holds the merged records of all
    """

    shards: tuple[int, ...]
    responses: tuple[tuple[int, SearcherResponse], ...]
    has_few_searchers: bool
    failure: NoResponse | None


@dataclass(frozen=True, slots=True)
class QueryNotSent:
    """Too few shards have a usable searcher, so that nothing was sent."""

    usable: int


@dataclass(frozen=True, slots=True)
class Woken:
    """The time of ``next_wake`` has come."""


Event = (
    Started
    | ShardAssigned
    | ShardDone
    | ShardsDelegated
    | DelegationDone
    | QueryNotSent
    | Woken
)


@dataclass(frozen=True, slots=True)
class SendAll:
    """Send the query to a searcher of each shard, or to none.

    :param least: number of shards that must have a usable searcher
    """

    min_usable: int


@dataclass(frozen=True, slots=True)
class SendShard:
    """Send the query to another searcher of a shard."""

    shard: int
    exclude: tuple[str, ...]
    is_retry: bool


@dataclass(frozen=True, slots=True)
class Finish:
    """End the query with an answer or a failure.

    :param shards: positions of the shards that are included
    :param parts: their answers, in the same order
    :param missing: number of shards without one
    """

    shards: tuple[int, ...]
    responses: tuple[SearcherResponse, ...]
    missing: int
    failure: Failure | None = None


Action = SendAll | SendShard | Finish
