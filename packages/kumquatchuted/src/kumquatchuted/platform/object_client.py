"""Reads the topics of the membership from the store or from another node.

A node that reads the store relays the objects to the nodes of its data
centre. It serves the same listings and watches as the store, so that one
client reads from both.
"""

import asyncio
import random

from logbook import Logger
import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.membership.messages import DecodedObject
from kumquatchuted.membership.messages import Node
from kumquatchuted.membership.object_reader import Changes
from kumquatchuted.membership.object_reader import HistoryGone
from kumquatchuted.membership.object_reader import Listing
from kumquatchuted.membership.object_reader import SourceUnresponsive
from kumquatchuted.membership.object_reader import TopicDecoder
from kumquatchuted.membership.sources import Source
from kumquatchuted.platform.decoding import encode_node
from kumquatchuted.platform.outcomes import ErrorResponse
from kumquatchuted.platform.outcomes import interpret_failed_read
from kumquatchuted.platform.relay import ANY_AGE
from kumquatchuted.platform.relay import Relay
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import Store
from kumquatchuted.platform.store import StoredObject
from kumquatchuted.platform.transport import Request
from kumquatchuted.platform.transport import Response
from kumquatchuted.platform.transport import Transport
from kumquatchuted.platform.wire import decode_events
from kumquatchuted.platform.wire import decode_page
from kumquatchuted.platform.wire import Item

# Time for the response to arrive after the longest duration of a watch. In the
# slowest disturbance of the store a response takes 0.4 s.
WATCH_MARGIN_S = 0.7
# The store responds within milliseconds; in its slowest disturbance, which
# makes it 100 times slower, a response takes 0.4 s.
CALL_TIMEOUT_S = 2.0
# Timeout of a listing of another node, and time for its response after the
# longest duration of a watch. A node that does not run accepts connections and
# does not respond, and a change must apply within 3 s from the next source.
RELAY_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 1.0
MAX_PAGES = 200
# First and longest backoff between attempts to write the entry of this node.
# The write is not urgent: only the other nodes' shares of the limits depend on
# the entry.
MIN_REGISTER_BACKOFF_S = 0.3
MAX_REGISTER_BACKOFF_S = 2.0

log = Logger("membership")


