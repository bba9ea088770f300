"""Connections of a node that may open only a few."""

import asyncio

from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.searchers.connection import ConnectionClosed
from kumquatchuted.searchers.connection import ConnectionOpened
from kumquatchuted.searchers.pool import ConnectionPool
from kumquatchuted.searchers.task import HEAD_CODEC


def searcher(number: int, port: int) -> RegisteredSearcher:
    """Return a searcher on this host."""
    return RegisteredSearcher(
        f"i-{number}",
        "s",
        "127.0.0.1",
        port,
        "a",
        SearcherState.READY,
        2,
        0.0,
        None,
    )


def test_longest_idle_connection_makes_room() -> None:
    """Guards against searchers that are never reached.

    All descriptors are taken by idle connections to other searchers.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        events: asyncio.Queue = asyncio.Queue()
        pool = ConnectionPool(
            HEAD_CODEC, events.put_nowait, 2, lambda connection, count: None
        )
        for number in range(2):
            pool.open(searcher(number, port), 1)
            opened = await events.get()
            assert isinstance(opened, ConnectionOpened)
            pool.add_idle(opened.connection, now=float(number))
        assert pool.open(searcher(2, port), 1) is None
        closed = await events.get()
        assert isinstance(closed, ConnectionClosed)
        assert closed.connection.searcher == "i-0"
        pool.remove(closed.connection)
        assert pool.open(searcher(2, port), 1) is not None
        server.close()

    asyncio.run(run())
