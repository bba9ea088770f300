"""Limits the bytes of answers that callers have not read."""

import asyncio

from logbook import Logger

log = Logger("front")


class UnreadAnswers:
    """Owns the list of the connections whose callers do not read.

    A transport reports a connection when the system's buffer of the socket is
    full, and again when the caller has read.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create an empty list.

        :param max_bytes: how many bytes may wait for all callers together
        """
        self._max_bytes = max_bytes
        self._transports: set[asyncio.Transport] = set()

    def add(self, transport: asyncio.Transport) -> None:
        """Add a connection that does not take more bytes.

        At the limit, the connection for which most bytes wait is aborted.
        """
        self._transports.add(transport)
        while (unread_bytes := self.total()) > self._max_bytes:
            slowest = max(
                self._transports,
                key=lambda item: item.get_write_buffer_size(),
            )
            log.warning(
                "caller closed cause=answers not read bytes={} kept_bytes={}",
                slowest.get_write_buffer_size(),
                unread_bytes,
            )
            self._transports.discard(slowest)
            slowest.abort()

    def discard(self, transport: asyncio.Transport) -> None:
        """Remove a connection that takes bytes again or has closed."""
        self._transports.discard(transport)

    def total(self) -> int:
        """Return how many bytes wait for callers that do not read."""
        return sum(item.get_write_buffer_size() for item in self._transports)
