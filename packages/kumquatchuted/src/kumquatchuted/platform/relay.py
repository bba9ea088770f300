"""Objects of the store as this node last read them, for other nodes.

The relay answers lists and watches in the form of the store, with the
store's revisions, so that a node can move between the store and any relay.
"""

import asyncio
from collections.abc import Callable
from collections import deque
from dataclasses import dataclass

# Changes that a watch can continue from; a node that is further behind
# reads the whole list.
MAX_HISTORY = 2_000
# Only a node that reached the store within this time, in seconds, answers.
# Its shortest watch of the store ends every 2 s.
FRESH_S = 3.0
MAX_WAIT_S = 30.0
# Query parameter of a list that may be old.
ANY_AGE = "anyAge"


@dataclass(frozen=True, slots=True)
class Page:
    """An answer to a list or a watch.

    :param status: HTTP status
    :param content: JSON object, None if there is no body
    """

    status: int
    content: dict | None = None


class _Kind:
    """Objects of one kind and the changes since the oldest known revision."""

    def __init__(self, items: dict[str, dict], revision: int) -> None:
        self.items = items
        self.revision = revision
        self.floor = revision
        self.history: deque[tuple[int, str]] = deque(maxlen=MAX_HISTORY)
        self.changed = asyncio.Event()

    def record(self, names: list[str], revision: int) -> None:
        """Add changes and wake the watches that wait."""
        if len(self.history) + len(names) > MAX_HISTORY:
            self.floor = revision
        self.history.extend((revision, name) for name in names)
        self.revision = max(self.revision, revision)
        if names:
            self.changed.set()
            self.changed = asyncio.Event()

    def names_after(self, revision: int) -> list[str]:
        """Return the names that changed after a revision, in order."""
        return list(
            dict.fromkeys(name for at, name in self.history if at > revision)
        )


class Relay:
    """Owns what this node last read from the store."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty relay.

        :param clock: monotonic time in seconds
        """
        self._clock = clock
        self._kinds: dict[str, _Kind] = {}
        self._contact_at = float("-inf")

    def touch(self) -> None:
        """Note that the store has just answered."""
        self._contact_at = self._clock()

    def listed(self, kind: str, items: dict[str, dict], revision: int) -> None:
        """Keep a complete list of the store."""
        self.touch()
        known = self._kinds.get(kind)
        if known is None or revision < known.revision:
            self._kinds[kind] = _Kind(items, revision)
            return
        names = [
            name
            for name in {**known.items, **items}
            if known.items.get(name) != items.get(name)
        ]
        known.items = items
        known.record(names, revision)

    def changed(
        self, kind: str, changes: dict[str, dict | None], revision: int
    ) -> None:
        """Keep changes of the store; None stands for a removed object."""
        self.touch()
        known = self._kinds.get(kind)
        if known is None:
            return
        for name, item in changes.items():
            if item is None:
                known.items.pop(name, None)
            else:
                known.items[name] = item
        known.record(list(changes), revision)

    def list_objects(self, kind: str, any_age: bool = False) -> Page:
        """Answer a list.

        :param any_age: whether the store may be lost: during an outage a node
            that was just started has nothing better
        """
        known = self._kinds.get(kind) if any_age else self._fresh(kind)
        if known is None:
            return Page(503)
        return Page(
            200,
            {
                "items": list(known.items.values()),
                "hasMore": False,
                "asOf": known.revision,
            },
        )

    async def watch(self, kind: str, revision: int, wait_s: float) -> Page:
        """Answer a watch as soon as there is a change.

        :param wait_s: longest time, in seconds
        """
        deadline = self._clock() + min(wait_s, MAX_WAIT_S)
        while True:
            known = self._fresh(kind)
            if known is None:
                return Page(503)
            if revision < known.floor:
                return Page(410)
            names = known.names_after(revision)
            left_s = deadline - self._clock()
            if names or left_s <= 0:
                return _events(known, names, revision)
            try:
                async with asyncio.timeout(min(left_s, FRESH_S)):
                    await known.changed.wait()
            except TimeoutError:
                continue

    def _fresh(self, kind: str) -> _Kind | None:
        if self._clock() > self._contact_at + FRESH_S:
            return None
        return self._kinds.get(kind)


def _events(known: _Kind, names: list[str], revision: int) -> Page:
    events = []
    for name in names:
        item = known.items.get(name)
        if item is None:
            # The revision of the removal itself is not known.
            gone = {"meta": {"name": name, "revision": known.revision}}
            events.append({"removed": True, "object": gone})
        else:
            events.append({"removed": False, "object": item})
    as_of = max(revision, known.revision)
    return Page(200, {"events": events, "asOf": as_of})
