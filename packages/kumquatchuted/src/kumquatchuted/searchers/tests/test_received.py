"""Limit on the bytes of searchers that are kept at the same time."""

from kumquatchuted.notices.messages import ProcessId
from kumquatchuted.platform.searcher_codec import decode_notices
from kumquatchuted.platform.searcher_codec import REQUEST_ID_HEADER
from kumquatchuted.platform.searcher_codec import STAMP_HEADER
from kumquatchuted.responses.messages import Exchange
from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.connection import ConnectionClosed
from kumquatchuted.searchers.received import MEMORY_USED
from kumquatchuted.searchers.received import ReceivedBytes
from kumquatchuted.searchers.response_reader import HeadCodec
from kumquatchuted.searchers.tests.test_connection import FakeTransport
from kumquatchuted.searchers.tests.test_connection import read_at_once

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 5000\r\n\r\n"


def receiving(
    searcher: str, received: ReceivedBytes, posted: list
) -> Connection:
    """Return a connection that receives a response to attempt ``searcher``."""
    connection = Connection(
        ProcessId(searcher, 1),
        HeadCodec(REQUEST_ID_HEADER, STAMP_HEADER, decode_notices),
        posted.append,
        received.add,
        read_at_once,
    )
    connection.connection_made(FakeTransport())
    connection.send(Exchange(searcher, b"r1", True, True), b"")
    return connection


def test_searcher_that_sends_most_is_dropped_first() -> None:
    """Guards against sound responses that are lost to a faulty searcher.

    The sound searcher sends the last bytes before the limit, and has the
    longest response that is being received.
    """
    posted: list = []
    received = ReceivedBytes(4_000)
    sound = receiving("sound", received, posted)
    faulty = [receiving("faulty", received, posted) for _ in range(3)]
    sound.data_received(HEAD + b"x" * 1_200)
    for connection in faulty:
        connection.data_received(HEAD + b"x" * 800)
    posted.clear()
    sound.data_received(b"x" * 200)
    assert [
        (event.connection.searcher, event.reason)
        for event in posted
        if isinstance(event, ConnectionClosed)
    ] == [("faulty", MEMORY_USED)]
    assert received.total() <= 4_000


def test_kept_responses_count_until_their_request_ends() -> None:
    """Guards against many complete responses that use up the memory.

    A complete response is kept while the query waits for other shards.
    """
    posted: list = []
    received = ReceivedBytes(10_000)
    first = receiving("i-1", received, posted)
    first.data_received(HEAD + b"x" * 5_000)
    received.keep(first, "i-1")
    second = receiving("i-2", received, posted)
    second.data_received(HEAD + b"x" * 4_999)
    assert posted[-1].reason == MEMORY_USED
    received.release_attempt("i-1")
    assert received.total() == 0
