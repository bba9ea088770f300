"""Sends the answers of a searcher on one of its connections."""

import asyncio
from random import Random

from kumquatchute_standins.platform.fleet.answer_faults import AfterInterim
from kumquatchute_standins.platform.fleet.answer_faults import BrokenOff
from kumquatchute_standins.platform.fleet.answer_faults import CopyPart
from kumquatchute_standins.platform.fleet.answer_faults import Delivery
from kumquatchute_standins.platform.fleet.answer_faults import Ending
from kumquatchute_standins.platform.fleet.answer_faults import MAX_COPY_DELAY_S
from kumquatchute_standins.platform.fleet.answer_faults import SecondCopy
from kumquatchute_standins.platform.fleet.answer_faults import UntilClosed
from kumquatchute_standins.platform.fleet.answer_faults import WholeDelivery
from kumquatchute_standins.platform.fleet.answers import Answer
from kumquatchute_standins.platform.fleet.resets import reset_connection

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
PIECES_GAP_S = 0.01
# A reset discards bytes that the other side has not read yet.
RESET_DELAY_S = 0.005


class AnswerWriter:
    """Owns the sending side of a connection and the late copies on it.

    A lock keeps the two pieces of a copy together, so that an answer is
    damaged only by the fault that was chosen.
    """

    def __init__(self, writer: asyncio.StreamWriter, rng: Random) -> None:
        """Create the sending side of a connection.

        :param rng: draws delays and the places of cuts
        """
        self._writer = writer
        self._rng = rng
        self._lock = asyncio.Lock()
        self._copies: set[asyncio.Task] = set()

    async def send(
        self, answer: Answer, delivery: Delivery = WholeDelivery()
    ) -> bool:
        """Send an answer.

        :returns: whether the connection stays open
        """
        whole = answer.encode_head() + answer.body
        match delivery:
            case WholeDelivery():
                await self._write(whole)
            case AfterInterim():
                await self._write(INTERIM)
                await self._write(whole)
            case SecondCopy():
                await self._write(whole)
                self._copy_later(
                    self._cut(answer, delivery.part),
                    self._rng.uniform(
                        delivery.min_delay_s, delivery.max_delay_s
                    ),
                )
            case UntilClosed(ending=ending):
                await self._send_until_closed(answer, ending)
                return False
            case BrokenOff(is_copied=is_copied):
                await self._write(whole[: len(whole) - len(answer.body) // 2])
                if is_copied:
                    self._copy_later((whole,), self._draw_delay_s())
                return is_copied
        return True

    def close(self) -> None:
        """Close the connection; pending copies are not sent."""
        for task in self._copies:
            task.cancel()
        self._writer.close()

    async def _write(self, *pieces: bytes) -> None:
        async with self._lock:
            for number, piece in enumerate(pieces):
                if number:
                    await asyncio.sleep(PIECES_GAP_S)
                self._writer.write(piece)
                await self._writer.drain()

    async def _send_until_closed(self, answer: Answer, ending: Ending) -> None:
        whole = answer.encode_head(states_length=False) + answer.body
        await self._write(whole)
        match ending:
            case Ending.CLOSED:
                return
            case Ending.RESET:
                await asyncio.sleep(RESET_DELAY_S)
                reset_connection(self._writer)
            case Ending.COPY:
                await asyncio.sleep(self._draw_delay_s())
                await self._write(whole)

    def _draw_delay_s(self) -> float:
        return self._rng.uniform(0.0, MAX_COPY_DELAY_S)

    def _copy_later(self, pieces: tuple[bytes, ...], delay_s: float) -> None:
        task = asyncio.ensure_future(self._send_copy(pieces, delay_s))
        self._copies.add(task)
        task.add_done_callback(self._copies.discard)

    async def _send_copy(
        self, pieces: tuple[bytes, ...], delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        try:
            await self._write(*pieces)
        except OSError:
            # The client has disconnected.
            return

    def _cut(self, answer: Answer, part: CopyPart) -> tuple[bytes, ...]:
        """Return the pieces of a copy that are sent."""
        head = answer.encode_head()
        whole = head + answer.body
        status_end = head.index(b"\r\n")
        first_end = head.index(b"\r\n", status_end + 2)
        match part:
            case CopyPart.WHOLE:
                return (whole,)
            case CopyPart.TWO_PIECES:
                cut = self._rng.randrange(1, len(whole))
                return (whole[:cut], whole[cut:])
            case CopyPart.IN_STATUS_LINE:
                cut = self._rng.randrange(1, status_end)
            case CopyPart.IN_REASON:
                start = head.rindex(b" ", 0, status_end) + 1
                cut = self._rng.randrange(start, status_end)
            case CopyPart.IN_FIRST_HEADER:
                start = head.index(b": ", status_end) + 2
                cut = self._rng.randrange(start, first_end)
            case CopyPart.IN_HEAD:
                cut = self._rng.randrange(status_end, len(head))
            case CopyPart.IN_BODY:
                cut = self._rng.randrange(len(head), len(whole) + 1)
        return (whole[:cut],)
