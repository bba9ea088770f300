"""The task that owns the catalog and sends it to its subscribers."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import suppress
import random
import time
from typing import Any

from logbook import Logger

from kumquatchute_model.errors import Failure
from kumquatchuted.catalog.codec import decode_shard_map
from kumquatchuted.catalog.events import CatalogEvent
from kumquatchuted.catalog.events import Decision
from kumquatchuted.catalog.events import EntriesListed
from kumquatchuted.catalog.events import EntryRemoved
from kumquatchuted.catalog.events import EntryUpdated
from kumquatchuted.catalog.events import RemovalApplied
from kumquatchuted.catalog.events import RemovalDeferred
from kumquatchuted.catalog.events import SearcherEntry
from kumquatchuted.catalog.events import SearcherLeaving
from kumquatchuted.catalog.events import ShardMapAccepted
from kumquatchuted.catalog.events import ShardMapIgnored
from kumquatchuted.catalog.events import ShardMapRead
from kumquatchuted.catalog.follower import CollectionListed
from kumquatchuted.catalog.follower import follow_collection
from kumquatchuted.catalog.follower import ObjectRemoved
from kumquatchuted.catalog.follower import ObjectUpdated
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.catalog.state import apply_events
from kumquatchuted.catalog.state import CatalogState
from kumquatchuted.catalog.state import next_deadline
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.platform.searcher_entries import decode_entry
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import Store
from kumquatchuted.platform.store import StoredObject

log = Logger("catalog")


class CatalogTask:
    """Owns the catalog of shard maps and searchers that the platform lists.

    During an outage of the platform the last catalog stays in use.
    """

    def __init__(
        self,
        store: Store,
        subscribers: tuple[Post, ...],
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Create the task.

        :param subscribers: receive ``CatalogChanged``
        :param clock: monotonic time in seconds
        :param rng: varies the delays before a collection is listed again;
            None for a new one
        """
        self.mailbox = Mailbox()
        self._store = store
        self._subscribers = subscribers
        self._clock = clock
        self._rng = rng or random.Random()
        self._state = CatalogState()

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        async with asyncio.TaskGroup() as group:
            for kind in (ObjectKind.SHARD_MAPS, ObjectKind.SEARCHERS):
                group.create_task(
                    follow_collection(
                        self._store,
                        kind,
                        self.mailbox.post,
                        self._clock,
                        self._rng,
                    )
                )
            while True:
                self._apply(await self._next_messages())

    async def _next_messages(self) -> list[Any]:
        """Wait for a message and return all that have arrived.

        :returns: an empty list if ``next_deadline`` passes first
        """
        deadline = next_deadline(self._state)
        remaining_s = None
        if deadline is not None:
            remaining_s = max(deadline - self._clock(), 0)
        try:
            async with asyncio.timeout(remaining_s):
                messages = [await self.mailbox.get()]
        except TimeoutError:
            return []
        # A restart of a service changes many entries at once; the catalog is
        # computed once for all of them.
        with suppress(asyncio.QueueEmpty):
            while True:
                messages.append(self.mailbox.get_nowait())
        return messages

    def _apply(self, messages: list[Any]) -> None:
        events = [
            event for message in messages for event in self._to_events(message)
        ]
        before = self._state.catalog
        step = apply_events(self._state, events, self._clock())
        self._state = step.state
        for decision in step.decisions:
            _log(decision)
        if step.state.catalog != before:
            changed = CatalogChanged(step.state.catalog)
            for post in self._subscribers:
                post(changed)

    def _to_events(self, message: Any) -> Iterator[CatalogEvent]:
        match message:
            case CollectionListed(ObjectKind.SHARD_MAPS, objects):
                for stored in objects:
                    yield from _shard_map_events(stored)
            case ObjectUpdated(ObjectKind.SHARD_MAPS, stored):
                yield from _shard_map_events(stored)
            case ObjectRemoved(ObjectKind.SHARD_MAPS, name):
                log.warning("shard map deleted but still in use name={}", name)
            case CollectionListed(ObjectKind.SEARCHERS, objects):
                entries = (self._decode_entry(stored) for stored in objects)
                yield EntriesListed(tuple(entry for entry in entries if entry))
            case ObjectUpdated(ObjectKind.SEARCHERS, stored):
                if entry := self._decode_entry(stored):
                    yield EntryUpdated(entry)
            case ObjectRemoved(ObjectKind.SEARCHERS, name):
                yield EntryRemoved(name)

    def _decode_entry(self, stored: StoredObject) -> SearcherEntry | None:
        """Decode an entry; return the last valid one if it is malformed."""
        match decode_entry(stored.name, stored.body):
            case Failure(reason=reason):
                log.error(
                    "entry rejected searcher={} cause={}",
                    stored.name,
                    reason,
                )
                return self._state.entries.get(stored.name)
            case entry:
                return entry


def _shard_map_events(stored: StoredObject) -> Iterator[CatalogEvent]:
    match decode_shard_map(stored.name, stored.body):
        case Failure(reason=reason):
            log.error(
                "shard map rejected name={} cause={}", stored.name, reason
            )
        case shard_map:
            yield ShardMapRead(shard_map)


def _log(decision: Decision) -> None:
    match decision:
        case ShardMapAccepted(shard_map=shard_map):
            log.info(
                "shard map accepted service={} version={} shards={}",
                shard_map.service,
                _format_version(shard_map.version),
                len(shard_map.shards),
            )
        case ShardMapIgnored(
            shard_map=shard_map, current_version=current_version
        ):
            log.warning(
                "shard map ignored version={} service={} current={}",
                _format_version(shard_map.version),
                shard_map.service,
                _format_version(current_version),
            )
        case RemovalDeferred(service, missing, listed):
            log.warning(
                "removal of searchers deferred missing={} service={} "
                "listed={}",
                missing,
                service,
                listed,
            )
        case RemovalApplied(service=service, missing=missing):
            log.info(
                "searchers removed count={} service={}",
                missing,
                service,
            )
        case SearcherLeaving(searcher=searcher):
            log.info("searcher leaving searcher={}", searcher.name)


def _format_version(version: tuple[int, int]) -> str:
    return f"{version[0]}.{version[1]}"
