"""Connections of a node that may open only a few."""

import asyncio

from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.responses.messages import Exchange
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


def test_idle_connection_makes_room_for_a_request_that_cannot_use_it() -> None:
    """Guards against a request that waits in vain for a connection.

    The node may hold one connection to the searcher. It was used before, and
    the request has no id by which its response could be told from a copy.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        events: asyncio.Queue = asyncio.Queue()
        pool = ConnectionPool(
            HEAD_CODEC, events.put_nowait, None, lambda connection, count: None
        )
        pool.open(searcher(0, port), 1)
        opened = await events.get()
        opened.connection.send(Exchange("k", b"r1", True, True), b"GET")
        pool.add_idle(opened.connection, now=0.0)
        assert pool.take_idle("i-0", b"", False, 0.1) is None
        assert pool.open(searcher(0, port), 1) is None
        pool.make_room("i-0")
        closed = await events.get()
        assert closed.connection is opened.connection
        pool.remove(closed.connection)
        assert pool.open(searcher(0, port), 1) is not None
        server.close()

    asyncio.run(run())


def test_idle_connection_is_kept_for_requests_that_can_use_it() -> None:
    """Guards against a new connection for each request."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        events: asyncio.Queue = asyncio.Queue()
        pool = ConnectionPool(
            HEAD_CODEC, events.put_nowait, None, lambda connection, count: None
        )
        for number in range(2):
            pool.open(searcher(0, port), 2)
            opened = await events.get()
            request_id = b"r%d" % number
            opened.connection.send(
                Exchange("k", request_id, True, True), b"GET"
            )
            pool.add_idle(opened.connection, now=0.0)
        taken = pool.take_idle("i-0", b"r1", False, 0.1)
        assert taken is not None and taken.can_carry(b"r1")
        assert pool.take_idle("i-0", b"r2", False, 0.1) is opened.connection
        server.close()

    asyncio.run(run())
