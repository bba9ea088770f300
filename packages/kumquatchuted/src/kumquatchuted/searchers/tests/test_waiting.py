"""Attempts that wait for a connection, on a virtual clock.

The load is that of a large fleet, in which a node holds a single connection to
each searcher.
"""

from collections import deque
from dataclasses import replace
import random

import pytest

from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.messages import SendAttempt
from kumquatchuted.searchers.waiting import enqueue
from kumquatchuted.searchers.waiting import latest_start
from kumquatchuted.searchers.waiting import may_wait
from kumquatchuted.searchers.waiting import remove
from kumquatchuted.searchers.waiting import WaitingQueue

ROUTE = Route("r", "h", "/", True, 3.0, 0.5, 1, 2, OneService("s"))
MEDIAN_S = 0.02


def attempt(
    key: object, deadline: float = 3.0, priority: int = 1, shard: bool = False
) -> SendAttempt:
    """Return an attempt without exclusions."""
    return SendAttempt(
        key=key,
        route=replace(ROUTE, priority=priority),
        service="s",
        outgoing=OutgoingRequest(b"r1", b"GET", b"", b""),
        deadline=deadline,
        exclude=(),
        at_most_once=False,
        is_shard_query=shard,
        is_retry=False,
        reply_to=lambda message: None,
    )


def test_urgent_attempts_are_sent_first() -> None:
    """Guards against urgent requests that wait behind less urgent ones."""
    queue = WaitingQueue()
    for key, priority in (("b", 2), ("a", 1), ("c", 2), ("d", 1)):
        queue = enqueue(queue, attempt(key, priority=priority))
    assert [item.key for item in queue.attempts] == ["a", "d", "b", "c"]
    assert [item.key for item in remove(queue, "d").attempts] == [
        "a",
        "b",
        "c",
    ]


def test_attempt_that_would_be_late_is_refused_at_once() -> None:
    """Guards against callers that wait although they cannot be served."""
    queue = WaitingQueue()
    for number in range(24):
        queue = enqueue(queue, attempt(number))
    assert not may_wait(queue, attempt("x"), 1, MEDIAN_S, 0.0)
    assert may_wait(queue, attempt("x"), 2, MEDIAN_S, 0.0)
    assert may_wait(queue, attempt("x", priority=0), 1, MEDIAN_S, 0.0)
    assert not may_wait(WaitingQueue(), attempt("x", 0.01), 1, MEDIAN_S, 0.0)


def test_part_of_a_query_waits_as_long_as_the_query() -> None:
    """Guards against shards that are missing although time was left."""
    assert latest_start(attempt("x", 0.8, shard=True), 0.0) == 0.8
    assert latest_start(attempt("x", 0.8), 0.0) == ROUTE.objective_s


@pytest.mark.parametrize("seed", range(5))
def test_short_overlaps_are_all_served(seed: int) -> None:
    """Guards against refusals while the only connection is in use.

    Requests arrive at random, at a third of what one connection serves, and
    the searcher sometimes pauses for 150 ms. Refusing each request that finds
    the connection in use would lose about a third of them.
    """
    rng = random.Random(seed)
    now = free_at = 0.0
    queue = WaitingQueue()
    starts: deque[float] = deque()
    overlaps = refused = 0
    for number in range(2000):
        now += rng.expovariate(1 / (3 * MEDIAN_S))
        while starts and starts[0] <= now:
            starts.popleft()
            queue = WaitingQueue(queue.attempts[1:])
        if free_at > now:
            overlaps += 1
            if not may_wait(queue, attempt(number, now + 3), 1, MEDIAN_S, now):
                refused += 1
                continue
            queue = enqueue(queue, attempt(number))
            starts.append(free_at)
        pause_s = 0.15 if rng.random() < 0.01 else 0.0
        free_at = max(now, free_at) + MEDIAN_S * rng.uniform(0.5, 1.5)
        free_at += pause_s
    assert overlaps > 400
    assert refused == 0
