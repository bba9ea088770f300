"""Tests of the codecs for callers' and searchers' requests."""

import pytest

from kumquatchuted.platform.callers import decode_request
from kumquatchuted.platform.callers import encode_coverage
from kumquatchuted.platform.searcher_codec import decode_keep_alive_timeout
from kumquatchuted.platform.searcher_codec import decode_load
from kumquatchuted.platform.searcher_codec import decode_response
from kumquatchuted.platform.searcher_codec import encode_attempt
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.searchers.read_results import RawResponse

HEADERS = [
    (b"host", b"a.example"),
    (b"x-request-id", b"r1"),
    (b"x-deadline-ms", b"800"),
    (b"x-expect-instance", b"i-evil"),
    (b"transfer-encoding", b"chunked"),
    (b"accept", b"*/*"),
]


def make_raw_response(
    status: int, *headers: tuple[bytes, bytes]
) -> RawResponse:
    """Return a raw response with headers."""
    return RawResponse(status, headers, b"body")


def test_forwarded_request_keeps_path_headers_and_body() -> None:
    """Guards against a request that is altered when it is forwarded.

    Only the headers of the caller's connection and those that nodes set are
    replaced; a caller must not choose which searcher process responds.
    """
    req = decode_request("POST", b"/x/%2f", b"q=1", HEADERS, b"data")
    sent = encode_attempt(req.outgoing, 0.25, "i-1")
    head, _, body = sent.partition(b"\r\n\r\n")
    assert head.split(b"\r\n") == [
        b"POST /x/%2f?q=1 HTTP/1.1",
        b"host: a.example",
        b"x-request-id: r1",
        b"accept: */*",
        b"content-length: 4",
        b"X-Deadline-Ms: 250",
        b"X-Expect-Instance: i-1",
    ]
    assert body == b"data"
    assert req.caller_timeout_s == 0.8
    assert (req.host, req.path) == ("a.example", "/x/%2f")


def test_request_without_a_body_has_no_length() -> None:
    """Guards against a searcher that waits for a body that was never sent."""
    req = decode_request("GET", b"/x/", b"", HEADERS[:3], b"")
    assert b"content-length" not in encode_attempt(req.outgoing, 1, None)


def test_unparsable_deadline_counts_as_none() -> None:
    """Guards against an exception caused by a caller's header.

    A deadline that is no number or out of range counts as not stated.
    """
    for value in (b"soon", b"nan", b"-5", b"1e99", b""):
        headers = [(b"x-deadline-ms", value)]
        req = decode_request("GET", b"/", b"", headers, b"")
        assert req.caller_timeout_s is None


def test_request_with_two_ids_counts_as_one_without() -> None:
    """Guards against a response that is not recognised as the caller's.

    Both ids are forwarded, and the searcher may name either.
    """
    headers = [(b"x-request-id", b"a"), (b"x-request-id", b"b")]
    req = decode_request("GET", b"/", b"", headers, b"")
    assert req.outgoing.request_id == b""
    same = decode_request("GET", b"/", b"", headers[:1] * 2, b"")
    assert same.outgoing.request_id == b"a"


def test_execution_and_stamp_headers_are_decoded() -> None:
    """Guards against a request that ran but is reported as not run.

    It would be sent to another searcher and run twice. Only the header and
    status 421 state that it did not run, not status 503 alone.
    """
    rejected = decode_response(
        make_raw_response(503, (b"x-not-executed", b"1"))
    )
    assert rejected.not_executed
    assert not decode_response(make_raw_response(503)).not_executed
    misdirected = decode_response(make_raw_response(421))
    assert misdirected.wrong_process
    assert misdirected.not_executed
    stamped = decode_response(
        make_raw_response(
            200, (b"x-server-stamp", b"s"), (b"connection", b"close")
        )
    )
    assert stamped.stamp == b"s"
    assert stamped.headers == ((b"x-server-stamp", b"s"),)


@pytest.mark.parametrize(
    "values",
    [(), (b"",), (b"a, b",), (b"a,b",), (b"a b",), (b"a", b"b"), (b"\xff",)],
    ids=repr,
)
def test_value_that_is_no_single_digest_counts_as_none(
    values: tuple[bytes, ...],
) -> None:
    """Guards against a list of digests that holds one of no shard.

    The caller of a query gets the digests of all parts in one list, and a
    response with two digests shows not which one is that of its body.
    """
    headers = tuple((b"x-server-stamp", value) for value in values)
    response = decode_response(make_raw_response(200, *headers))
    assert response.stamp == b""
    assert not response.headers


@pytest.mark.parametrize("values", [(b"a",), (b"a ",), (b"a", b"\ta")])
def test_digest_is_forwarded_once(values: tuple[bytes, ...]) -> None:
    """Guards against a digest that differs from that of the searcher.

    HTTP joins headers of one name with a comma, and allows whitespace after a
    value.
    """
    headers = tuple((b"x-server-stamp", value) for value in values)
    response = decode_response(make_raw_response(200, *headers))
    assert response.stamp == b"a"
    assert response.headers == ((b"x-server-stamp", b"a"),)


@pytest.mark.parametrize(
    ("value", "is_encoded"),
    [(b"gzip", True), (b"br, gzip", True), (b"identity", False)],
)
def test_encoded_body_is_recognised(value: bytes, is_encoded: bool) -> None:
    """Guards against an encoded body that passes for the searcher's."""
    raw = make_raw_response(
        200, (b"content-encoding", value), (b"content-encoding", b"identity")
    )
    assert decode_response(raw).is_encoded == is_encoded


def test_load_and_keep_alive_headers_tolerate_any_text() -> None:
    """Guards against an exception caused by a searcher's header.

    A malformed header counts as missing.
    """
    report = decode_load(
        make_raw_response(200, (b"x-server-load", b"3,1,8")), 5.0, 1
    )
    assert (report.running, report.waiting) == (3, 1)
    for value in (b"", b"a,b,c", b"7"):
        assert (
            decode_load(
                make_raw_response(200, (b"x-server-load", value)), 5, 0
            )
            is None
        )
    assert (
        decode_keep_alive_timeout(
            make_raw_response(200, (b"keep-alive", b"timeout=5"))
        )
        == 5.0
    )
    assert (
        decode_keep_alive_timeout(
            make_raw_response(200, (b"keep-alive", b"max=x"))
        )
        is None
    )


def test_coverage_headers_count_missing_shards() -> None:
    """Guards against a response that hides missing shards.

    The caller would take the hits of some shards for all hits.
    """
    responses = [
        SearcherResponse(200, b"s%d" % n, b"", False, False, ())
        for n in (1, 2)
    ]
    assert encode_coverage(responses, 1) == (
        ("X-Part-Stamps", "s1,s2"),
        ("X-Missing-Parts", "1"),
    )
