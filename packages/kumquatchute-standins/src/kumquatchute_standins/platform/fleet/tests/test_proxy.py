"""Tests of the proxy of a link."""

import asyncio

import pytest

from kumquatchute_standins.platform.fleet.proxy import Proxy
from kumquatchute_standins.platform.fleet.resets import reset_connection
from kumquatchute_standins.ports import allocate_ports

# A reset discards bytes that the other side has not read yet.
RESET_DELAY_S = 0.05


async def read_through_proxy(is_reset: bool) -> bytes:
    """Return what a client reads from a server that ends its connection."""
    server_port, proxy_port = allocate_ports(2)

    async def serve(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b"answer")
        await asyncio.sleep(RESET_DELAY_S)
        if is_reset:
            reset_connection(writer)
        else:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", server_port)
    proxy = Proxy(proxy_port, server_port)
    await proxy.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy_port)
    try:
        return await reader.read()
    finally:
        writer.close()
        await proxy.stop()
        server.close()


def test_proxy_passes_a_reset_on() -> None:
    """Guards against a broken-off answer that ends as a whole one.

    An answer without a length is whole if its connection is closed.
    """
    with pytest.raises(ConnectionResetError):
        asyncio.run(read_through_proxy(is_reset=True))
    assert asyncio.run(read_through_proxy(is_reset=False)) == b"answer"
