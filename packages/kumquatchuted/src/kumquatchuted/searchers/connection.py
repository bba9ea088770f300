"""An HTTP/1.1 connection to a searcher.

The HTTP client of aiohttp is not used, because it does not report bytes that
follow a response, retries requests by itself, and cannot skip a delayed
response to an earlier request. Each of these would break at-most-once delivery
or give a request the response to another one.
"""

import asyncio
from collections.abc import Callable
from collections import deque
from dataclasses import dataclass

from kumquatchuted.notices.messages import Notice
from kumquatchuted.notices.messages import ProcessId
from kumquatchuted.responses.messages import Exchange
from kumquatchuted.responses.messages import Foreign
from kumquatchuted.responses.messages import Unproven
from kumquatchuted.responses.messages import Verdict
from kumquatchuted.searchers.read_results import Broken
from kumquatchuted.searchers.read_results import Complete
from kumquatchuted.searchers.read_results import INCOMPLETE
from kumquatchuted.searchers.read_results import RawResponse
from kumquatchuted.searchers.read_results import ReadResult
from kumquatchuted.searchers.read_results import Slow
from kumquatchuted.searchers.response_reader import HeadCodec
from kumquatchuted.searchers.response_reader import ResponseReader
from kumquatchuted.searchers.response_size import MAX_RECEIVED_BYTES

# A copy of a response comes within seconds, so that only the last requests of
# a connection need to be told apart.
MAX_CARRIED_IDS = 64


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """The connection is established."""

    connection: "Connection"


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A complete response was received.

    :param key: attempt that the response belongs to
    :param is_reusable: whether another request may be sent on the connection
    :param verdict: what shows that it belongs to the attempt
    """

    connection: "Connection"
    key: object
    response: RawResponse
    is_reusable: bool
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class ResponseSkipped:
    """A response was received that is not used for the pending request.

    :param request_id: the pending request
    """

    connection: "Connection"
    request_id: bytes
    status: int
    verdict: Foreign | Unproven


@dataclass(frozen=True, slots=True)
class UnexpectedBytes:
    """Bytes arrived while no request was pending.

    :param count: number of bytes
    :param last_request_id: the request before, empty if there was none
    """

    connection: "Connection"
    count: int
    last_request_id: bytes


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The connection is closed.

    :param key: attempt that awaited its response; None if none did
    :param reason: cause for the log
    """

    connection: "Connection"
    key: object | None
    reason: str


@dataclass(frozen=True, slots=True)
class NoticesReceived:
    """The head of a response states something about further requests.

    It is posted as soon as the head is complete, also if the rest of the
    response does not arrive or belongs to no pending request.
    """

    connection: "Connection"
    notices: tuple[Notice, ...]


