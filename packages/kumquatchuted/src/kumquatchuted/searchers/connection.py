"""An HTTP/1.1 connection to a searcher, parsed by httptools.

The HTTP client of aiohttp is not used, because it does not report bytes that
follow a response, retries requests by itself, and cannot skip a delayed
response to an earlier request. Each of these would break at-most-once delivery
or give a request the response to another one.
"""

import asyncio
from collections.abc import Callable
from collections import deque
import contextlib
from dataclasses import dataclass

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpResponseParser

from kumquatchuted.notices.messages import Notice
from kumquatchuted.notices.messages import ProcessId
from kumquatchuted.responses.joined import BodySearch
from kumquatchuted.responses.joined import count_status_lines
from kumquatchuted.responses.joined import holds_status_line
from kumquatchuted.responses.joined import is_head_joined
from kumquatchuted.responses.joined import JOINED_RESPONSES
from kumquatchuted.responses.joined import may_be_joined
from kumquatchuted.responses.joined import OVERLAP
from kumquatchuted.responses.matching import match_response
from kumquatchuted.responses.messages import Exchange
from kumquatchuted.responses.messages import Foreign
from kumquatchuted.responses.messages import MatchedAsFirst
from kumquatchuted.responses.messages import MatchedById
from kumquatchuted.responses.messages import Unproven
from kumquatchuted.responses.messages import Verdict

# The parser reports a change of protocol, which no request asks for, by an
# exception of another class.
PARSER_ERRORS = (HttpParserError, HttpParserUpgrade)
# Responses with these statuses have no body, whatever their headers state.
BODILESS_STATUSES = (204, 304)
# A faulty searcher may send bytes without end.
MAX_RECEIVED_BYTES = 16 * 1024 * 1024
# A header takes about 200 bytes besides its text.
MAX_HEADERS = 256
# Cause of an exchange that ends because no other response can follow.
NO_OTHER_RESPONSE = "no response follows that to another request"
# A copy of a response comes within seconds, so that only the last requests of
# a connection need to be told apart.
MAX_CARRIED_IDS = 64
# Bytes of heads, trailers and framing: a fixed part, and for each byte of a
# body more than the six of a chunk that holds a single byte.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_PER_BODY_BYTE = 8


