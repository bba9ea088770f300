"""Attempts that wait for a free connection to a searcher of their service.

With many nodes, a node may hold only one or two connections to a searcher. An
attempt that finds all of them in use is sent as soon as one is free, in the
order of priority and arrival, unless its response would come too late.
"""

from dataclasses import dataclass
from dataclasses import replace

from kumquatchuted.searchers.messages import SendAttempt


@dataclass(frozen=True, slots=True)
class WaitingQueue:
    """Attempts that wait, by service, in the order in which they are sent."""

    attempts: tuple[SendAttempt, ...] = ()


@dataclass(frozen=True, slots=True)
class WaitExpired:
    """An attempt has waited for as long as is useful."""

    key: object


def latest_start(message: SendAttempt, now: float) -> float:
    """Return until when an attempt is worth sending, in monotonic seconds.

    A query over all shards waits for its parts anyway. A caller of a single
    searcher is better off with a refusal than with a response that is far
    beyond the latency objective, because it can try another node.

    :param now: monotonic time in seconds
    """
    if message.is_shard_query:
        return message.deadline
    return min(message.deadline, now + message.route.objective_s)


def may_wait(
    queue: WaitingQueue,
    message: SendAttempt,
    connections: int,
    median_s: float,
    now: float,
) -> bool:
    """Return whether an attempt can be expected to be sent in time.

    :param connections: number of connections that become free one by one
    :param median_s: median latency of the route in seconds
    :param now: monotonic time in seconds
    """
    ahead = sum(
        1
        for waiting in queue.attempts
        if waiting.route.priority <= message.route.priority
    )
    expected_s = (ahead + 1) * median_s / max(1, connections)
    return now + expected_s < latest_start(message, now)


def enqueue(queue: WaitingQueue, message: SendAttempt) -> WaitingQueue:
    """Return the queue with one more attempt.

    Attempts of more urgent routes are sent first.
    """
    position = sum(
        1
        for waiting in queue.attempts
        if waiting.route.priority <= message.route.priority
    )
    return replace(
        queue,
        attempts=(
            *queue.attempts[:position],
            message,
            *queue.attempts[position:],
        ),
    )


def remove(queue: WaitingQueue, key: object) -> WaitingQueue:
    """Return the queue without an attempt."""
    return replace(
        queue,
        attempts=tuple(item for item in queue.attempts if item.key != key),
    )


def find(queue: WaitingQueue, key: object) -> SendAttempt | None:
    """Return the attempt with a key, or None."""
    return next((item for item in queue.attempts if item.key == key), None)
