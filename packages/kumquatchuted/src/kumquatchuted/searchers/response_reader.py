"""Reads the responses to the requests of a connection, with httptools.

The parser reports whatever it can read as a response. The reader decides which
of that is the response to the pending request.
"""

from collections.abc import Callable
from collections.abc import Container
from dataclasses import dataclass
from dataclasses import replace

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpResponseParser

from kumquatchuted.notices.messages import Notice
from kumquatchuted.responses.joined import BodySearch
from kumquatchuted.responses.joined import ends_in_headers
from kumquatchuted.responses.joined import ends_in_other_response
from kumquatchuted.responses.joined import ends_with_unfinished_head
from kumquatchuted.responses.joined import holds_status_line
from kumquatchuted.responses.joined import is_head_joined
from kumquatchuted.responses.joined import JOINED_RESPONSES
from kumquatchuted.responses.joined import may_be_joined
from kumquatchuted.responses.joined import OVERLAP
from kumquatchuted.responses.matching import match_response
from kumquatchuted.responses.messages import Exchange
from kumquatchuted.responses.messages import Foreign
from kumquatchuted.responses.messages import MatchedAsFirst
from kumquatchuted.responses.messages import Unproven
from kumquatchuted.responses.messages import Verdict
from kumquatchuted.searchers.read_results import Broken
from kumquatchuted.searchers.read_results import Complete
from kumquatchuted.searchers.read_results import INCOMPLETE
from kumquatchuted.searchers.read_results import RawResponse
from kumquatchuted.searchers.read_results import ReadResult
from kumquatchuted.searchers.read_results import Slow
from kumquatchuted.searchers.response_size import is_framing_slow
from kumquatchuted.searchers.response_size import is_overhead_too_long
from kumquatchuted.searchers.response_size import MAX_HEADERS

# The parser reports a change of protocol, which no request asks for, by an
# exception of another class.
PARSER_ERRORS = (HttpParserError, HttpParserUpgrade)
# Responses with these statuses have no body, whatever their headers state.
BODILESS_STATUSES = (204, 304)
INTERIM_STATUSES = range(100, 200)
MIN_STATUS = 100
# Bytes that are parsed at once. The event loop reads up to 256 KiB.
MAX_PARSED_BYTES = 8 * 1024
# Causes of exchanges that end without a usable response.
NO_OTHER_RESPONSE = "no response follows that to another request"
TOO_LONG = "response too long"
INVALID_STATUS = "the response has an invalid status"


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