@dataclass(frozen=True, slots=True)
class RawResponse:
    """A complete response as received; header names in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


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


@dataclass(frozen=True, slots=True)
class HeadCodec:
    """How the heads of responses are read.

    :param id_header: response header that echoes the request id, in lower
        case
    :param digest_header: response header with the digest, in lower case
    :param decode_notices: takes a status and headers, returns notices
    """

    id_header: bytes
    digest_header: bytes
    decode_notices: Callable[[int, list], tuple[Notice, ...]]


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
        max_received_bytes: int = MAX_RECEIVED_BYTES,
        number: int = 0,
    ) -> None:
        """Create the protocol of a connection that is being opened.

        :param process: process of the searcher
        :param post: receives the events of the connection
        :param on_received: called with the number of bytes that have arrived
            for a request; it may call ``fail``
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
        self._codec = codec
        self._post = post
        self._on_received = on_received
        self._max_received_bytes = max_received_bytes
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._carried_ids: deque[bytes] = deque(maxlen=MAX_CARRIED_IDS)
        self._must_close = False
        self._complete_response: RawResponse | None = None
        self._complete_verdict: Verdict | None = None
        # Why the exchange ends unless a proven response has arrived as well.
        self._unproven: Unproven | None = None
        self._received_bytes = 0
        self._received_body_bytes = 0
        # Status lines that the parser has read from the latest bytes.
        self._parsed_heads = 0
        # End of the bytes before, in which a status line may begin.
        self._overlap = b""
        # Whether the bytes of the exchange hold more than one status line.
        self._may_be_joined = False
        self._body_search = BodySearch(codec.id_header, codec.digest_header)
        self._reset_response()
        self._parser = HttpResponseParser(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Post ``ConnectionOpened``; requests may be sent from now on."""
        self._transport = transport
        self._post(ConnectionOpened(self))

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Send a request; its response is posted as ``ResponseReceived``."""
        self._exchange = exchange
        self._carried_ids.append(exchange.request_id)
        self._received_bytes = self._received_body_bytes = 0
        self._unproven = None
        self._overlap = b""
        self._may_be_joined = False
        self._body_search.reset()
        self.is_unused = False
        self._transport.write(data)

    def close(self) -> None:
        """Abort the connection, unless it is still being opened.

        ``ConnectionClosed`` is then posted without the key of a request that
        awaits its response.
        """
        self._exchange = None
        if self._transport is not None:
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
        """Parse bytes and post a response that they complete.

        Bytes that arrive while no request is pending close the connection,
        because the next request would take them for its response.
        """
        if self._exchange is None:
            self._read_unexpected(data)
            return
        failure = None
        if not self._may_be_joined:
            self._may_be_joined = may_be_joined(
                data, self._overlap, is_start=not self._received_bytes
            )
        self._parsed_heads = 0
        try:
            self._parser.feed_data(data)
        except PARSER_ERRORS as exc:
            self._must_close = True
            failure = f"invalid HTTP response: {exc}"
            self._check_end(data)
        self._overlap = data[-OVERLAP:]
        if self._may_be_joined and self._body_search.finds_head(self._body):
            self._unproven = Unproven(JOINED_RESPONSES)
        self._received_bytes += len(data)
        if self._complete_response is None:
            if self._unproven is not None:
                self._reject_response(self._unproven)
                return
            if failure is None and self._is_too_long():
                failure = "response too long"
            if failure is not None:
                self.fail(failure)
                return
        self._on_received(self, len(data))
        self._post_response()

    def eof_received(self) -> bool:
        """Complete a response whose end is the end of the connection.

        :returns: False, so that the transport closes
        """
        if self._exchange is not None and self._ends_at_eof():
            self._must_close = True
            self._store_response()
            self._post_response()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Post ``ConnectionClosed``."""
        reason = "closed" if exc is None else type(exc).__name__
        exchange, self._exchange = self._exchange, None
        key = None if exchange is None else exchange.key
        self._post(ConnectionClosed(self, key, reason))

    def on_message_begin(self) -> None:
        """Start a response (callback of the parser)."""
        if self._complete_response is not None:
            self._must_close = True
        self._reset_response()

    def on_status(self, reason: bytes) -> None:
        """Keep the reason phrase (callback of the parser)."""
        if not self._reason:
            self._parsed_heads += 1
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header (callback of the parser).

        Trailers, which follow the body, are not used: they would change what
        the head has stated.
        """
        if not self._is_header_complete:
            self._headers.append((name.lower(), value))
        elif holds_status_line(value):
            self._unproven = Unproven(JOINED_RESPONSES)

    def on_headers_complete(self) -> None:
        """Keep the status (callback of the parser)."""
        self._status = self._parser.get_status_code()
        self._is_header_complete = True
        if not self._reason:
            self._parsed_heads += 1
        notices = self._codec.decode_notices(self._status, self._headers)
        if notices:
            self._post(NoticesReceived(self, notices))
        if self._exchange is None or self._status < 200:
            return
        if self._complete_response is None:
            self._verdict = self._judge_head()
            if isinstance(self._verdict, Unproven):
                self._unproven = self._verdict
        if not self._exchange.expects_body:
            # The parser would take the next response for the body that these
            # headers announce.
            self._must_close = True
            self._store_response()

    def _judge_head(self) -> Verdict:
        if self._may_be_joined and is_head_joined(self._reason, self._headers):
            return Unproven(JOINED_RESPONSES)
        id_header = self._codec.id_header
        return match_response(
            self._exchange, [v for k, v in self._headers if k == id_header]
        )

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body (callback of the parser)."""
        self._body += body
        self._received_body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Finish a response (callback of the parser).

        Interim responses (status 1xx) are skipped.
        """
        if self._status < 200:
            return
        if not self._parser.should_keep_alive():
            self._must_close = True
        self._store_response()

    def _store_response(self) -> None:
        """Keep the response if it is the one to the pending request."""
        if self._complete_response is not None or self._exchange is None:
            return
        match self._verdict:
            case MatchedById():
                pass
            case MatchedAsFirst():
                self._must_close = True
            case Foreign() as foreign:
                self._skip_response(foreign)
                return
            case Unproven():
                return
        if self._may_be_joined and self._body_search.finds_head(self._body):
            self._unproven = Unproven(JOINED_RESPONSES)
            return
        self._complete_response = RawResponse(
            self._status, tuple(self._headers), bytes(self._body)
        )
        self._complete_verdict = self._verdict
        self._body = bytearray()

    def _post_response(self) -> None:
        """Post the response if one is complete.

        It is called only after all received bytes were parsed, because bytes
        that follow the response make the connection unusable.
        """
        if self._complete_response is None or self._exchange is None:
            return
        self.has_responded = True
        response, exchange = self._complete_response, self._exchange
        self._complete_response = self._exchange = None
        is_reusable = not self._must_close and self.is_open()
        self._post(
            ResponseReceived(
                self,
                exchange.key,
                response,
                is_reusable,
                self._complete_verdict,
            )
        )
        if not is_reusable:
            self._transport.close()

    def _read_unexpected(self, data: bytes) -> None:
        """Read the head of an unexpected response and close the connection."""
        self._must_close = True
        last_request_id = self._carried_ids[-1] if self._carried_ids else b""
        self._post(UnexpectedBytes(self, len(data), last_request_id))
        # Bytes that are no response state nothing.
        with contextlib.suppress(*PARSER_ERRORS):
            self._parser.feed_data(data)
        self.close()

    def fail(self, reason: str) -> None:
        """Give up the response that is being received."""
        exchange, self._exchange = self._exchange, None
        self._complete_response = None
        self._reset_response()
        if exchange is not None:
            self._post(ConnectionClosed(self, exchange.key, reason))
        self._transport.abort()

    def _check_end(self, data: bytes) -> None:
        """Discard a complete response that ends inside another one.

        The parser has failed after its end. If it has missed a status line,
        that line begins in the body.
        """
        if self._complete_response is None:
            return
        if count_status_lines(self._overlap + data) > self._parsed_heads:
            self._complete_response = None
            self._unproven = Unproven(JOINED_RESPONSES)

    def _reject_response(self, verdict: Unproven) -> None:
        """End the exchange, because its response cannot be recognised."""
        self.has_responded = True
        self._post_skipped(verdict)
        self.fail(verdict.reason)

    def _skip_response(self, verdict: Foreign) -> None:
        """Wait for another response, unless none can follow.

        The searcher has shown that it responds twice, so that the connection
        carries no other request.
        """
        is_last = not self._parser.should_keep_alive()
        if is_last or not self._exchange.expects_body:
            self._unproven = Unproven(NO_OTHER_RESPONSE)
            return
        self._must_close = True
        self._post_skipped(verdict)

    def _post_skipped(self, verdict: Foreign | Unproven) -> None:
        self._post(
            ResponseSkipped(
                self, self._exchange.request_id, self._status, verdict
            )
        )

    def _is_too_long(self) -> bool:
        """Return whether more has arrived for the request than is allowed."""
        body_bytes = self._received_body_bytes
        overhead_bytes = self._received_bytes - body_bytes
        return (
            self._received_bytes > self._max_received_bytes
            or len(self._headers) > MAX_HEADERS
            or overhead_bytes
            > MAX_OVERHEAD_BYTES + body_bytes * MAX_OVERHEAD_PER_BODY_BYTE
        )

    def _ends_at_eof(self) -> bool:
        if not self._is_header_complete or self._status < 200:
            return False
        if self._status in BODILESS_STATUSES:
            return False
        names = {name for name, _ in self._headers}
        return not names & {b"content-length", b"transfer-encoding"}

    def _reset_response(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        # Parts of a body can be single bytes, which take more as objects.
        self._body = bytearray()
        if self._may_be_joined:
            self._body_search.reset()
        self._status = 0
        self._reason = b""
        self._verdict: Verdict | None = None
        self._is_header_complete = False
