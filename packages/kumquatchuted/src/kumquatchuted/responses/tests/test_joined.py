"""Responses that were joined with another one."""

import time

import pytest

from kumquatchuted.responses.joined import BodySearch
from kumquatchuted.responses.joined import ends_in_headers
from kumquatchuted.responses.joined import ends_in_other_response
from kumquatchuted.responses.joined import ends_with_unfinished_head
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
    body = b"\x00" * 20_000 + HEAD + b"\x00" * 20
    body_search = search()
    found = [
        body_search.finds_head(body[:end], is_whole=False)
        for end in range(20_000, len(body) + read_bytes, read_bytes)
    ]
    assert any(found)
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
    assert not search().finds_head(body, is_whole=True)


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


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 \r\n",
        b"HTTP/1.1 200 OK\r\nA: b\r\n",
        b"HTTP/1.1 200 " + b"x" * 240 + b"\r\n",
        b"HTTP/1.1 200 \r\nA:" + b"HTTP/1.1 200 " * 78,
    ],
)
def test_search_takes_time_in_proportion_to_the_body(text: bytes) -> None:
    """Guards against a body that blocks all requests of the node.

    Text that looks like many heads took 24 s for 256 KiB in one read, and
    23 ms for each of many small reads.
    """
    body = text * (256 * 1024 // len(text))
    started_at = time.process_time()
    assert not search().finds_head(body, is_whole=True)
    assert not ends_with_unfinished_head(b"x" + body + b"\r\n\r\n")
    assert not ends_in_headers(b"x" + body + b"\r\n\r\n")
    body_search = search()
    for end in range(16_384, 16_384 + 4_096):
        body_search.finds_head(body[:end], is_whole=False)
    assert time.process_time() - started_at < 4.0


@pytest.mark.parametrize("length", range(1, 40))
def test_beginning_of_a_response_at_the_end_is_recognised(
    length: int,
) -> None:
    """Guards against a body that is completed with the start of its copy."""
    assert ends_in_other_response(b"the ans" + HEAD[:length])
    assert ends_with_unfinished_head(b"the ans" + HEAD[:length]) == (
        length >= len("HTTP/1.1 200")
    )


def test_whole_bodies_do_not_end_in_another_response() -> None:
    """Guards against whole answers that are lost for their content."""
    for body in (b"", b"the answer", b"HTTP is a protocol", b"HTTP/1.1 or 2"):
        assert not ends_in_other_response(body)
        assert not ends_with_unfinished_head(body)
    page = b"HTTP/1.1 200 OK\r\nServer: example\r\n\r\na page about HTTP"
    assert not ends_with_unfinished_head(page)


@pytest.mark.parametrize("cut", range(len(b"HTTP/1.1 200 OK\r"), len(HEAD)))
def test_body_that_ends_anywhere_in_another_head_is_joined(cut: int) -> None:
    """Guards against a body whose stated length ends inside a copy's head."""
    body = b"the ans" + HEAD[:cut]
    assert ends_in_headers(body) or search().finds_head(body, is_whole=True)


def test_body_that_ends_with_the_beginnings_of_two_heads_is_joined() -> None:
    """Guards against a body that two broken-off copies complete.

    The first breaks off at each byte from the reason phrase, the second in its
    headers; or the first in its headers, the second at each byte.
    """
    headers_start = len(b"HTTP/1.1 200 OK\r")
    head_length = HEAD.index(b"\r\n\r\n") + 4
    for first in range(len(b"HTTP/1.1 200 "), head_length):
        # A lone CR before a head that ends in its status line shows nothing.
        in_headers = first > headers_start and HEAD[first - 1] != ord("\r")
        shortest = 1 if in_headers else headers_start
        for second in range(shortest, head_length):
            body = b"the ans" + HEAD[:first] + HEAD[:second]
            assert ends_in_headers(body) or search().finds_head(
                body, is_whole=True
            ), body


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"the answer",
        b"The server returned HTTP/1.1 404 Not Found",
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 200 OK\r\nServer: example\r\n\r\na page about HTTP",
        b"HTTP/1.1 200 OK\r\nServer: example\r\n\r\n",
        b"HTTP/1.1 200 OK\nServer: example\n",
        b"HTTP/1.1 200 OK\r\nmeans that the request has succeeded.\r\n",
        b"HTTP/1.1 200 OK\r\nServer: example\r\nis a head without an end",
        b"HTTP/1.1 2000 OK\r\nServer: example\r\n",
        b"GET / HTTP/1.1\r\nHost: example\r\n",
    ],
)
def test_text_about_http_does_not_end_in_headers(text: bytes) -> None:
    """Guards against whole answers that are lost for their content."""
    assert not ends_in_headers(text)
    assert not ends_in_headers(b"a page: " + text)
