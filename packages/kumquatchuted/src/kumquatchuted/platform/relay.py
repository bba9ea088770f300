"""Cache of the store's objects, which this node serves to other nodes.

The relay serves listings and watches in the store's format, with the store's
revisions, so that a node can switch between the store and any relay.
"""

import asyncio
from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
import math

# Changes kept for each kind; a node that is further behind reads the whole
# listing.
MAX_CHANGES = 2_000
# A relay responds for a kind only if the store has responded to it for that
# kind within this time. Each watch of the store ends every 2 s, and a response
# takes up to 0.4 s. Nodes that read from a relay need the rest of the 3 s
# within which a change must apply to read from another source.
FRESHNESS_S = 2.5
MAX_WATCH_WAIT_S = 30.0
# Shortest wait for a change. The clock can be a rounding error before the time
# at which the objects are too old, and a wait of that length would not end.
MIN_WAIT_S = 0.001
# Query parameter that accepts a listing of any age.
ANY_AGE = "anyAge"


@dataclass(frozen=True, slots=True)
class RelayResponse:
    """Response to a listing or a watch.

    :param status: HTTP status
    :param content: JSON object, None if there is no body
    """

    status: int
    content: dict | None = None


class _CachedKind:
    """Objects of one kind and the changes since ``oldest_revision``.

    ``confirmed_at`` is when the store last responded for this kind. Contact
    for another kind does not count, because the call for this one may be
    silent, or the node may read it from another relay.
    """

    def __init__(
        self, items: dict[str, object], revision: int, now: float
    ) -> None:
        self.confirmed_at = now
        self.items = items
        self.revision = revision
        self.oldest_revision = revision
        self.changes: deque[tuple[int, str]] = deque(maxlen=MAX_CHANGES)
        self.changed_event = asyncio.Event()

    def add_changes(self, names: list[str], revision: int) -> None:
        """Record changed names and wake the waiting watches."""
        if len(self.changes) + len(names) > MAX_CHANGES:
            # The queue drops changes, so older watches cannot continue.
            self.oldest_revision = revision
        self.changes.extend((revision, name) for name in names)
        self.revision = max(self.revision, revision)
        if names:
            self.changed_event.set()
            self.changed_event = asyncio.Event()

    def changed_names_after(self, revision: int) -> list[str]:
        """Return the names that changed after a revision, each once."""
        return list(
            dict.fromkeys(
                name
                for changed_in, name in self.changes
                if changed_in > revision
            )
        )


class Relay:
    """Owns the cached objects and changes of the store."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty relay.

        :param clock: monotonic time in seconds
        """
        self._clock = clock
        self._kinds: dict[str, _CachedKind] = {}

    def record_listing(
        self,
        kind: str,
        items: dict[str, object],
        revision: int,
        is_from_store: bool = True,
    ) -> None:
        """Replace the objects of a kind with a complete listing.

        A listing of another node does not confirm that the objects are those
        of the store. It is kept for nodes that start during an outage, unless
        it is older than what is known.
        """
        confirmed_at = self._clock() if is_from_store else -math.inf
        cached = self._kinds.get(kind)
        if cached is None or (is_from_store and revision < cached.revision):
            self._kinds[kind] = _CachedKind(items, revision, confirmed_at)
            return
        if revision < cached.revision:
            return
        cached.confirmed_at = max(cached.confirmed_at, confirmed_at)
        names = [
            name
            for name in {**cached.items, **items}
            if cached.items.get(name) != items.get(name)
        ]
        cached.items = items
        cached.add_changes(names, revision)

    def record_changes(
        self,
        kind: str,
        changes: dict[str, object],
        revision: int,
        is_from_store: bool = True,
    ) -> None:
        """Apply changes; None stands for a removed object.

        :param is_from_store: whether the store itself sent them
        """
        cached = self._kinds.get(kind)
        if cached is None or (
            not is_from_store and revision < cached.revision
        ):
            return
        if is_from_store:
            cached.confirmed_at = self._clock()
        for name, item in changes.items():
            if item is None:
                cached.items.pop(name, None)
            else:
                cached.items[name] = item
        cached.add_changes(list(changes), revision)

    def list_objects(self, kind: str, any_age: bool = False) -> RelayResponse:
        """Return the response to a listing.

        :param any_age: whether to respond without recent contact to the
            store: a node that starts during an outage has no better source
        :returns: status 503 if the objects are not known or too old
        """
        cached = self._kinds.get(kind) if any_age else self._get_fresh(kind)
        if cached is None:
            return RelayResponse(503)
        content = {
            "items": list(cached.items.values()),
            "hasMore": False,
            "asOf": cached.revision,
        }
        return RelayResponse(200, content | self._encode_age(cached))

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> RelayResponse:
        """Return the response to a watch as soon as there is a change.

        The watch also ends as soon as the objects are too old, so that the
        other node does not wait for changes that cannot arrive.

        :param wait_s: longest duration of the watch, in seconds
        :returns: status 503 if the objects are not known or too old, 410 if
            changes after the revision are missing
        """
        deadline = self._clock() + min(wait_s, MAX_WATCH_WAIT_S)
        while True:
            cached = self._get_fresh(kind)
            if cached is None:
                return RelayResponse(503)
            if revision < cached.oldest_revision:
                return RelayResponse(410)
            names = cached.changed_names_after(revision)
            remaining_s = deadline - self._clock()
            if names or remaining_s <= 0:
                content = _encode_events(cached, names, revision)
                return RelayResponse(200, content | self._encode_age(cached))
            fresh_s = max(MIN_WAIT_S, FRESHNESS_S - self._age_s(cached))
            try:
                async with asyncio.timeout(min(remaining_s, fresh_s)):
                    await cached.changed_event.wait()
            except TimeoutError:
                continue

    def _get_fresh(self, kind: str) -> _CachedKind | None:
        cached = self._kinds.get(kind)
        if cached is None:
            return None
        return cached if self._age_s(cached) < FRESHNESS_S else None

    def _age_s(self, cached: _CachedKind) -> float:
        return self._clock() - cached.confirmed_at

    def _encode_age(self, cached: _CachedKind) -> dict[str, int]:
        """Return the field with the age; none if the store never confirmed.

        A node that reads from this relay cannot tell from a response how long
        ago the store confirmed it.
        """
        age_s = self._age_s(cached)
        return {"ageMs": math.ceil(age_s * 1000)} if age_s < math.inf else {}


def _encode_events(
    cached: _CachedKind, names: list[str], revision: int
) -> dict:
    events = []
    for name in names:
        item = cached.items.get(name)
        if item is None:
            # The revision of the removal itself is not known.
            removed = {"meta": {"name": name, "revision": cached.revision}}
            events.append({"removed": True, "object": removed})
        else:
            events.append({"removed": False, "object": item})
    as_of = max(revision, cached.revision)
    return {"events": events, "asOf": as_of}
