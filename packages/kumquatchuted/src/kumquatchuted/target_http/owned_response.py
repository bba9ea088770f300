"""Response whose connection can be closed after its body was read."""

import asyncio

import aiohttp
from aiohttp.connector import Connection


class OwnedResponse(aiohttp.ClientResponse):
    """Response that keeps the transport of its connection.

    aiohttp returns a connection to the pool as soon as the body is complete,
    which is before the body shows to which request it belongs.
    """

    _transport: asyncio.Transport | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head of the response."""
        self._transport = connection.transport
        return await super().start(connection)

    def abort_connection(self) -> None:
        """Close the connection, also if it is in the pool again."""
        self.close()
        if self._transport is not None:
            self._transport.abort()
