"""Tests the messages that a query task posts to the dispatch task."""

import asyncio
import random

import pytest

from kumquatchute_model.query import SearchRequest
from kumquatchuted.mailbox import Ask
from kumquatchuted.peers.messages import SendAttempt
from kumquatchuted.search.messages import SearchCall
from kumquatchuted.search.query import Query
from kumquatchuted.search.query_events import QueryTiming
from kumquatchuted.search.query_task import QueryTask
from kumquatchuted.search.tests.test_query import make_plan
from kumquatchuted.search.tests.test_query import routing
from kumquatchuted.search.tests.test_query import SHARD_COUNT

SOFT_DEADLINE_S = 0.08
DEADLINE_MS = 1000


async def sent_attempts() -> list[SendAttempt]:
    """Return the attempts of a query whose caller cancels after the start."""
    timing = QueryTiming(0.0, DEADLINE_MS / 1000, SOFT_DEADLINE_S, None)
    query = Query("q", make_plan(), routing(), timing, random.Random(1))
    fut = asyncio.get_running_loop().create_future()
    request = SearchRequest("Nguyen", 10, DEADLINE_MS)
    call = SearchCall("dispatcher", False, "console", request, 0.0)
    messages = []
    task = QueryTask(
        "q",
        Ask(call, fut),
        query,
        messages.append,
        messages.append,
        lambda: 0.0,
    )
    running = asyncio.create_task(task.run())
    await asyncio.sleep(0)
    fut.cancel()
    await running
    return [
        message for message in messages if isinstance(message, SendAttempt)
    ]


def test_attempt_expires_with_its_budget_at_every_owner():
    """Guards against local attempts that wait behind all remote ones.

    Other nodes receive the budget of an attempt instead of its expiry, so
    both must give the same time.
    """
    sent = asyncio.run(sent_attempts())
    assert len(sent) == SHARD_COUNT
    assert all(0 < message.expires_at <= SOFT_DEADLINE_S for message in sent)
    assert [message.expires_at * 1000 for message in sent] == [
        pytest.approx(message.attempt.budget_ms) for message in sent
    ]
