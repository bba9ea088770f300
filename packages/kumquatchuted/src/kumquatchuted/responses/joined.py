"""Finds responses that were joined with another one.

A response that breaks off while its connection stays open is continued by the
next response. Inside its head, that gives the status of one response with the
id of the other; inside its body, a body with the head of another response.
"""

import functools
import re

JOINED_RESPONSES = "the response is joined with another one"
# Without this text there is no status line; the search for it is fast.
PROTOCOL_NAME = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?![0-9])")
# One byte less than the shortest status line.
OVERLAP = 11
# Distance that a head in a body may have from the end of what was searched.
MAX_HEAD_BYTES = 8 * 1024


def may_be_joined(data: bytes, overlap: bytes, is_start: bool) -> bool:
    """Return whether bytes of a connection may hold a second status line.

    Hardly any response does, so that the other checks are for few.

    :param overlap: end of the bytes before
    :param is_start: whether the bytes begin with a status line of their own
    """
    if is_start:
        return data.find(PROTOCOL_NAME, 1) >= 0
    return PROTOCOL_NAME in data or PROTOCOL_NAME in overlap + data[:OVERLAP]


def is_head_joined(reason: bytes, headers: list[tuple[bytes, bytes]]) -> bool:
    """Return whether a head holds the status line of another response.

    :param reason: reason phrase of its status line
    """
    return holds_status_line(reason) or any(
        holds_status_line(value) for _, value in headers
    )


def holds_status_line(text: bytes) -> bool:
    """Return whether a part of a head or a trailer holds a status line."""
    return STATUS_LINE.search(text) is not None


def count_status_lines(data: bytes) -> int:
    """Return how many status lines there are in the bytes of a connection."""
    return sum(1 for _ in STATUS_LINE.finditer(data))


@functools.cache
def _head_pattern(id_header: bytes, digest_header: bytes) -> re.Pattern[bytes]:
    names = b"|".join(re.escape(name) for name in (id_header, digest_header))
    return re.compile(
        STATUS_LINE.pattern + rb"[^\r\n]*\r\n"
        rb"(?:[^\r\n]+\r\n){0,64}?(?i:" + names + rb"):"
    )


class BodySearch:
    """Searches a body that still grows for the head of another response."""

    def __init__(self, id_header: bytes, digest_header: bytes) -> None:
        """Search for a status line that one of the headers follows.

        Other texts about HTTP can stand in a body as well.

        :param id_header: header that names the request
        :param digest_header: header with the digest of the response
        """
        self._head = _head_pattern(id_header, digest_header)
        self._searched = 0

    def reset(self) -> None:
        """Begin with another body."""
        self._searched = 0

    def finds_head(self, body: bytes | bytearray) -> bool:
        """Return whether the body holds the head of a response.

        What was searched before is not searched again, but for the length of a
        head.

        :param body: all that has arrived of the body
        """
        start = max(0, self._searched - MAX_HEAD_BYTES)
        self._searched = len(body)
        position = body.find(PROTOCOL_NAME, start)
        return position >= 0 and (
            self._head.search(body, position) is not None
        )
