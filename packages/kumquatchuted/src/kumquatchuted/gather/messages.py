"""Events and actions of a query over all shards of a route."""

from dataclasses import dataclass

from kumquatchute_model.errors import Failure
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.retries.messages import DeadlineMoved
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal


@dataclass(frozen=True, slots=True)
class Started:
    """The query may be sent; the first event of every query."""


@dataclass(frozen=True, slots=True)
class ShardAssigned:
    """A searcher was chosen for an attempt on a shard.

    :param shard: position of the shard
    :param hedge_delay_s: time after which the attempt may be hedged, in
        seconds
    """

    shard: int
    searcher: str
    hedge_delay_s: float


@dataclass(frozen=True, slots=True)
class ShardDone:
    """The result of an attempt on a shard.

    :param shard: position of the shard
    """

    shard: int
    result: SearcherResponse | NoResponse | Refusal


@dataclass(frozen=True, slots=True)
class ShardsDelegated:
    """Another node queries some of the shards.

    :param shards: positions of the shards
    :param deadline: monotonic time at which its response is due, in seconds
    :param has_few_searchers: whether each of the shards has at most
        ``max_attempts`` searchers
    """

    shards: tuple[int, ...]
    deadline: float
    has_few_searchers: bool


@dataclass(frozen=True, slots=True)
class DelegationDone:
    """Another node responded for some of the shards, or failed.

    :param shards: positions of the delegated shards
    :param responses: position and response of each covered shard; one of them
        holds the merged records of all, so they must be used together
    :param has_few_searchers: as in ``ShardsDelegated``
    :param failure: why there is no response; None if the node responded
    """

    shards: tuple[int, ...]
    responses: tuple[tuple[int, SearcherResponse], ...]
    has_few_searchers: bool
    failure: NoResponse | None


@dataclass(frozen=True, slots=True)
class QueryNotSent:
    """Nothing was sent, because too few shards have a usable searcher.

    :param usable: number of shards that had one
    :param retry_after_s: time until enough shards may have one, in seconds;
        None if it is not known
    """

    usable: int
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time that ``next_wake_at`` returned has come."""


Event = (
    Started
    | DeadlineMoved
    | ShardAssigned
    | ShardDone
    | ShardsDelegated
    | DelegationDone
    | QueryNotSent
    | TimerFired
)


@dataclass(frozen=True, slots=True)
class SendAll:
    """Send the query to a searcher of each shard, or to none.

    :param min_usable: minimum number of shards that have a usable searcher
    """

    min_usable: int


@dataclass(frozen=True, slots=True)
class SendShard:
    """Send the query to another searcher of a shard.

    :param shard: position of the shard
    :param exclude: names of the searchers that were already chosen
    :param is_retry: whether the retry budget must cover the attempt
    """

    shard: int
    exclude: tuple[str, ...]
    is_retry: bool


@dataclass(frozen=True, slots=True)
class Finish:
    """End the query with an answer or a failure.

    :param shards: positions of the covered shards
    :param responses: their responses, in the same order
    :param missing: number of shards that are not covered
    :param failure: None if the query succeeded
    """

    shards: tuple[int, ...]
    responses: tuple[SearcherResponse, ...]
    missing: int
    failure: Failure | None = None


Action = SendAll | SendShard | Finish
