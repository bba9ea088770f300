"""Limits the bytes of searchers that a node keeps at the same time.

A faulty searcher can send bytes without end. The limit on a single response
does not bound many of them, and if the process runs out of memory, all its
requests are lost.
"""

from collections import Counter

from logbook import Logger

from kumquatchuted.searchers.connection import Connection

log = Logger("searchers")

MEMORY_USED = "the memory for responses is used"


class ReceivedBytes:
    """Owns the counts of the bytes that searchers sent and that are kept.

    Bytes count for a connection while a response arrives, and then for the
    attempt until its request has ended.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create it without bytes.

        :param max_bytes: how many bytes may be kept
        """
        self._max_bytes = max_bytes
        self._total = 0
        self._by_searcher: Counter[str] = Counter()
        self._receiving: dict[Connection, int] = {}
        self._kept: dict[object, tuple[str, int]] = {}

    def add(self, connection: Connection, count: int) -> None:
        """Count bytes that have arrived on a connection.

        At the limit, the longest response of the searcher of which most is
        kept fails, so that requests to other searchers go on.
        """
        self._receiving[connection] = (
            self._receiving.get(connection, 0) + count
        )
        self._change(connection.searcher, count)
        while self._total > self._max_bytes and self._receiving:
            self._end_longest_response()

    def total(self) -> int:
        """Return how many bytes are kept."""
        return self._total

    def keep(self, connection: Connection, key: object) -> None:
        """Count the bytes of a complete response for an attempt."""
        count = self._receiving.pop(connection, 0)
        if count:
            self._kept[key] = (connection.searcher, count)

    def release(self, connection: Connection) -> None:
        """Stop counting a response that no request uses."""
        count = self._receiving.pop(connection, 0)
        self._change(connection.searcher, -count)

    def release_attempt(self, key: object) -> None:
        """Stop counting the response to an attempt."""
        searcher, count = self._kept.pop(key, ("", 0))
        self._change(searcher, -count)

    def _change(self, searcher: str, delta: int) -> None:
        self._total += delta
        self._by_searcher[searcher] += delta
        if not self._by_searcher[searcher]:
            del self._by_searcher[searcher]

    def _end_longest_response(self) -> None:
        connection = max(
            self._receiving,
            key=lambda item: (
                self._by_searcher[item.searcher],
                self._receiving[item],
            ),
        )
        log.warning(
            "response dropped searcher={} bytes={} kept_bytes={} cause={}",
            connection.searcher,
            self._receiving[connection],
            self._total,
            MEMORY_USED,
        )
        self.release(connection)
        connection.fail(MEMORY_USED)
