"""Encodes requests to searchers and decodes their answers."""

from kumquatchuted.searchers.connection import RawResponse
from kumquatchuted.searchers.load import LoadReport
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.messages import SearcherResponse

REQUEST_ID_HEADER = b"x-request-id"
STAMP_HEADER = b"x-server-stamp"
NOT_EXECUTED_HEADER = b"x-not-executed"
LOAD_HEADER = b"x-server-load"
MISDIRECTED = 421
# Headers that concern one connection or only the nodes of this system.
NOT_FOR_CALLERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
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
    outgoing: OutgoingRequest, left_s: float, process: str | None
) -> bytes:
    """Return the bytes of a request.

    :param left_s: time for which the caller still waits, in seconds
    :param process: name of the searcher; None on a connection over which it
        has answered, which no other process can have taken over
    """
    left_ms = max(1, int(left_s * 1000))
    parts = [outgoing.head, b"X-Deadline-Ms: %d\r\n" % left_ms]
    if process is not None:
        parts.append(b"X-Expect-Instance: %s\r\n" % process.encode())
    parts += [b"\r\n", outgoing.body]
    return b"".join(parts)


def decode_response(raw: RawResponse) -> SearcherResponse:
    """Decode what an answer says about its request."""
    stamp = b""
    not_executed = raw.status == MISDIRECTED
    passed_on = []
    for name, value in raw.headers:
        if name == STAMP_HEADER:
            stamp = value
        elif name == NOT_EXECUTED_HEADER:
            not_executed = True
        if name not in NOT_FOR_CALLERS:
            passed_on.append((name, value))
    return SearcherResponse(
        status=raw.status,
        stamp=stamp,
        body=raw.body,
        not_executed=not_executed,
        wrong_process=raw.status == MISDIRECTED,
        headers=tuple(passed_on),
    )


def decode_load(raw: RawResponse, now: float, own: int) -> LoadReport | None:
    """Decode the load that a searcher reports, or None.

    :param now: monotonic time in seconds
    :param own: attempts of this node that the searcher still has
    """
    for name, value in raw.headers:
        if name == LOAD_HEADER:
            numbers = value.split(b",")
            if len(numbers) < 2:
                return None
            try:
                return LoadReport(int(numbers[0]), int(numbers[1]), now, own)
            except ValueError:
                return None
    return None


def decode_keep_alive_timeout(raw: RawResponse) -> float | None:
    """Decode for how many seconds an idle connection is kept, or None."""
    for name, value in raw.headers:
        if name == b"keep-alive":
            for item in value.split(b","):
                key, _, number = item.strip().partition(b"=")
                if key.strip().lower() == b"timeout" and number.isdigit():
                    return float(number)
    return None
