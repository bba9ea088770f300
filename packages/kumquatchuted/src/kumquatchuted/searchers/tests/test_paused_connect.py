"""Connects to searchers on a node that does not run for a while."""

import asyncio
from collections.abc import Callable
import random
import socket
import time

import pytest

from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.notices.messages import process_of
from kumquatchuted.searchers.connect import connect
from kumquatchuted.searchers.connect import CONNECT_TIMEOUT_S
from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.connection import ConnectionClosed
from kumquatchuted.searchers.connection import ConnectionOpened
from kumquatchuted.searchers.task import HEAD_CODEC
from kumquatchuted.searchers.tests.virtual_network import HOST
from kumquatchuted.searchers.tests.virtual_network import NetworkLoop
from kumquatchuted.searchers.tests.virtual_network import run_on_network

# Longer than the timeout of a connect.
PAUSE_S = CONNECT_TIMEOUT_S + 0.1
PAUSE_AT_S = 0.005
# Seeds of the order in which callbacks run that are ready at the same time.
SEEDS = range(20)


def create_connection(post: Callable) -> Connection:
    """Return a connection that is not open."""
    searcher = RegisteredSearcher(
        "i-1", "s", HOST, 1, "a", SearcherState.READY, 4, 0.0, None
    )
    return Connection(
        process_of(searcher),
        HEAD_CODEC,
        post,
        lambda connection, count: None,
        lambda read: None,
    )


def play_connect(
    connect_s: float, pause_s: float, seed: int
) -> tuple[list[object], float]:
    """Connect once, while the node pauses once.

    :param connect_s: time until the connection is open, in seconds
    :param pause_s: time for which the node does not run, in seconds
    :returns: events of the connection and duration in seconds
    """
    loop = NetworkLoop(lambda req: None, connect_s, random.Random(seed))
    events: list[object] = []

    async def main() -> float:
        started_at = loop.time()
        loop.call_later(PAUSE_AT_S, loop.pause, pause_s)
        connection = create_connection(events.append)
        await connect(HOST, 1, connection, events.append)
        return loop.time() - started_at

    duration_s = run_on_network(main(), loop)
    return events, duration_s


@pytest.mark.parametrize("connect_s", [0.02, CONNECT_TIMEOUT_S - 0.01])
def test_connection_that_opens_during_a_pause_is_used(
    connect_s: float,
) -> None:
    """Guards against searchers that a paused node takes for unreachable.

    After the pause the timeout and the established connection are due
    together.
    """
    for seed in SEEDS:
        events, _ = play_connect(connect_s, PAUSE_S, seed)
        assert [type(event) for event in events] == [ConnectionOpened], seed


@pytest.mark.parametrize("turns", range(5))
def test_connection_that_the_kernel_opened_during_a_pause_is_used(
    turns: int,
) -> None:
    """Guards against the same on the event loop of the daemon.

    It needs several turns from the start of a connect to the open connection;
    the process pauses after some of them.
    """

    async def main() -> list[object]:
        events: list[object] = []
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            connecting = asyncio.ensure_future(
                connect(
                    "127.0.0.1",
                    port,
                    create_connection(events.append),
                    events.append,
                )
            )
            for _ in range(turns):
                await asyncio.sleep(0)
            asyncio.get_running_loop().call_soon(time.sleep, PAUSE_S)
            await connecting
            return list(events)

    events = asyncio.run(main())
    assert [type(event) for event in events] == [ConnectionOpened]


@pytest.mark.parametrize("pause_s", [0.0, 0.1, PAUSE_S])
def test_connect_that_does_not_complete_ends_at_its_timeout(
    pause_s: float,
) -> None:
    """Guards against a connect that is awaited for longer than its timeout.

    The request that waits for the connection could use another searcher. After
    a pause that is longer than the timeout the connect ends at once.
    """
    for seed in SEEDS:
        events, duration_s = play_connect(
            CONNECT_TIMEOUT_S + 0.2, pause_s, seed
        )
        assert [type(event) for event in events] == [ConnectionClosed], seed
        assert events[0].reason == TimeoutError.__name__
        expected_s = max(CONNECT_TIMEOUT_S, PAUSE_AT_S + pause_s)
        assert duration_s == pytest.approx(expected_s), seed


def test_connection_closed_right_after_it_opened_is_no_error() -> None:
    """Guards against an error of the connect that nothing handles.

    The owner can close a connection before its options are set.
    """

    async def main() -> None:
        events: asyncio.Queue = asyncio.Queue()

        async def close_opened() -> None:
            while True:
                match await events.get():
                    case ConnectionOpened(connection=opened):
                        opened.close()

        closing = asyncio.ensure_future(close_opened())
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connection = create_connection(events.put_nowait)
            _, port = listener.getsockname()
            await connect("127.0.0.1", port, connection, events.put_nowait)
        closing.cancel()

    asyncio.run(main())
