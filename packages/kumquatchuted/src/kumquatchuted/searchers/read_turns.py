"""Spreads the reading of responses that take much processor time."""

import asyncio
from collections.abc import Callable
from collections import deque

# A part of a response takes about 0.4 ms, so that all responses of this kind
# together take a fifth of a processor, however many searchers send them.
TURN_S = 0.002


class ReadTurns:
    """Owns the queue of connections that wait to read."""

    def __init__(self) -> None:
        """Create it with no turn taken."""
        self._last_at = 0.0
        self._has_timer = False
        self._waiting: deque[Callable[[], bool]] = deque()

    def schedule(self, read: Callable[[], bool]) -> None:
        """Call a function when it is its turn.

        :param read: returns False if there is nothing to read any more, so
            that the turn is that of the next one
        """
        self._waiting.append(read)
        self._start_timer()

    def _start_timer(self) -> None:
        if self._has_timer or not self._waiting:
            return
        loop = asyncio.get_running_loop()
        self._last_at = max(self._last_at, loop.time()) + TURN_S
        loop.call_at(self._last_at, self._take_turn)
        self._has_timer = True

    def _take_turn(self) -> None:
        self._has_timer = False
        while self._waiting and not self._waiting.popleft()():
            pass
        self._start_timer()
