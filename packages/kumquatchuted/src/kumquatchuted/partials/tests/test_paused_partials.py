"""Partial queries of a node that does not run for a while."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import threading
import time

import pytest

from kumquatchuted.partials.codec import encode_partial
from kumquatchuted.partials.messages import PartialQueryDone
from kumquatchuted.partials.messages import PartialQueryResponse
from kumquatchuted.partials.task import CONNECT_TIMEOUT_S
from kumquatchuted.partials.task import RESPONSE_GRACE_S
from kumquatchuted.partials.tests.example_node import create_task
from kumquatchuted.partials.tests.example_node import DEADLINE_S
from kumquatchuted.partials.tests.example_node import run_query

# Time after which the other node responds; it is within the pause.
RESPONSE_S = 0.05
NUMBER_FIELD = b"x-partial-query: "

Ask = Callable[[int], Awaitable[PartialQueryDone]]


def respond_once(listener: socket.socket, received: threading.Event) -> None:
    """Serve one connection as another node, until the caller closes it."""
    with contextlib.suppress(OSError):
        conn, _ = listener.accept()
        with conn:
            data = b""
            while chunk := conn.recv(65_536):
                data += chunk
                head, end, body = data.partition(b"\r\n\r\n")
                head = head.lower()
                length = head.partition(b"content-length: ")[2].split(b"\r")[0]
                if not end or len(body) < int(length):
                    continue
                received.set()
                time.sleep(RESPONSE_S)
                number = head.partition(NUMBER_FIELD)[2].split(b"\r")[0]
                body = encode_partial(PartialQueryResponse((0,), (b"s",), b""))
                conn.sendall(
                    b"HTTP/1.1 200 OK\r\n%s%s\r\nContent-Length: %d\r\n\r\n%s"
                    % (NUMBER_FIELD, number, len(body), body)
                )
                data = b""


def run_on_node(
    listener: socket.socket,
    scenario: Callable[[Ask], Awaitable[list[PartialQueryDone]]],
) -> list[PartialQueryDone]:
    """Run a scenario on a node that knows one other node.

    :param scenario: is called with a function that runs a partial query with
        a number
    """
    host, port = listener.getsockname()

    async def main() -> list[PartialQueryDone]:
        task = create_task(host, port)
        running = asyncio.ensure_future(task.run())

        results = await scenario(lambda number: run_query(task, number))
        running.cancel()
        await task.close()
        return results

    return asyncio.run(main())


@contextlib.contextmanager
def other_node():
    """Yield the listener of a node and an event for received requests."""
    received = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(
            target=respond_once, args=(listener, received)
        )
        server.start()
        yield listener, received
        # Ends the thread if nobody has connected.
        listener.shutdown(socket.SHUT_RDWR)
        server.join()


@pytest.mark.parametrize("turns", range(8))
def test_connection_that_opens_during_a_pause_is_used(turns: int) -> None:
    """Guards against healthy nodes that get no queries for a second or more.

    A node that paused for longer than the timeout of a connect took the other
    one for unreachable, although the kernel had opened the connection.
    """

    async def scenario(ask: Ask) -> list[PartialQueryDone]:
        first = asyncio.ensure_future(ask(1))
        for _ in range(turns):
            await asyncio.sleep(0)
        time.sleep(2 * CONNECT_TIMEOUT_S)
        return [await first, await ask(2)]

    with other_node() as (listener, _):
        results = run_on_node(listener, scenario)
    assert [done.failure for done in results] == [None, None]


def test_response_that_arrives_during_a_pause_is_used() -> None:
    """Guards against the same if the pause lasts beyond the deadline.

    The shards of the partial query were asked again, and the other node got no
    queries, although it had responded in time.
    """

    async def scenario(ask: Ask) -> list[PartialQueryDone]:
        first = asyncio.ensure_future(ask(1))
        while not received.is_set():
            await asyncio.sleep(0.001)
        time.sleep(DEADLINE_S + RESPONSE_GRACE_S + 0.1)
        return [await first, await ask(2)]

    with other_node() as (listener, received):
        results = run_on_node(listener, scenario)
    assert [done.failure for done in results] == [None, None]


def test_connect_that_does_not_complete_ends_at_its_timeout() -> None:
    """Guards against a query that waits for a node that is unreachable.

    Nothing was sent, so that its shards may be asked again.
    """

    async def scenario(ask: Ask) -> list[PartialQueryDone]:
        started_at = time.monotonic()
        done = await ask(1)
        assert time.monotonic() - started_at < DEADLINE_S
        return [done]

    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(
            socket.create_server(("127.0.0.1", 0), backlog=0)
        )
        # The kernel ignores connects beyond the backlog.
        for _ in range(4):
            conn = stack.enter_context(socket.socket())
            conn.setblocking(False)
            conn.connect_ex(listener.getsockname())
        (done,) = run_on_node(listener, scenario)
    assert done.failure is not None
    assert not done.failure.was_sent


def test_node_that_does_not_respond_is_given_up_at_the_deadline() -> None:
    """Guards against a query that waits for a node that does not run."""

    async def scenario(ask: Ask) -> list[PartialQueryDone]:
        started_at = time.monotonic()
        done = await ask(1)
        duration_s = time.monotonic() - started_at
        assert DEADLINE_S <= duration_s < 2 * DEADLINE_S
        return [done]

    with socket.create_server(("127.0.0.1", 0)) as listener:
        (done,) = run_on_node(listener, scenario)
    assert done.failure is not None
    assert done.failure.was_sent