class ResponseReader:
    """Owns the parser and the response that is being read."""

    def __init__(
        self,
        codec: HeadCodec,
        on_notices: Callable[[tuple[Notice, ...]], None],
        on_skipped: Callable[[int, Foreign], None],
        max_received_bytes: int,
        carried_ids: Container[bytes],
    ) -> None:
        """Create a reader without a pending request.

        :param on_notices: called with what a complete head states
        :param on_skipped: called with the status and verdict of a response to
            another request
        :param max_received_bytes: how many bytes may arrive for a request
        :param carried_ids: ids of the last requests of the connection
        """
        self._codec = codec
        self._carried_ids = carried_ids
        self._on_notices = on_notices
        self._on_skipped = on_skipped
        self._max_received_bytes = max_received_bytes
        self._exchange: Exchange | None = None
        self._is_last = False
        self._complete: Complete | None = None
        # Why the exchange ends unless a proven response has arrived as well.
        self._unproven: Unproven | None = None
        self._received_bytes = 0
        self._received_body_bytes = 0
        # Bytes received when the last head was complete.
        self._received_head_bytes = 0
        # End of the bytes before, in which a status line may begin.
        self._overlap = b""
        # Whether the bytes of the exchange hold more than one status line.
        self._may_be_joined = False
        self._body_search = BodySearch(codec.id_header, codec.digest_header)
        self._reset_response()
        self._parser = HttpResponseParser(self)

    @property
    def status(self) -> int:
        """Return the status of the response that is being read."""
        return self._status

    def begin(self, exchange: Exchange) -> None:
        """Expect the response to a request."""
        self._exchange = exchange
        self._complete = self._unproven = None
        self._received_bytes = self._received_body_bytes = 0
        self._received_head_bytes = 0
        self._overlap = b""
        self._may_be_joined = False
        self._body_search.reset()

    def end(self) -> None:
        """Expect no response, and keep nothing of what has arrived."""
        self._exchange = self._complete = None
        self._reset_response()

    def feed(self, data: bytes) -> ReadResult:
        """Read bytes that have arrived for the pending request.

        All of them are read before a response counts as complete, because
        bytes that follow it make the connection unusable. Only those of a
        response that is read slowly can remain.
        """
        if not self._may_be_joined:
            self._may_be_joined = may_be_joined(
                data, self._overlap, is_start=not self._received_bytes
            )
        start = self._received_bytes
        error = self._parse(data)
        self._overlap = data[-OVERLAP:]
        complete, self._complete = self._complete, None
        if complete is not None:
            return (
                replace(complete, is_last=True) if self._is_last else complete
            )
        if self._may_be_joined and self._body_search.finds_head(
            self._body, is_whole=False
        ):
            self._reject(JOINED_RESPONSES)
        if self._unproven is not None:
            return Broken(self._unproven.reason, self._unproven)
        if error is not None:
            return Broken(error)
        if self._is_too_long():
            return Broken(TOO_LONG)
        if self._is_slow():
            # Bytes that follow the response would not have been read.
            self._is_last = True
            return Slow(data[self._received_bytes - start :])
        return INCOMPLETE

    def feed_eof(self) -> ReadResult:
        """Complete a response whose end is the end of the connection."""
        if not self._ends_at_eof():
            return INCOMPLETE
        self._is_last = True
        if self._may_be_joined and ends_with_unfinished_head(self._body):
            self._reject(JOINED_RESPONSES)
        else:
            self._store_response()
        if self._unproven is not None:
            return Broken(self._unproven.reason, self._unproven)
        complete, self._complete = self._complete, None
        return complete or INCOMPLETE

    def read_notices(self, data: bytes) -> None:
        """Read the head of a response that no request awaits."""
        self._is_last = True
        self._parse(data)

    def _parse(self, data: bytes) -> str | None:
        """Parse bytes and return the error of the parser, if there is one."""
        try:
            for start in range(0, len(data), MAX_PARSED_BYTES):
                part = data[start : start + MAX_PARSED_BYTES]
                self._received_bytes += len(part)
                self._parser.feed_data(part)
                if self._is_slow() or self._has_too_many_headers():
                    break
        except PARSER_ERRORS as exc:
            self._is_last = True
            self._discard_if_joined()
            return f"invalid HTTP response: {exc}"
        return None

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start a response (callback of the parser)."""
        if self._complete is not None:
            self._is_last = True
        self._reset_response()

    def on_status(self, reason: bytes) -> None:
        """Keep the reason phrase (callback of the parser)."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header (callback of the parser).

        Trailers, which follow the body, are not used: they would change what
        the head has stated.
        """
        if not self._is_header_complete:
            self._headers.append((name.lower(), value))
        elif holds_status_line(value):
            self._reject(JOINED_RESPONSES)

    def on_headers_complete(self) -> None:
        """Decide whose the response is (callback of the parser)."""
        self._status = self._parser.get_status_code()
        self._is_header_complete = True
        self._received_head_bytes = self._received_bytes
        if self._may_be_joined and is_head_joined(self._reason, self._headers):
            # Nothing that it states can be relied on.
            self._verdict = self._reject(JOINED_RESPONSES)
            return
        notices = self._codec.decode_notices(self._status, self._headers)
        if notices:
            self._on_notices(notices)
        if self._exchange is None or self._status in INTERIM_STATUSES:
            return
        if self._complete is None:
            self._verdict = self._judge_head()
        if not self._exchange.expects_body:
            # The parser would take the next response for the body that these
            # headers announce.
            self._is_last = True
            self._store_response()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body (callback of the parser)."""
        self._body += body
        self._received_body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Finish a response (callback of the parser).

        Interim responses (status 1xx) are skipped.
        """
        if self._status in INTERIM_STATUSES:
            return
        if not self._parser.should_keep_alive():
            self._is_last = True
        self._store_response()

    def _judge_head(self) -> Verdict:
        """Decide whose the response is; end the exchange if none is due."""
        if self._status < MIN_STATUS:
            return self._reject(INVALID_STATUS)
        id_header = self._codec.id_header
        verdict = match_response(
            self._exchange,
            [v for k, v in self._headers if k == id_header],
            self._carried_ids,
        )
        match verdict:
            case Unproven(reason=reason):
                return self._reject(reason)
            case Foreign() if not self._can_another_follow():
                return self._reject(NO_OTHER_RESPONSE)
        return verdict

    def _can_another_follow(self) -> bool:
        """Return whether another response can be read after this one."""
        return self._exchange.expects_body and self._parser.should_keep_alive()

    def _reject(self, reason: str) -> Unproven:
        """End the exchange, unless a proven response has arrived as well.

        The connection carries no other request.
        """
        self._is_last = True
        self._unproven = Unproven(reason)
        return self._unproven

    def _store_response(self) -> None:
        """Keep the response if it is the one to the pending request."""
        if self._complete is not None or self._exchange is None:
            return
        match self._verdict:
            case MatchedAsFirst():
                self._is_last = True
            case Foreign() as foreign:
                # The searcher has shown that it responds twice.
                self._is_last = True
                self._on_skipped(self._status, foreign)
                return
            case Unproven():
                return
        if self._may_be_joined and self._is_body_joined():
            self._reject(JOINED_RESPONSES)
            return
        response = RawResponse(
            self._status, tuple(self._headers), bytes(self._body)
        )
        self._complete = Complete(response, self._verdict, self._is_last)
        self._body = bytearray()

    def _is_body_joined(self) -> bool:
        """Return whether a complete body holds bytes of another response.

        Only a stated length can end inside a head: the last chunk of a chunked
        body stands behind its own length.
        """
        if self._body_search.finds_head(self._body, is_whole=True):
            return True
        return any(
            name == b"content-length" for name, _ in self._headers
        ) and ends_in_headers(self._body)

    def _discard_if_joined(self) -> None:
        """Discard a complete response that ends inside another one.

        The parser has failed behind its end. That shows nothing for a response
        without a body, whose headers can announce one.
        """
        if (
            self._complete is not None
            and self._exchange.expects_body
            and ends_in_other_response(self._complete.response.body)
        ):
            self._complete = None
            self._reject(JOINED_RESPONSES)

    def _is_too_long(self) -> bool:
        """Return whether more has arrived for the request than is allowed."""
        return (
            self._received_bytes > self._max_received_bytes
            or self._has_too_many_headers()
            or is_overhead_too_long(
                self._received_bytes, self._received_body_bytes
            )
        )

    def _has_too_many_headers(self) -> bool:
        return len(self._headers) > MAX_HEADERS and self._complete is None

    def _is_slow(self) -> bool:
        """Return whether the rest of the response is to be read in turns."""
        if self._complete is not None or self._exchange is None:
            return False
        return self._is_header_complete and is_framing_slow(
            self._received_bytes - self._received_head_bytes,
            self._received_body_bytes,
        )

    def _ends_at_eof(self) -> bool:
        if not self._is_header_complete or self._status in INTERIM_STATUSES:
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