class Connection(asyncio.Protocol):
    """Owns a transport and posts the events of the connection.

    At most one request is sent at a time.
    """

    def __init__(
        self,
        process: ProcessId,
        codec: HeadCodec,
        post: Callable,
        on_received: Callable[["Connection", int], None],
        schedule_read: Callable[[Callable[[], bool]], None],
        max_received_bytes: int = MAX_RECEIVED_BYTES,
        number: int = 0,
    ) -> None:
        """Create the protocol of a connection that is being opened.

        :param process: process of the searcher
        :param post: receives the events of the connection
        :param on_received: called with the number of bytes that have arrived
            for a request; it may call ``fail``
        :param schedule_read: calls a function, which reads more of a response
            that takes much processor time, when it is its turn
        :param max_received_bytes: how many bytes may arrive for a request
        :param number: identifies the connection in the log
        """
        self.process = process
        self.searcher = process.name
        self.number = number
        self.is_unused = True
        self.has_responded = False
        # Attempt whose request is sent once the connection is open.
        self.waiting_key: object | None = None
        self.idle_since = 0.0
        self.idle_timeout_s: float | None = None
        self._post = post
        self._on_received = on_received
        self._schedule_read = schedule_read
        # Bytes of a slow response that have arrived and were not read yet.
        self._unread = b""
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._carried_ids: deque[bytes] = deque(maxlen=MAX_CARRIED_IDS)
        self._reader = ResponseReader(
            codec,
            self._post_notices,
            self._post_skipped,
            max_received_bytes,
            self._carried_ids,
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Post ``ConnectionOpened``; requests may be sent from now on."""
        self._transport = transport
        self._post(ConnectionOpened(self))

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Send a request; its response is posted as ``ResponseReceived``."""
        self._exchange = exchange
        self._carried_ids.append(exchange.request_id)
        self._reader.begin(exchange)
        self.is_unused = False
        self._transport.write(data)

    def close(self) -> None:
        """Abort the connection, unless it is still being opened.

        ``ConnectionClosed`` is then posted without the key of a request that
        awaits its response.
        """
        self._exchange = None
        self._unread = b""
        if self._transport is not None:
            self._transport.abort()

    def fail(self, reason: str) -> None:
        """Give up the response that is being received."""
        exchange, self._exchange = self._exchange, None
        self._unread = b""
        self._reader.end()
        if exchange is not None:
            self._post(ConnectionClosed(self, exchange.key, reason))
        self._transport.abort()

    def is_open(self) -> bool:
        """Return whether a request can be sent."""
        return self._transport is not None and not (
            self._transport.is_closing()
        )

    def can_carry(self, request_id: bytes) -> bool:
        """Return whether the response to a request could be recognised.

        A copy of an earlier response to the same id could not be told from it,
        and a response to a request without an id names none.
        """
        return self.is_unused or (
            bool(request_id) and request_id not in self._carried_ids
        )

    def data_received(self, data: bytes) -> None:
        """Read bytes and post a response that they complete.

        Bytes that arrive while no request is pending close the connection,
        because the next request would take them for its response.
        """
        if self._exchange is None:
            self._read_unexpected(data)
            return
        result = self._reader.feed(data)
        if not isinstance(result, Broken):
            self._on_received(self, len(data))
        self._apply(result)

    def _read_on(self) -> bool:
        """Read the next part of a slow response, or read from the socket.

        :returns: whether the response still awaits a turn
        """
        if self._exchange is None:
            return False
        data, self._unread = self._unread, b""
        result = self._reader.feed(data) if data else INCOMPLETE
        self._apply(result)
        if not isinstance(result, Slow):
            self._transport.resume_reading()
        return True

    def eof_received(self) -> bool:
        """Complete a response whose end is the end of the connection.

        :returns: False, so that the transport closes
        """
        if self._exchange is not None:
            self._apply(self._reader.feed_eof())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Post ``ConnectionClosed``."""
        reason = "closed" if exc is None else type(exc).__name__
        exchange, self._exchange = self._exchange, None
        self._unread = b""
        key = None if exchange is None else exchange.key
        self._post(ConnectionClosed(self, key, reason))

    def _apply(self, result: ReadResult) -> None:
        # The count of received bytes can have ended the exchange.
        if self._exchange is None:
            return
        match result:
            case Complete():
                self._post_response(result)
            case Slow(rest=rest):
                self._transport.pause_reading()
                self._unread = rest
                self._schedule_read(self._read_on)
            case Broken(reason=reason, rejected=rejected):
                if rejected is not None:
                    # It has responded, so that it has not been restarted.
                    self.has_responded = True
                    self._post_skipped(self._reader.status, rejected)
                self.fail(reason)

    def _post_response(self, result: Complete) -> None:
        self.has_responded = True
        exchange, self._exchange = self._exchange, None
        is_reusable = not result.is_last and self.is_open()
        self._post(
            ResponseReceived(
                self,
                exchange.key,
                result.response,
                is_reusable,
                result.verdict,
            )
        )
        if not is_reusable:
            self._transport.close()

    def _read_unexpected(self, data: bytes) -> None:
        last_request_id = self._carried_ids[-1] if self._carried_ids else b""
        self._post(UnexpectedBytes(self, len(data), last_request_id))
        self._reader.end()
        self._reader.read_notices(data)
        self.close()

    def _post_notices(self, notices: tuple[Notice, ...]) -> None:
        self._post(NoticesReceived(self, notices))

    def _post_skipped(self, status: int, verdict: Foreign | Unproven) -> None:
        request_id = self._exchange.request_id
        self._post(ResponseSkipped(self, request_id, status, verdict))
