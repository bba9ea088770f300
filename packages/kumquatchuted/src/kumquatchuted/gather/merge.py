"""Merges the records of several shards."""

from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], top_k: int) -> bytes:
    """Return the greatest records of all bodies, greatest first.

    :param bodies: concatenated records in any order; an incomplete record
        at the end is ignored
    :param top_k: maximum number of records in the result; each duplicate
        counts
    """
    records = []
    for body in bodies:
        record_bytes = len(body) - len(body) % RECORD_BYTES
        records += [
            body[offset : offset + RECORD_BYTES]
            for offset in range(0, record_bytes, RECORD_BYTES)
        ]
    records.sort(reverse=True)
    return b"".join(records[:top_k])
