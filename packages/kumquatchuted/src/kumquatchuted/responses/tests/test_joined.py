"""Responses that were joined with another one."""

import pytest

from kumquatchuted.responses.joined import BodySearch

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
