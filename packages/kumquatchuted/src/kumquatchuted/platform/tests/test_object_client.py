"""Tests of the client that reads topics and fills the relay."""

import asyncio

import msgspec

from kumquatchuted.membership.sources import Source
from kumquatchuted.platform.decoding import SEARCHER_DECODER
from kumquatchuted.platform.object_client import ObjectClient
from kumquatchuted.platform.relay import Relay
from kumquatchuted.platform.transport import Request
from kumquatchuted.platform.transport import Response

STORE = Source("10.0.0.1:80", is_store=True)


class ScriptedTransport:
    """Answers each call with the next body."""

    def __init__(self, *bodies: bytes) -> None:
        """Create a transport."""
        self._bodies = list(bodies)

    async def call(self, req: Request) -> Response:
        """Return the next response."""
        return Response(200, self._bodies.pop(0))


def encode_at_depth(content: object, depth: int) -> bytes:
    """Encode JSON from a call stack of a given depth."""
    if depth:
        return encode_at_depth(content, depth - 1)
    return msgspec.json.encode(content)


def test_relay_serves_a_kind_with_a_deeply_nested_entry() -> None:
    """Guards against nodes that can no longer read from a relay.

    The reader can decode the entry, but encoding it again for another node
    fails with a RecursionError deeper in the call stack of a request.
    """
    nested = "[" * 800 + "]" * 800
    entry = '{"meta": {"name": "odd", "revision": 4}, "spec": %s}' % nested
    body = f'{{"items": [{entry}], "asOf": 5}}'.encode()
    changes = f'{{"events": [{{"object": {entry}}}], "asOf": 6}}'.encode()

    async def scenario() -> None:
        relay = Relay(lambda: 100.0)
        client = ObjectClient(ScriptedTransport(body, changes), relay)
        await client.list_all(STORE, SEARCHER_DECODER)
        listing = relay.list_objects("servers").content
        assert encode_at_depth(listing, 300)
        await client.watch(STORE, SEARCHER_DECODER, 5, 1.0)
        events = (await relay.watch("servers", 5, 0.0)).content
        assert encode_at_depth(events, 300)

    asyncio.run(scenario())
