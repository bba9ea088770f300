"""Loopback proxy for a link, with faults that can be injected."""

import asyncio
from dataclasses import dataclass

from kumquatchute_standins.platform.fleet.resets import reset_connection

READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """Faults of a link.

    :param delay_s: delay of the bytes in both directions, in seconds
    :param drop_requests: bytes to the server are dropped
    :param drop_answers: bytes to the client are dropped, so that it gets no
        response
    :param refuse: new connections are reset
    """

    delay_s: float = 0.0
    drop_requests: bool = False
    drop_answers: bool = False
    refuse: bool = False


class Proxy:
    """Owns a listener and the connections that it forwards."""

    def __init__(self, listen_port: int, target_port: int) -> None:
        """Create a proxy from one loopback port to another."""
        self.faults = LinkFaults()
        self._listen_port = listen_port
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._listen_port
        )

    def reset_connections(self) -> None:
        """Reset all connections, those to clients and those to the server."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            # The server is down; the client sees a reset.
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        copies = {
            asyncio.ensure_future(self._copy_bytes(reader, upstream[1], True)),
            asyncio.ensure_future(
                self._copy_bytes(upstream[0], writer, False)
            ),
        }
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for copy in copies:
            copy.cancel()
        await asyncio.gather(*copies, return_exceptions=True)
        for open_writer in (writer, upstream[1]):
            self._writers.discard(open_writer)
            open_writer.close()

    async def _copy_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                faults = self.faults
                is_dropped = (
                    faults.drop_requests if is_request else faults.drop_answers
                )
                if is_dropped:
                    continue
                if faults.delay_s:
                    await asyncio.sleep(faults.delay_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            # One side has reset its connection. An answer without a length
            # would be whole for the other side if that one were closed.
            if not writer.transport.is_closing():
                reset_connection(writer)
