"""Pool of the connections to searchers."""

import asyncio
from collections.abc import Callable
import itertools

from logbook import Logger

from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.notices.messages import process_of
from kumquatchuted.searchers.connect import connect
from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.read_turns import ReadTurns
from kumquatchuted.searchers.response_reader import HeadCodec
from kumquatchuted.searchers.response_size import MAX_RECEIVED_BYTES

log = Logger("searchers")

# Longest idle time of a connection whose searcher states no idle timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# A connection is not used in the last part of a stated idle timeout, because
# the searcher may close it while a request is on its way.
IDLE_MARGIN_S = 0.8
# Longest idle time of a connection for an at-most-once request. If the
# searcher closes the connection while the request is on its way, it is
# unknown whether the request ran.
AT_MOST_ONCE_IDLE_S = 0.5


class ConnectionPool:
    """Owns connections that are open, being opened or idle."""

    def __init__(
        self,
        codec: HeadCodec,
        post: Callable,
        max_total: int | None,
        on_received: Callable[[Connection, int], None],
        max_received_bytes: int = MAX_RECEIVED_BYTES,
    ) -> None:
        """Create an empty pool.

        :param post: receives the events of the connections
        :param max_total: how many connections to all searchers together may
            be open; None if there is no limit
        :param on_received: called with a connection and the number of bytes
            that have arrived on it for a request
        :param max_received_bytes: how many bytes may arrive for a request
        """
        self._codec = codec
        self._on_received = on_received
        self._max_received_bytes = max_received_bytes
        self._read_turns = ReadTurns()
        self._max_total = max_total
        self._total = 0
        self._post = post
        self._connections: dict[str, list[Connection]] = {}
        self._idle: dict[str, list[Connection]] = {}
        self._numbers = itertools.count(1)
        self._connect_tasks: set[asyncio.Task] = set()

    def take_idle(
        self, searcher: str, request_id: bytes, at_most_once: bool, now: float
    ) -> Connection | None:
        """Return the most recently used idle connection, or None.

        Connections that were idle for too long are closed. Those on which the
        response could not be recognised stay idle.

        :param at_most_once: whether the request may run only once, which
            allows only ``AT_MOST_ONCE_IDLE_S``
        :param now: monotonic time in seconds
        """
        idle = self._idle.get(searcher, [])
        unsuitable: list[Connection] = []
        chosen = None
        while idle and chosen is None:
            connection = idle.pop()
            if not _is_usable(connection, at_most_once, now):
                connection.close()
            elif not connection.can_carry(request_id):
                unsuitable.append(connection)
            else:
                chosen = connection
        idle.extend(reversed(unsuitable))
        return chosen

    def open(
        self, searcher: RegisteredSearcher, max_connections: int
    ) -> Connection | None:
        """Begin to open a connection; return None at the limit.

        The connection posts ``ConnectionOpened`` or ``ConnectionClosed``.

        :param max_connections: how many connections to the searcher this node
            may hold, open ones and those being opened
        """
        connections = self._connections.setdefault(searcher.name, [])
        if len(connections) >= max_connections:
            return None
        if self.is_at_total_limit():
            self._close_longest_idle()
            return None
        connection = Connection(
            process_of(searcher),
            self._codec,
            self._post,
            self._on_received,
            self._read_turns.schedule,
            self._max_received_bytes,
            next(self._numbers),
        )
        connections.append(connection)
        self._total += 1
        task = asyncio.ensure_future(
            connect(searcher.host, searcher.port, connection, self._post)
        )
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)
        return connection

    def add_idle(self, connection: Connection, now: float) -> None:
        """Keep a connection for the next request.

        :param now: monotonic time in seconds
        """
        connection.idle_since = now
        self._idle.setdefault(connection.searcher, []).append(connection)

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection, so that another may be opened."""
        name = connection.searcher
        if connection in self._connections.get(name, ()):
            self._connections[name].remove(connection)
            self._total -= 1
        if connection in self._idle.get(name, ()):
            self._idle[name].remove(connection)

    def is_at_total_limit(self) -> bool:
        """Return whether the limit on all connections is reached."""
        return self._max_total is not None and self._total >= self._max_total

    def limit_total(self) -> None:
        """Open no more connections than now: no descriptor is left."""
        self._max_total = max(1, self._total)
        log.warning("connections limited total={}", self._max_total)
        self._close_longest_idle()

    def _close_longest_idle(self) -> None:
        """Close the connection that was not used for the longest time.

        Its descriptor is free when the connection has been removed.
        """
        idle = [
            connections[0]
            for connections in self._idle.values()
            if connections
        ]
        if idle:
            connection = min(idle, key=lambda item: item.idle_since)
            self._idle[connection.searcher].remove(connection)
            connection.close()

    def make_room(self, searcher: str) -> None:
        """Close an idle connection that a waiting request cannot use."""
        idle = self._idle.get(searcher)
        if idle:
            idle.pop(0).close()

    def close_idle(self, searcher: str) -> None:
        """Close the idle connections to a process that has ended."""
        for connection in self._idle.pop(searcher, []):
            connection.close()


def _is_usable(connection: Connection, at_most_once: bool, now: float) -> bool:
    if not connection.is_open():
        return False
    if connection.idle_timeout_s is None:
        max_idle_s = DEFAULT_IDLE_TIMEOUT_S
    else:
        max_idle_s = connection.idle_timeout_s - IDLE_MARGIN_S
    if at_most_once:
        max_idle_s = min(max_idle_s, AT_MOST_ONCE_IDLE_S)
    return now - connection.idle_since < max_idle_s
