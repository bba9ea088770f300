"""Responses that were joined with another one."""

import pytest

from kumquatchuted.responses.joined import BodySearch
from kumquatchuted.responses.joined import is_head_joined
from kumquatchuted.responses.joined import may_be_joined

HEAD = (
    b"HTTP/1.1 200 OK\r\nDate: today\r\nX-Request-Id: r0\r\n"
    b"Content-Length: 3\r\n\r\nold"
)


def search() -> BodySearch:
    """Return a search for the heads of responses."""
    return BodySearch(b"x-request-id", b"x-server-stamp")


@pytest.mark.parametrize("read_bytes", [1, 5, 1000])
def test_head_in_a_body_is_found(read_bytes: int) -> None:
    """Guards against a body that is continued by another response.

    The head arrives in reads of a certain size, after a long beginning.
    """
    body = b"\x00" * 20_000 + HEAD
    body_search = search()
    found = [
        body_search.finds_head(body[:end])
        for end in range(20_000, len(body) + read_bytes, read_bytes)
    ]
    assert found[-1] or any(found)
    assert not found[0]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"HTTP/1.1 is a protocol, and HTTP/1.1 404 Not Found a status line",
        b"HTTP/1.1 200 OK\r\nServer: example\r\n\r\na page about HTTP",
        b"X-Request-Id: r0\r\nHTTP/1.1 is what it is sent with",
    ],
)
def test_text_about_http_is_no_head(body: bytes) -> None:
    """Guards against whole answers that are lost for their content."""
    assert not search().finds_head(body)


@pytest.mark.parametrize(
    ("reason", "headers"),
    [
        (b"OHTTP/1.1 500 Failed", []),
        (b"OK", [(b"x-a", b"1HTTP/1.1 200 OK")]),
        (b"OK", [(b"x-b", b""), (b"x-server-stamp", b"s0HTTP/1.0 404 Gone")]),
    ],
    ids=["status line", "header", "digest"],
)
def test_joined_heads_are_recognised(
    reason: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    """Guards against the status of one response with the id of another.

    A copy that breaks off inside its head is joined with the next response.
    """
    assert is_head_joined(reason, headers)


def test_header_with_a_protocol_name_is_no_joined_head() -> None:
    """Guards against responses that are lost because of a proxy's header."""
    via = [(b"via", b"HTTP/1.1 cache-7, HTTP/1.1 2001")]
    assert not is_head_joined(b"OK", via)


def test_second_status_line_is_noticed_wherever_it_begins() -> None:
    """Guards against joined responses that no check looks at."""
    assert not may_be_joined(HEAD, b"", is_start=True)
    assert may_be_joined(HEAD + HEAD, b"", is_start=True)
    for length in range(1, len(HEAD) - 1):
        earlier, later = HEAD[:length], HEAD[length:]
        overlap = (b"x" * 20 + earlier)[-11:]
        assert may_be_joined(b"x" + earlier, b"", is_start=True) == (
            length >= 7
        )
        assert may_be_joined(later, overlap, is_start=False) or length >= 7
