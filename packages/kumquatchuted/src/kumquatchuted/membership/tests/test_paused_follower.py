"""A follower on a node that does not run for a while, with real sockets."""

import asyncio
from collections.abc import Iterator
import contextlib
import json
import random
import socket
import threading
import time

import pytest

from kumquatchuted.membership.follower import Follower
from kumquatchuted.membership.messages import Topic
from kumquatchuted.membership.object_reader import TopicDecoder
from kumquatchuted.membership.sources import Source
from kumquatchuted.platform.object_client import ObjectClient
from kumquatchuted.platform.relay import Relay
from kumquatchuted.platform.transport import Transport

DECODER = TopicDecoder("things", lambda name, item: name)
# Age of the listed state, after which the relay must respond within 0.25 s.
LISTED_AGE_MS = 2600
RESPONSE_S = 0.05


class EmulatedSource:
    """Responds to listings and watches, in threads of its own."""

    def __init__(self, listener: socket.socket) -> None:
        """Begin to accept connections."""
        self.calls: list[str] = []
        self.is_watched = threading.Event()
        self.source_address = "%s:%d" % listener.getsockname()
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = listener.accept()
                threading.Thread(
                    target=self._serve, args=(conn,), daemon=True
                ).start()

    def _serve(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError), conn:
            head = conn.recv(65536)
            content: dict[str, object] = {"asOf": 5}
            if b"watch=" in head:
                self.calls.append("watch")
                self.is_watched.set()
                time.sleep(RESPONSE_S)
                content |= {"events": [], "ageMs": 0}
            else:
                self.calls.append("list")
                content |= {"items": [], "hasMore": False}
                content |= {"ageMs": LISTED_AGE_MS}
            data = json.dumps(content).encode()
            conn.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(data), data)
            )


@contextlib.contextmanager
def emulated_source() -> Iterator[EmulatedSource]:
    """Run a source until the end of the block."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        try:
            yield EmulatedSource(listener)
        finally:
            listener.shutdown(socket.SHUT_RDWR)


@pytest.mark.parametrize("pause_s", [0.1, 0.4])
def test_relay_that_responded_during_a_pause_is_not_left(
    pause_s: float,
) -> None:
    """Guards against calls of the store by all nodes that did not run.

    The relay responds in time, but its response and the end of the time for it
    are due together when the node runs again.
    """

    async def main(relay: EmulatedSource, store: EmulatedSource) -> None:
        transport = Transport()
        sources = (
            Source(relay.source_address, False),
            Source(store.source_address, True),
        )
        follower = Follower(
            Topic.SEARCHERS,
            ObjectClient(transport, Relay(time.monotonic)),
            DECODER,
            lambda: sources,
            lambda message: None,
            random.Random(1),
            time.monotonic,
            2.0,
        )
        task = asyncio.ensure_future(follower.run())
        while not relay.is_watched.is_set():
            await asyncio.sleep(0.001)
        time.sleep(pause_s)
        await asyncio.sleep(0.3)
        task.cancel()
        await transport.close()

    with emulated_source() as relay, emulated_source() as store:
        asyncio.run(main(relay, store))
        assert not store.calls