class ObjectClient:
    """Reads topics from any source; returns failures, never raises."""

    def __init__(self, transport: Transport, relay: Relay) -> None:
        """Create a client.

        :param transport: owner of the connections
        :param relay: caches the store's objects for other nodes
        """
        self._transport = transport
        self._relay = relay

    async def list_all(
        self, source: Source, decoder: TopicDecoder, any_age: bool = False
    ) -> Listing | Failure:
        """Read all pages of a kind.

        :param any_age: whether a node that has lost the store may respond
            with old state
        :returns: the objects and the revision of the first page; a watch from
            it includes all changes made while the pages were read
        """
        items: dict[str, Item] = {}
        revision = None
        age_s = 0.0
        query = {ANY_AGE: "1"} if any_age else {}
        is_urgent = not source.is_store and not any_age
        timeout_s = RELAY_TIMEOUT_S if is_urgent else CALL_TIMEOUT_S
        for _ in range(MAX_PAGES):
            body = await self._get(source, decoder.kind, query, timeout_s)
            match body:
                case HistoryGone():
                    return _unavailable("a listing returned status 410")
                case Failure():
                    return body
            try:
                page = decode_page(body)
            except DECODE_ERRORS as exc:
                return _unavailable(f"malformed listing: {exc}")
            _warn_skipped(decoder.kind, source, page.skipped)
            revision = page.revision if revision is None else revision
            age_s = max(age_s, page.age_s)
            items |= {item.name: item for item in page.items}
            if not page.has_more or not page.items:
                break
            query = query | {"after": page.items[-1].name}
        relayed = {
            name: _relayed(item, source) for name, item in items.items()
        }
        self._relay.record_listing(
            decoder.kind, relayed, revision or 0, source.is_store
        )
        return Listing(
            tuple(
                DecodedObject(
                    name, decoder.decode(name, item.content), item.revision
                )
                for name, item in items.items()
            ),
            revision or 0,
            max((item.revision for item in items.values()), default=0),
            0.0 if source.is_store else age_s,
        )

    async def watch(
        self,
        source: Source,
        decoder: TopicDecoder,
        revision: int,
        wait_s: float,
    ) -> Changes | HistoryGone | Failure:
        """Wait for changes after a revision.

        :param wait_s: longest duration of the watch, in seconds
        :returns: ``HistoryGone`` if the source no longer has the changes
            after the revision
        """
        query = {"watch": str(revision), "waitMs": str(int(wait_s * 1000))}
        margin_s = WATCH_MARGIN_S if source.is_store else RELAY_TIMEOUT_S
        timeout_s = wait_s + margin_s
        body = await self._get(source, decoder.kind, query, timeout_s)
        if isinstance(body, Failure | HistoryGone):
            return body
        try:
            batch = decode_events(body)
        except DECODE_ERRORS as exc:
            return _unavailable(f"malformed response to a watch: {exc}")
        _warn_skipped(decoder.kind, source, batch.skipped)
        latest = {
            event.item.name: None if event.removed else event.item
            for event in batch.events
        }
        relayed = {
            event.item.name: (
                None if event.removed else _relayed(event.item, source)
            )
            for event in batch.events
        }
        self._relay.record_changes(
            decoder.kind, relayed, batch.revision, source.is_store
        )
        return Changes(
            tuple(
                DecodedObject(
                    name, decoder.decode(name, item.content), item.revision
                )
                for name, item in latest.items()
                if item is not None
            ),
            tuple(name for name, item in latest.items() if item is None),
            batch.revision,
            max((event.item.revision for event in batch.events), default=0),
            0.0 if source.is_store else batch.age_s,
        )

    async def _get(
        self,
        source: Source,
        kind: str,
        query: dict[str, str],
        timeout_s: float,
    ) -> bytes | HistoryGone | Failure:
        url = f"http://{source.address}/objects/{kind}"
        result = await self._transport.call(
            Request("GET", url, timeout_s, CONNECT_TIMEOUT_S, query)
        )
        match result:
            case Response(status=200, body=body):
                return body
            case Response(status=410):
                return HistoryGone()
            case Response(status=status):
                return interpret_failed_read(ErrorResponse(status))
        failure = interpret_failed_read(result)
        if source.is_store:
            return failure
        return SourceUnresponsive(failure.kind, failure.reason)


def _relayed(item: Item, source: Source) -> object:
    """Return the object as the relay keeps it.

    Most nodes read from a relay and serve their objects only to nodes that
    start in an outage, so that they are not encoded in advance. The relay has
    already replaced those that cannot be encoded.
    """
    return _encode(item) if source.is_store else item.content


def _encode(item: Item) -> msgspec.Raw:
    """Return the object as the relay serves it.

    Objects are encoded when they are read: a deeply nested one fails then, and
    only for itself, and not in each response of the relay. It is relayed
    without its content.
    """
    try:
        return msgspec.Raw(msgspec.json.encode(item.content))
    except RecursionError:
        meta = {"name": item.name, "revision": item.revision}
        return msgspec.Raw(msgspec.json.encode({"meta": meta, "spec": None}))


async def register_node(store: Store, node: Node, rng: random.Random) -> None:
    """Write the entry of this node; retry until the store accepts it."""
    backoff_s = MIN_REGISTER_BACKOFF_S
    while isinstance(await _write_entry(store, node), Conflict | Failure):
        await asyncio.sleep(backoff_s * rng.uniform(0.7, 1.0))
        backoff_s = min(MAX_REGISTER_BACKOFF_S, backoff_s * 2)


async def _write_entry(
    store: Store, node: Node
) -> StoredObject | Conflict | Failure:
    entry = encode_node(node)
    body = msgspec.json.encode(entry)
    created = await store.create(ObjectKind.NODES, node.name, body)
    if not isinstance(created, Conflict):
        return created
    stored = await store.get(ObjectKind.NODES, node.name)
    if isinstance(stored, Failure):
        return stored
    if msgspec.json.decode(stored.body) == entry:
        return stored
    # The address of the node has changed since its entry was created.
    return await store.update(
        ObjectKind.NODES, node.name, body, stored.version
    )


def _warn_skipped(kind: str, source: Source, count: int) -> None:
    if count:
        log.warning(
            "objects skipped kind={} address={} count={}"
            " cause=no name or revision",
            kind,
            source.address,
            count,
        )


def _unavailable(reason: str) -> Failure:
    return Failure(ErrorKind.UNAVAILABLE, reason)
