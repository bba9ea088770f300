"""Decodes callers' requests and encodes headers of the responses."""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.searchers.messages import OutgoingRequest

REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_HEADER = b"x-deadline-ms"
MS_PER_S = 1000
# Headers that are not forwarded to searchers: they belong to the caller's
# connection, or nodes set them themselves.
DROPPED_REQUEST_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-deadline-ms",
        b"x-expect-instance",
    )
)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request and the request that is forwarded.

    :param path: as sent, without the query string
    :param caller_timeout_s: time for which the caller waits, in seconds;
        None if the request does not state it
    :param outgoing: request to a searcher
    :param is_first_on_connection: whether no request preceded it on its
        connection
    """

    host: str
    path: str
    request_id: str
    caller_timeout_s: float | None
    outgoing: OutgoingRequest
    is_first_on_connection: bool = False


def decode_request(
    method: str,
    path: bytes,
    query: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    is_first_on_connection: bool = False,
) -> CallerRequest:
    """Decode a caller's request.

    :param path: raw path, still percent-encoded
    :param query: raw query string, without the question mark
    :param headers: names in lower case and values
    """
    host = b""
    request_ids = set()
    caller_timeout_s = None
    has_body = bool(body)
    request_target = path + b"?" + query if query else path
    lines = [b"%s %s HTTP/1.1\r\n" % (method.encode(), request_target)]
    for name, value in headers:
        if name == b"host":
            host = value
        elif name == REQUEST_ID_HEADER:
            request_ids.add(value)
        elif name == DEADLINE_HEADER:
            caller_timeout_s = _parse_timeout_s(value)
        elif name == b"content-length":
            has_body = True
        if name not in DROPPED_REQUEST_HEADERS:
            lines.append(b"%s: %s\r\n" % (name, value))
    # A searcher could name either of two ids in its response.
    request_id = request_ids.pop() if len(request_ids) == 1 else b""
    if has_body:
        lines.append(b"content-length: %d\r\n" % len(body))
    return CallerRequest(
        host=host.decode("latin-1"),
        path=path.decode("latin-1"),
        request_id=request_id.decode("latin-1"),
        caller_timeout_s=caller_timeout_s,
        outgoing=OutgoingRequest(
            request_id, method.encode(), b"".join(lines), body
        ),
        is_first_on_connection=is_first_on_connection,
    )


def encode_coverage(
    responses: Iterable[SearcherResponse], missing: int
) -> tuple[tuple[str, str], ...]:
    """Return the headers that state what a merged response covers.

    :param responses: responses of the shards that are merged
    :param missing: number of shards without a response
    """
    stamps = ",".join(
        response.stamp.decode("latin-1") for response in responses
    )
    headers = [("X-Part-Stamps", stamps)]
    if missing:
        headers.append(("X-Missing-Parts", str(missing)))
    return tuple(headers)


def encode_retry_after(delay_s: float) -> tuple[str, str]:
    """Return the header that states when a retry may succeed.

    :param delay_s: time until then, in seconds
    """
    return "Retry-After", f"{delay_s:.3f}"


def _parse_timeout_s(value: bytes) -> float | None:
    try:
        timeout_ms = float(value)
    except ValueError:
        return None
    return timeout_ms / MS_PER_S if 0 <= timeout_ms < 1e9 else None
