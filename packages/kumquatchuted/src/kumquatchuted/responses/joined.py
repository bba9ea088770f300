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
# Bytes in which a protocol name can begin that the next bytes complete.
OVERLAP = len(PROTOCOL_NAME) - 1
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?![0-9])")
# A status line, or its beginning at the end of a text.
STATUS_LINE_BEGINNING = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?![0-9])|"
    rb"H(?:T(?:T(?:P(?:/(?:1(?:\.(?:[01](?: (?:[1-5][0-9]?)?)?)?)?)?)?)?)?)?\Z"
)
# A head that has no end yet. The lengths are bounded, so that text which looks
# like many heads takes a time in proportion to its length.
UNFINISHED_HEAD = re.compile(
    STATUS_LINE.pattern + rb"[^\r\n]{0,256}(?:\r\n[^\r\n]{1,1024}){0,64}"
    rb"(?:\r\n?)?\Z"
)
HEADER_NAME = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}+"
HEADER_VALUE = rb"[^\r\n]{0,1024}+"
# A header that is cut in its name, where another status line can begin.
CUT_HEADER = rb"%b(?:/(?:1(?:\.%b)?)?)?" % (HEADER_NAME, HEADER_VALUE)
# Most other text about HTTP lacks the colons, or has an end of the headers.
HEADERS_WITHOUT_END = re.compile(
    STATUS_LINE.pattern + rb"[^\r\n]{0,256}+(?=\r)"
    rb"(?:\r\n%b:%b){0,64}+(?:\r\n(?:%b)?)?\r?\Z"
    % (HEADER_NAME, HEADER_VALUE, CUT_HEADER)
)
MAX_HEAD_BYTES = 8 * 1024
# A head with an id or digest is longer, so that one which arrives in small
# pieces is found soon enough, and not searched for in each of them.
MIN_NEW_BYTES = 48


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


def ends_in_other_response(body: bytes) -> bool:
    """Return whether a body may end inside another response.

    This is for a body behind whose stated length no response begins. Other
    bodies can hold such text.
    """
    return STATUS_LINE_BEGINNING.search(body) is not None


def ends_with_unfinished_head(body: bytes) -> bool:
    """Return whether a body without a stated length ends inside a head."""
    start = max(0, len(body) - MAX_HEAD_BYTES)
    return UNFINISHED_HEAD.search(body, start) is not None


def ends_in_headers(body: bytes) -> bool:
    """Return whether a body with a stated length ends inside a head.

    The beginning of a copy, or of several, can end exactly where the length
    does. An end in the status line shows too little, since whole bodies about
    HTTP can end with one.
    """
    start = max(0, len(body) - MAX_HEAD_BYTES)
    return HEADERS_WITHOUT_END.search(body, start) is not None


@functools.cache
def _head_pattern(id_header: bytes, digest_header: bytes) -> re.Pattern[bytes]:
    names = b"|".join(re.escape(name) for name in (id_header, digest_header))
    return re.compile(
        STATUS_LINE.pattern + rb"[^\r\n]{0,256}\r\n"
        rb"(?:[^\r\n]{1,1024}\r\n){0,64}?(?i:" + names + rb"):"
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

    def finds_head(self, body: bytes | bytearray, is_whole: bool) -> bool:
        """Return whether the body holds the head of a response.

        A head may begin ``MAX_HEAD_BYTES`` before the bytes that are new.

        :param body: all that has arrived of the body
        :param is_whole: whether no more bytes follow, so that a small rest is
            searched as well
        """
        if not is_whole and len(body) - self._searched < MIN_NEW_BYTES:
            return False
        start = max(0, self._searched - MAX_HEAD_BYTES)
        self._searched = len(body)
        position = body.find(PROTOCOL_NAME, start)
        return position >= 0 and (
            self._head.search(body, position) is not None
        )
