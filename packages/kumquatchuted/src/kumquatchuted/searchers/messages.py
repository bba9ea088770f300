"""Messages between the tasks of requests and the task of searchers."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from kumquatchuted.routing.messages import Route


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A caller's request in the form in which searchers receive it.

    :param request_id: as the caller sent it
    :param method: HTTP method
    :param head: request line and headers that are the same for each searcher
    :param body: complete body
    """

    request_id: bytes
    method: bytes
    head: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to one searcher of a service.

    :param key: names the attempt; chosen by the sender
    :param route: whose usual times apply
    :param service: whose searchers may be chosen
    :param deadline: monotonic time at which the caller stops waiting
    :param exclude: searchers that have had the request already
    :param runs_once: whether the request must not run twice
    :param is_part: whether it asks for a part of a query over shards
    :param is_repeat: whether the allowance for repeated sends must cover it
    :param reply_to: receives ``AttemptSent`` and then ``AttemptDone``
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

    :param least: number of orders that must have a usable searcher
    :param top: records that the answer holds if other nodes may gather a
        part of the shards; 0 if they may not
    :param answer_at: monotonic time at which their answers must be here
    :param reply_to: receives ``NoneSent`` if there are fewer, and what the
        task of partial queries reports
    """

    attempts: tuple[SendAttempt, ...]
    min_usable: int
    top_k: int
    partial_deadline: float
    reply_to: Callable[[object], None]


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """The result of an attempt is no longer needed.

    :param linger_s: time after which its connection is closed, in seconds
    """

    key: object
    linger_s: float


class Refusal(Enum):
    """Why no searcher was sent the request."""

    NO_SEARCHER = "no searcher is usable"
    NO_BUDGET = "the allowance for repeated sends is used"
    BUSY = "all usable searchers are at their limit"


@dataclass(frozen=True, slots=True)
class SearcherResponse:
    """A complete answer of a searcher.

    :param stamp: digest of the answer; empty if it has none
    :param not_executed: the searcher states that it did not run the request
    :param wrong_process: another process has the searcher's address
    :param headers: headers that callers receive, names in lower case
    """

    status: int
    stamp: bytes
    body: bytes
    not_executed: bool
    wrong_process: bool
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class NoResponse:
    """No usable answer came.

    :param sent: whether a searcher may have received the request
    """

    reason: str
    was_sent: bool


@dataclass(frozen=True, slots=True)
class AttemptAssigned:
    """A searcher was chosen for the attempt.

    :param late_s: time after which its answer is late, in seconds
    """

    key: object
    searcher: str
    hedge_delay_s: float


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """The result of an attempt.

    :param searcher: None if none was chosen
    """

    key: object
    searcher: str | None
    result: SearcherResponse | NoResponse | Refusal


@dataclass(frozen=True, slots=True)
class ShardsNotSent:
    """None of the orders of ``SendShards`` was carried out.

    :param usable: number of orders that had a usable searcher
    """

    usable: int


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A caller's request arrived, which adds to allowances.

    :param services: services that will be sent the request
    """

    services: tuple[str, ...]
