"""Reading of responses that take much processor time."""

from collections.abc import Callable
import tracemalloc

from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.connection import ConnectionClosed
from kumquatchuted.searchers.tests.test_connection import awaiting_response
from kumquatchuted.searchers.tests.test_connection import FakeTransport

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNKS = b"1\r\na\r\n" * 10_000


def awaiting_slow_response() -> tuple[
    Connection, list, FakeTransport, list[Callable[[], bool]]
]:
    """Return a connection on which the head of a chunked response arrived.

    :returns: the connection, the events that it posts, its transport and the
        turns that it awaits
    """
    turns: list[Callable[[], bool]] = []
    connection, posted, transport = awaiting_response(
        schedule_read=turns.append
    )
    connection.data_received(CHUNKED_HEAD)
    return connection, posted, transport, turns


def test_long_response_in_small_chunks_is_read() -> None:
    """Guards against a limit that a complete response exceeds.

    Each byte of the body is a chunk of its own, so that the framing is longer
    than the body.
    """
    connection, posted, _ = awaiting_response()
    connection.data_received(CHUNKED_HEAD)
    for _ in range(100):
        connection.data_received(b"1\r\na\r\n" * 1000)
    connection.data_received(b"0\r\n\r\n")
    assert posted[0].response.body == b"a" * 100_000


def test_endless_small_chunks_are_read_in_turns() -> None:
    """Guards against a searcher that takes all the processor time of a node.

    The parser calls back for each chunk. Only a part of what the event loop
    reads at once is parsed before other connections are read, and a connection
    awaits one turn at a time.
    """
    connection, posted, transport, turns = awaiting_slow_response()
    for _ in range(4):
        connection.data_received(SMALL_CHUNKS)
        assert transport.paused
        turn_count = 0
        while transport.paused:
            assert len(turns) == 1
            turns.pop()()
            turn_count += 1
        assert turn_count > 5
    assert not posted


def test_endless_headers_are_not_all_parsed() -> None:
    """Guards against a searcher that takes all the processor time of a node.

    The parser calls back for each header of the 256 KiB that the event loop
    reads at once, and each takes memory.
    """
    connection, posted, _ = awaiting_response()
    connection.data_received(b"HTTP/1.1 200 OK\r\n")
    headers = b"a: \r\n" * 40_000
    tracemalloc.start()
    try:
        connection.data_received(headers)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert [type(event) for event in posted] == [ConnectionClosed]
    assert peak_bytes < 1_000_000


def test_failed_slow_response_keeps_no_bytes() -> None:
    """Guards against memory that a response which was given up still takes."""
    kept = []
    tracemalloc.start()
    try:
        for _ in range(50):
            connection, _, _ = awaiting_response(
                schedule_read=lambda read: None
            )
            connection.data_received(CHUNKED_HEAD)
            connection.data_received(SMALL_CHUNKS * 4)
            connection.fail("the memory for responses is used")
            kept.append(connection)
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept_bytes < 2_000_000


def test_slow_response_is_read_to_its_end() -> None:
    """Guards against a slow response that loses bytes or is never complete."""
    connection, posted, transport, turns = awaiting_slow_response()
    connection.data_received(SMALL_CHUNKS * 2 + b"0\r\n\r\n")
    while turns:
        turns.pop()()
    assert posted[0].response.body == b"a" * 20_000
    # A copy of the response can follow that was not read.
    assert not posted[0].is_reusable
    assert transport.closing


def test_slow_response_that_failed_is_not_read() -> None:
    """Guards against a response that is read after its exchange has ended."""
    connection, posted, _, turns = awaiting_slow_response()
    connection.data_received(SMALL_CHUNKS * 4 + b"0\r\n\r\n")
    connection.fail("time limit")
    while turns:
        turns.pop()()
    assert [type(event) for event in posted] == [ConnectionClosed]
