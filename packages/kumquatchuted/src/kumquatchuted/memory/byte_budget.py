"""Limits the bytes of messages that are kept at the same time."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
from enum import Enum


class ReadStop(Enum):
    """Why a message was not read to its end."""

    TOO_LONG = "the message is too long"
    MEMORY_USED = "the memory for messages is used"


class Reservation:
    """The bytes that one message takes."""

    def __init__(self, budget: "ByteBudget") -> None:
        """Create a reservation without bytes."""
        self.used_bytes = 0
        self._budget = budget
        self._reading: asyncio.Timeout | None = None

    def is_reading(self) -> bool:
        """Return whether the message can still be given up."""
        return self._reading is not None

    def give_up(self) -> None:
        """End the reading of the message."""
        self._reading.reschedule(asyncio.get_running_loop().time())
        self._reading = None

    async def read(
        self, chunks: AsyncIterator[bytes], max_bytes: int
    ) -> bytes | ReadStop:
        """Read a message; its bytes stay reserved.

        :param max_bytes: longest message
        """
        message = bytearray()
        try:
            async with asyncio.timeout(None) as self._reading:
                async for chunk in chunks:
                    message += chunk
                    if len(message) > max_bytes:
                        return ReadStop.TOO_LONG
                    self._budget.take(self, len(chunk))
                    if self._reading is None:
                        break
                is_complete = self._reading is not None
        except TimeoutError:
            if self._reading is not None:
                # It was raised by the source of the chunks.
                raise
            is_complete = False
        finally:
            self._reading = None
        return bytes(message) if is_complete else ReadStop.MEMORY_USED


class ByteBudget:
    """Owns the reservations of all messages of one kind."""

    def __init__(self, max_bytes: int) -> None:
        """Create a budget without reservations.

        :param max_bytes: how many bytes may be reserved
        """
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._reservations: set[Reservation] = set()

    def used_bytes(self) -> int:
        """Return how many bytes are reserved."""
        return self._used_bytes

    @contextlib.contextmanager
    def reserve(self) -> Iterator[Reservation]:
        """Yield a reservation; its bytes are free again at the end."""
        reservation = Reservation(self)
        self._reservations.add(reservation)
        try:
            yield reservation
        finally:
            self._reservations.discard(reservation)
            self._used_bytes -= reservation.used_bytes

    def take(self, reservation: Reservation, count: int) -> None:
        """Reserve bytes for a message that is being read.

        At the limit, the longest message that is being read is given up, so
        that a sender of much does not keep out the others.
        """
        reservation.used_bytes += count
        self._used_bytes += count
        while self._used_bytes > self._max_bytes:
            reading = [
                item for item in self._reservations if item.is_reading()
            ]
            if not reading:
                return
            longest = max(reading, key=lambda item: item.used_bytes)
            self._used_bytes -= longest.used_bytes
            longest.used_bytes = 0
            longest.give_up()
