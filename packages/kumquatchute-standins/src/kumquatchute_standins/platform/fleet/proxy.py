"""Loopback proxy for a link, which can be disturbed while it is used."""

import asyncio
from dataclasses import dataclass

CHUNK = 65_536


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """What is wrong with a link.

    :param delay_s: bytes arrive this much later
    :param drop_requests: bytes towards the server vanish
    :param drop_answers: bytes towards the client vanish
    :param refuse: new connections are reset
    """

    delay_s: float = 0.0
    drop_requests: bool = False
    drop_answers: bool = False
    refuse: bool = False


class Proxy:
    """Owns a listener and the connections through it."""

    def __init__(self, listen: int, target: int) -> None:
        """Create a proxy between two ports on loopback."""
        self.faults = LinkFaults()
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._listen
        )

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._open):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            far = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            # The server is down, which the client sees as a reset.
            writer.transport.abort()
            return
        self._open |= {writer, far[1]}
        pumps = {
            asyncio.ensure_future(self._pump(reader, far[1], True)),
            asyncio.ensure_future(self._pump(far[0], writer, False)),
        }
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)
        for end in (writer, far[1]):
            self._open.discard(end)
            end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK):
                faults = self.faults
                dropped = (
                    faults.drop_requests if is_request else faults.drop_answers
                )
                if dropped:
                    continue
                if faults.delay_s:
                    await asyncio.sleep(faults.delay_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            # Either end is gone; the other one is closed by the caller.
            return
