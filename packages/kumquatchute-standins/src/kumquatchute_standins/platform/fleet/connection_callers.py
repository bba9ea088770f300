"""Callers that send requests one after another, or several at once."""

import asyncio
from dataclasses import dataclass
import itertools
from random import Random

from kumquatchute_standins.platform.fleet.client import Call
from kumquatchute_standins.platform.fleet.client import read_response
from kumquatchute_standins.platform.fleet.client import Response

DEADLINE_MS = 2000
# Callers give up a little after the time limit that they state.
GIVE_UP_S = 3.0
RECONNECT_S = 0.02
# Fraction of the batches that a pause follows, if the caller pauses at all.
PAUSED_FRACTION = 0.5
FETCH_PATH = "/fetch/1"
SUBMIT_PATH = "/submit/1"
QUERY_PATH = "/notes/1"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A request with its response. Times are of the event loop, in seconds.

    :param response: None if the connection ended or the caller gave up
    """

    call: Call
    response: Response | None
    sent_at: float
    ended_at: float

    @property
    def status(self) -> int | None:
        """Status of the response, None without one."""
        return None if self.response is None else self.response.status

    def is_success(self) -> bool:
        """Return whether the response has a status 2xx."""
        response = self.response
        return response is not None and 200 <= response.status < 300


class Caller:
    """Owns one connection at a time to a node."""

    def __init__(
        self,
        name: str,
        port: int,
        pipeline: int,
        seed: int,
        max_pause_s: float = 0.0,
    ) -> None:
        """Create a caller.

        :param port: port of the node
        :param pipeline: most requests that are sent at once
        :param seed: seed of the choice of requests
        :param max_pause_s: longest pause after half of the batches, in
            seconds; the others are followed by the next batch at once
        """
        self.records: list[CallRecord] = []
        self._name = name
        self._port = port
        self._pipeline = pipeline
        self._rng = Random(f"{seed}/{name}")
        self._max_pause_s = max_pause_s
        self._numbers = itertools.count(1)

    async def send_until(self, end: float) -> None:
        """Send requests until a time of the event loop, in seconds."""
        while asyncio.get_running_loop().time() < end:
            try:
                async with asyncio.timeout(GIVE_UP_S):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", self._port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                while asyncio.get_running_loop().time() < end:
                    if not await self._send_batch(reader, writer):
                        break
                    await self._pause()
            finally:
                writer.transport.abort()

    async def _send_batch(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send requests at once and return whether the connection stays."""
        loop = asyncio.get_running_loop()
        count = self._rng.randint(1, self._pipeline)
        calls = [self._draw_call() for _ in range(count)]
        sent_at = loop.time()
        writer.write(b"".join(call.encode(DEADLINE_MS) for call in calls))
        is_open = True
        for call in calls:
            response = await _receive(reader) if is_open else None
            self.records.append(
                CallRecord(call, response, sent_at, loop.time())
            )
            is_open = response is not None and not response.ends_connection()
        return is_open

    async def _pause(self) -> None:
        if self._max_pause_s and self._rng.random() < PAUSED_FRACTION:
            await asyncio.sleep(self._rng.uniform(0.0, self._max_pause_s))

    def _draw_call(self) -> Call:
        path = self._rng.choice((FETCH_PATH, SUBMIT_PATH, QUERY_PATH))
        request_id = f"{self._name}-{next(self._numbers)}"
        return Call(request_id, path, may_repeat=path != SUBMIT_PATH)


async def _receive(reader: asyncio.StreamReader) -> Response | None:
    try:
        async with asyncio.timeout(GIVE_UP_S):
            return await read_response(reader)
    except (EOFError, OSError, TimeoutError):
        return None
