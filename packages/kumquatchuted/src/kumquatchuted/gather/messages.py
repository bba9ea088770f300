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

    :param hedge_delay_s: time after which it may be hedged, in seconds
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
    """

    usable: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time that ``next_wake_at`` returned has passed."""


Event = (
    Started
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

    :param min_usable: number of shards that must have a usable searcher
    """

    min_usable: int


@dataclass(frozen=True, slots=True)
class SendShard:
    """Send the query to another searcher of a shard.

    :param exclude: searchers that were already chosen
    :param is_retry: whether the retry budget must cover the attempt
    """

    shard: int
    exclude: tuple[str, ...]
    is_retry: bool


@dataclass(frozen=True, slots=True)
class Finish:
    """End the query with a response or a failure.

    :param shards: positions of the covered shards
    :param responses: their responses, in the same order
    :param missing: number of shards without a response
    :param failure: None if the query succeeded
    """

    shards: tuple[int, ...]
    responses: tuple[SearcherResponse, ...]
    missing: int
    failure: Failure | None = None


Action = SendAll | SendShard | Finish
