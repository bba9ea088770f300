"""Limits on what a searcher sends for a request, and what is read slowly."""

# A faulty searcher may send bytes without end.
MAX_RECEIVED_BYTES = 16 * 1024 * 1024
# A header takes about 200 bytes besides its text.
MAX_HEADERS = 256
# Bytes of heads, trailers and framing: a fixed part, and for each byte of a
# body more than the six of a chunk that holds a single byte.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_PER_BODY_BYTE = 8
# Framing of a body, besides as many bytes as the body has, from which on a
# response is read slowly. The parser calls back for each chunk, so that single
# bytes without end, sent for 120 queries, kept a node busy for up to 20 s.
SLOW_FRAMING_BYTES = 4 * 1024


def is_overhead_too_long(received_bytes: int, body_bytes: int) -> bool:
    """Return whether more than bodies has arrived than is allowed.

    :param received_bytes: all that has arrived for the request
    :param body_bytes: how much of it are bodies
    """
    return (
        received_bytes - body_bytes
        > MAX_OVERHEAD_BYTES + body_bytes * MAX_OVERHEAD_PER_BODY_BYTE
    )


def is_framing_slow(received_bytes: int, body_bytes: int) -> bool:
    """Return whether the framing of a body takes much processor time.

    :param received_bytes: what has arrived behind the head
    :param body_bytes: how much of it are parts of the body
    """
    return received_bytes - body_bytes > SLOW_FRAMING_BYTES + body_bytes
