"""Messages between the tasks of requests and the task of searchers."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.routing.messages import Route


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A caller's request in the form in which searchers receive it.

    :param request_id: as the caller sent it
    :param method: HTTP method
    :param head: request line and headers that are the same for each searcher;
        those that differ are added when an attempt is sent
    :param body: complete body
    """

    request_id: bytes
    method: bytes
    head: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to one searcher of a service.

    :param key: identifies the attempt; chosen by the sender
    :param route: route whose latency estimate applies
    :param service: service whose searchers may be chosen
    :param deadline: monotonic time, in seconds, until which the searcher may
        respond
    :param exclude: searchers that were already chosen for the request
    :param at_most_once: whether the request may run only once
    :param is_shard_query: whether it belongs to a query over all shards of a
        route
    :param is_retry: whether the retry budget must cover it
    :param reply_to: receives ``AttemptAssigned`` and then ``AttemptDone``, or
        the latter alone if no searcher is chosen
    """

    key: object
    route: Route
    service: str
    outgoing: OutgoingRequest
    deadline: float
    exclude: tuple[str, ...]
    at_most_once: bool
    is_shard_query: bool
    is_retry: bool
    reply_to: Callable[[object], None]


@dataclass(frozen=True, slots=True)
class SendShards:
    """Send a query to a searcher of each shard, or to none.

    :param attempts: one for each shard
    :param min_usable: minimum number of shards that have a usable searcher
    :param top_k: number of records in the answer if other nodes may query
        a part of the shards; 0 if they may not
    :param partial_deadline: monotonic time, in seconds, at which responses of
        other nodes are due
    :param reply_to: receives ``ShardsNotSent`` if too few shards have a usable
        searcher, and the messages of the task of partial queries
    """

    attempts: tuple[SendAttempt, ...]
    min_usable: int
    top_k: int
    partial_deadline: float
    reply_to: Callable[[object], None]


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """Abandon an attempt whose result is no longer needed.

    :param linger_s: time after which its connection is closed if there is no
        response, in seconds; 0 closes it at once
    """

    key: object
    linger_s: float


@dataclass(frozen=True, slots=True)
class WithdrawAttempt:
    """Do not send an attempt any more, if it has not been sent.

    The reply is ``AttemptDone`` if it was not sent and never will be, and
    ``AttemptKept`` if it was sent. There is no further reply if the attempt
    has ended, because its ``AttemptDone`` was posted before.
    """

    key: object
    reply_to: Callable[[object], None]


@dataclass(frozen=True, slots=True)
class ResponsesUsed:
    """The responses to some attempts are not kept any longer."""

    keys: tuple[object, ...]


class RefusalCause(Enum):
    """Why an attempt was not sent to any searcher."""

    NO_SEARCHER = "no searcher is usable"
    NO_BUDGET = "the allowance for repeated sends is used"
    BUSY = "all usable searchers are at their limit"
    EXPIRED = "its time limit has passed"


@dataclass(frozen=True, slots=True)
class Refusal:
    """An attempt was not sent to any searcher.

    :param retry_after_s: time until a searcher of the service ends the pause
        that it requested, in seconds; None if none requested one
    """

    cause: RefusalCause
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class NoResponse:
    """An attempt or a partial query ended without a usable response.

    An attempt ends so only if no complete response was received.

    :param reason: cause for the log and for the caller
    :param was_sent: whether a searcher or node may have received the request
    """

    reason: str
    was_sent: bool


@dataclass(frozen=True, slots=True)
class AttemptAssigned:
    """A searcher was chosen for the attempt.

    :param hedge_delay_s: time after which it may be hedged, in seconds
    """

    key: object
    searcher: str
    hedge_delay_s: float


@dataclass(frozen=True, slots=True)
class AttemptKept:
    """An attempt was sent before it could be withdrawn."""

    key: object


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """The result of an attempt.

    :param searcher: the searcher that was chosen; None if none was
    """

    key: object
    searcher: str | None
    result: SearcherResponse | NoResponse | Refusal


@dataclass(frozen=True, slots=True)
class ShardsNotSent:
    """No attempt of ``SendShards`` was sent.

    :param usable: number of shards that had a usable searcher
    :param retry_after_s: time until enough shards may have one, because the
        pauses that their searchers requested end, in seconds; None if pauses
        are not the cause
    """

    usable: int
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A caller's request arrived, which adds tokens to the retry budgets.

    :param services: services to which the request will be sent
    """

    services: tuple[str, ...]
