"""Encodes requests to searchers and decodes their responses."""

from collections.abc import Iterable
import math
import re

from kumquatchuted.notices.messages import Leaving
from kumquatchuted.notices.messages import MalformedNotice
from kumquatchuted.notices.messages import Notice
from kumquatchuted.notices.messages import PauseRequested
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.searchers.load import LoadReport
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.read_results import RawResponse

REQUEST_ID_HEADER = b"x-request-id"
STAMP_HEADER = b"x-server-stamp"
STAMP_PATTERN = re.compile(rb"[!-+\--~]+")
ENCODING_HEADER = b"content-encoding"
NOT_EXECUTED_HEADER = b"x-not-executed"
LOAD_HEADER = b"x-server-load"
# Requests per second that the searcher takes from all nodes together.
LIMIT_HEADER = b"server-limit"
LEAVING_HEADER = b"server-leaving"
LEAVING_VALUE = b"1"
RETRY_AFTER_HEADER = b"retry-after"
# Seconds, maybe with a fraction. HTTP also allows a date, which a node cannot
# use because the clocks of hosts differ.
RETRY_AFTER_PATTERN = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Bytes of a malformed value that are logged.
MAX_LOGGED_BYTES = 40
# Headers that are not forwarded to callers: they belong to the connection to
# the searcher, or concern only the nodes of this system.
DROPPED_RESPONSE_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"server-leaving",
        b"server-limit",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-instance-id",
        b"x-not-executed",
        b"x-server-load",
        b"x-warmup-ms",
    )
)


def encode_attempt(
    outgoing: OutgoingRequest,
    remaining_s: float,
    expected_searcher: str | None,
) -> bytes:
    """Return the bytes of a request to a searcher.

    :param remaining_s: time for which the caller still waits, in seconds
    :param expected_searcher: name of the searcher; None on a connection over
        which it has responded before, since no other process can have taken
        over such a connection
    """
    remaining_ms = max(1, int(remaining_s * 1000))
    chunks = [outgoing.head, b"X-Deadline-Ms: %d\r\n" % remaining_ms]
    if expected_searcher is not None:
        chunks.append(
            b"X-Expect-Instance: %s\r\n" % expected_searcher.encode()
        )
    chunks += [b"\r\n", outgoing.body]
    return b"".join(chunks)


def decode_response(raw: RawResponse, source: str = "") -> SearcherResponse:
    """Decode a response: whether the attempt ran, its stamp and headers.

    :param source: searcher and connection that it came from
    """
    stamps = set()
    not_executed = raw.status == MISDIRECTED_STATUS
    is_encoded = False
    forwarded = []
    for name, value in raw.headers:
        if name == STAMP_HEADER:
            stamps.add(value.strip())
            continue
        if name == NOT_EXECUTED_HEADER:
            not_executed = True
        elif name == ENCODING_HEADER:
            is_encoded |= value.strip().lower() not in (b"", b"identity")
        if name not in DROPPED_RESPONSE_HEADERS:
            forwarded.append((name, value))
    stamp = _select_stamp(stamps)
    if stamp:
        # Callers get one digest, also if it was sent twice.
        forwarded.append((STAMP_HEADER, stamp))
    return SearcherResponse(
        status=raw.status,
        stamp=stamp,
        body=raw.body,
        not_executed=not_executed,
        wrong_process=raw.status == MISDIRECTED_STATUS,
        headers=tuple(forwarded),
        source=source,
        is_encoded=is_encoded,
    )


def _select_stamp(stamps: set[bytes]) -> bytes:
    """Return the digest of a response, empty if it has no or several ones.

    A digest with a comma would be several ones in the list that the caller of
    a query gets.
    """
    if len(stamps) != 1:
        return b""
    (stamp,) = stamps
    return stamp if STAMP_PATTERN.fullmatch(stamp) else b""


def decode_load(
    raw: RawResponse, now: float, own_attempts: int
) -> LoadReport | None:
    """Decode the load that a searcher reports.

    :param now: monotonic time in seconds
    :param own_attempts: attempts of this node that the searcher still has
    :returns: None if the header is missing or malformed
    """
    for name, value in raw.headers:
        if name == LOAD_HEADER:
            fields = value.split(b",")
            if len(fields) < 2:
                return None
            try:
                return LoadReport(
                    int(fields[0]), int(fields[1]), now, own_attempts
                )
            except ValueError:
                return None
    return None


def decode_limit(raw: RawResponse) -> float | None:
    """Return how many requests a second the searcher takes from all nodes.

    :returns: None if the header is missing or malformed
    """
    for name, value in raw.headers:
        if name == LIMIT_HEADER:
            try:
                limit_per_s = float(value)
            except ValueError:
                return None
            is_valid = math.isfinite(limit_per_s) and limit_per_s >= 0
            return limit_per_s if is_valid else None
    return None


def decode_notices(
    status: int, headers: Iterable[tuple[bytes, bytes]]
) -> tuple[Notice, ...]:
    """Return what the head of a response states about further requests.

    The head of a response with status 421 comes from another process than the
    request was meant for, so it states nothing about the searcher. Of several
    pauses the longest counts.

    :param headers: names in lower case and values
    """
    if status == MISDIRECTED_STATUS:
        return ()
    notices: list[Notice] = []
    for name, value in headers:
        if name == LEAVING_HEADER:
            notices.append(
                Leaving()
                if value.strip() == LEAVING_VALUE
                else _malformed(name, value)
            )
        elif name == RETRY_AFTER_HEADER and status == UNAVAILABLE_STATUS:
            notices.append(
                PauseRequested(float(value))
                if RETRY_AFTER_PATTERN.fullmatch(value.strip())
                else _malformed(name, value)
            )
    return tuple(notices)


def _malformed(name: bytes, value: bytes) -> MalformedNotice:
    return MalformedNotice(
        name.decode("latin-1"), value[:MAX_LOGGED_BYTES].decode("latin-1")
    )


def decode_keep_alive_timeout(raw: RawResponse) -> float | None:
    """Return for how many seconds the searcher keeps an idle connection.

    :returns: None if the header is missing or malformed
    """
    for name, value in raw.headers:
        if name == b"keep-alive":
            for parameter in value.split(b","):
                key, _, timeout = parameter.strip().partition(b"=")
                if key.strip().lower() == b"timeout" and timeout.isdigit():
                    return float(timeout)
    return None
