"""Tests of the client that reads topics and fills the relay."""

import asyncio

import msgspec
import pytest

from kumquatchuted.membership.sources import Source
from kumquatchuted.platform.decoding import SEARCHER_DECODER
from kumquatchuted.platform.object_client import ObjectClient
from kumquatchuted.platform.relay import Relay
from kumquatchuted.platform.transport import Request
from kumquatchuted.platform.transport import Response

STORE = Source("10.0.0.1:80", is_store=True)
RELAY = Source("10.0.0.2:80", is_store=False)


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


@pytest.mark.parametrize(
    ("source", "age_s"), [(RELAY, 1.25), (STORE, 0.0)], ids=["relay", "store"]
)
def test_only_what_a_relay_sends_has_an_age(
    source: Source, age_s: float
) -> None:
    """Guards against a state that counts as older or newer than it is.

    The field is the relay's own; in a response of the store it has no meaning.
    """
    listing = b'{"items": [], "asOf": 5, "ageMs": 1250}'
    changes = b'{"events": [], "asOf": 6, "ageMs": 1250}'

    async def scenario() -> None:
        transport = ScriptedTransport(listing, changes)
        client = ObjectClient(transport, Relay(lambda: 100.0))
        listed = await client.list_all(source, SEARCHER_DECODER)
        changed = await client.watch(source, SEARCHER_DECODER, 5, 1.0)
        assert (listed.age_s, changed.age_s) == (age_s, age_s)

    asyncio.run(scenario())


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
