"""An in-memory store for tests of slices, with the platform's faults.

All stores of one ``MemoryPlatform`` share its objects. Each store has its own
faults, so that a test can disconnect a single node::

    platform = MemoryPlatform()
    first, second = MemoryStore(platform), MemoryStore(platform)
    first.set_fault(SetDown(DownMode.REFUSE))
    second.set_fault(LoseAnswers(1))
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections import Counter
from dataclasses import replace
import time

import msgspec

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_standins.platform.controls import DownMode
from kumquatchute_standins.platform.controls import Fault
from kumquatchute_standins.platform.controls import FreezeWatches
from kumquatchute_standins.platform.faults import Faults
from kumquatchute_standins.platform.faults import set_fault
from kumquatchute_standins.platform.faults import take_token
from kumquatchute_standins.platform.faults import TokenBucket
from kumquatchute_standins.platform.messages import Change
from kumquatchute_standins.platform.messages import CreateObject
from kumquatchute_standins.platform.messages import DeleteObject
from kumquatchute_standins.platform.messages import ListObjects
from kumquatchute_standins.platform.messages import Loss
from kumquatchute_standins.platform.messages import ObjectRevision
from kumquatchute_standins.platform.messages import ReplaceObject
from kumquatchute_standins.platform.messages import StatusError
from kumquatchute_standins.platform.messages import Verb
from kumquatchute_standins.platform.messages import Write
from kumquatchute_standins.platform.table import SEARCHER_KIND
from kumquatchute_standins.platform.table import Table
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectDeleted
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import ObjectList
from kumquatchuted.platform.store import StoredObject
from kumquatchuted.platform.store import WatchEvent

# Interval at which watches look for changes that SetEndpointLag hid.
LAG_POLL_INTERVAL_S = 0.01


class MemoryPlatform:
    """Holds the objects that several stores share."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty platform.

        :param clock: monotonic time in seconds
        """
        self.table = Table()
        self.clock = clock
        self._changed = asyncio.Event()

    def put(self, kind: ObjectKind, name: str, body: bytes) -> None:
        """Create or replace an object unconditionally, despite any fault."""
        spec = msgspec.Raw(body)
        self.table.put(kind.value, name, spec, self.clock(), len(body))
        self.notify_watches()

    def remove(self, kind: ObjectKind, name: str) -> None:
        """Delete an object unconditionally, despite any fault."""
        self.table.write(DeleteObject(kind.value, name), self.clock())
        self.notify_watches()

    def drop_history(self) -> None:
        """Discard the history, so that watches from older versions fail."""
        self.table.drop_history()

    def notify_watches(self) -> None:
        """Let all open watches look for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    def next_change(self) -> asyncio.Event:
        """Return an event that the next notification sets."""
        return self._changed


class MemoryStore:
    """Implements ``Store`` in memory; ``calls`` counts its calls by verb.

    :param timeout_s: time in seconds after which a call without answer fails
    """

    def __init__(
        self, platform: MemoryPlatform | None = None, timeout_s: float = 1.0
    ) -> None:
        """Create a store, by default with a platform of its own."""
        self.platform = platform or MemoryPlatform()
        self.calls: Counter[Verb] = Counter()
        self._timeout_s = timeout_s
        self._faults = Faults()
        # Watches are numbered from 1 in the order in which they are opened.
        # Those with numbers up to the frozen count are frozen.
        self._frozen_count = 0
        self._watch_count = 0

    def set_fault(self, fault: Fault | FreezeWatches) -> None:
        """Set a fault of this store only.

        ``FreezeWatches`` affects the watches that are open now.
        ``ExecuteLate`` and ``SilenceWatches`` have no effect.
        """
        match fault:
            case FreezeWatches():
                self._frozen_count = self._watch_count
            case _:
                now = self.platform.clock()
                self._faults = set_fault(self._faults, fault, now)
        self.platform.notify_watches()

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | Failure:
        """Read an object."""
        if failure := await self._begin_call(Verb.GET):
            return failure
        revision = self._visible_revision(kind)
        result = self.platform.table.get(kind.value, name, revision)
        if isinstance(result, StatusError):
            return Failure(ErrorKind.NOT_FOUND, result.message, not_run=True)
        return _to_stored_object(result)

    async def list(
        self, kind: ObjectKind, prefix: str = ""
    ) -> ObjectList | Failure:
        """Read all objects of a kind whose name begins with ``prefix``."""
        if failure := await self._begin_call(Verb.LIST):
            return failure
        revision = self._visible_revision(kind)
        items: list[ObjectRevision] = []
        has_more = True
        while has_more:
            after = items[-1].name if items else ""
            request = ListObjects(kind.value, after)
            page = self.platform.table.page(request, revision)
            items.extend(page.items)
            has_more = page.has_more
        return ObjectList(
            str(revision),
            tuple(
                _to_stored_object(item)
                for item in items
                if item.name.startswith(prefix)
            ),
        )

    async def version(self, kind: ObjectKind) -> str | Failure:
        """Return the version from which to watch, without reading objects."""
        if failure := await self._begin_call(Verb.LIST):
            return failure
        return str(self._visible_revision(kind))

    async def create(
        self, kind: ObjectKind, name: str, body: bytes
    ) -> StoredObject | Conflict | Failure:
        """Create an object; ``Conflict`` if the name exists."""
        spec = msgspec.Raw(body)
        request = CreateObject(kind.value, name, spec, len(body))
        return await self._write(kind, Verb.CREATE, name, request)

    async def update(
        self, kind: ObjectKind, name: str, body: bytes, version: str
    ) -> StoredObject | Conflict | Failure:
        """Replace an object; ``Conflict`` if its version has changed."""
        request = ReplaceObject(
            kind.value, name, msgspec.Raw(body), int(version), len(body)
        )
        return await self._write(kind, Verb.UPDATE, name, request)

    async def delete(
        self, kind: ObjectKind, name: str, version: str
    ) -> None | Conflict | Failure:
        """Delete an object; ``Conflict`` if its version has changed."""
        request = DeleteObject(kind.value, name, int(version))
        result = await self._write(kind, Verb.DELETE, name, request)
        return None if isinstance(result, StoredObject) else result

    async def watch(
        self, kind: ObjectKind, version: str
    ) -> AsyncIterator[WatchEvent | Failure]:
        """Yield changes after ``version``; a ``Failure`` is the last item."""
        if failure := await self._begin_call(Verb.WATCH):
            yield failure
            return
        self._watch_count += 1
        number = self._watch_count
        last_revision = int(version)
        table = self.platform.table.kind(kind.value)
        while True:
            # The event must be fetched before the changes are read. Otherwise
            # a change that is made while they are yielded would be missed.
            changed = self.platform.next_change()
            if last_revision < table.history_start:
                yield _unavailable("the history after this revision is gone")
                return
            if number <= self._frozen_count:
                await asyncio.sleep(self._timeout_s)
                yield _unavailable("no answer from the platform in time")
                return
            match self._faults.down:
                case DownMode.REFUSE | DownMode.ERROR:
                    yield _unavailable("the platform is down")
                    return
                case None:
                    visible = self._visible_revision(kind)
                    changes = table.changes_between(last_revision, visible)
                    last_revision = max(last_revision, visible)
                    for change in changes:
                        yield _to_watch_event(change)
            await self._wait_for_change(changed)

    async def close(self) -> None:
        """Do nothing, since there are no connections."""

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        lag_s = self._faults.endpoint_lag_s
        try:
            async with asyncio.timeout(LAG_POLL_INTERVAL_S if lag_s else None):
                await changed.wait()
        except TimeoutError:
            pass

    async def _begin_call(self, verb: Verb) -> Failure | None:
        """Count a call, and return a failure if it gets no answer."""
        self.calls[verb] += 1
        await asyncio.sleep(min(self._faults.delay_s, self._timeout_s))
        is_write = verb in (Verb.CREATE, Verb.UPDATE, Verb.DELETE)
        if self._faults.delay_s > self._timeout_s and not is_write:
            return _unavailable("no answer from the platform in time")
        match self._faults.down:
            case DownMode.REFUSE:
                return _unavailable("the platform refused the connection")
            case DownMode.HANG:
                await asyncio.sleep(self._timeout_s)
            case None:
                return self._check_rate(is_write)
        if is_write:
            return _outcome_unknown("no answer from the platform")
        return _unavailable("no answer from the platform")

    def _check_rate(self, is_write: bool) -> Failure | None:
        now = self.platform.clock()
        bucket = (
            self._faults.write_bucket if is_write else self._faults.read_bucket
        )
        remaining: TokenBucket | None = take_token(bucket, now)
        if remaining is None:
            return _unavailable("the platform answered 429")
        if is_write:
            self._faults = replace(self._faults, write_bucket=remaining)
        else:
            self._faults = replace(self._faults, read_bucket=remaining)
        return None

    async def _write(
        self, kind: ObjectKind, verb: Verb, name: str, request: Write
    ) -> StoredObject | Conflict | Failure:
        if failure := await self._begin_call(verb):
            return failure
        result = self.platform.table.write(request, self.platform.clock())
        match result:
            case StatusError(code=409):
                return Conflict(name)
            case StatusError(code=404, message=message):
                return Failure(ErrorKind.NOT_FOUND, message, not_run=True)
            case StatusError(code=413, message=message):
                return Failure(ErrorKind.TOO_LARGE, message, not_run=True)
            case StatusError(message=message):
                return Failure(ErrorKind.MALFORMED, message, not_run=True)
        self.platform.notify_watches()
        if self._faults.answers_to_lose:
            self._faults = replace(
                self._faults, answers_to_lose=self._faults.answers_to_lose - 1
            )
            if self._faults.loss is Loss.SILENT:
                await asyncio.sleep(self._timeout_s)
            return _outcome_unknown("connection to the platform failed")
        if self._faults.delay_s > self._timeout_s:
            return _outcome_unknown("no answer from the platform in time")
        return _to_stored_object(result)

    def _visible_revision(self, kind: ObjectKind) -> int:
        faults = self._faults
        lag_s = faults.endpoint_lag_s if kind.value == SEARCHER_KIND else 0
        is_affected = faults.older_state.kind in ("", kind.value)
        return self.platform.table.visible_revision(
            kind.value,
            self.platform.clock() - lag_s if lag_s else None,
            faults.older_state.changes if is_affected else 0,
        )


def _to_stored_object(item: ObjectRevision) -> StoredObject:
    body = bytes(item.document["spec"])
    return StoredObject(item.name, str(item.revision), body)


def _to_watch_event(change: Change) -> WatchEvent:
    if change.removed:
        return ObjectDeleted(change.item.name)
    return _to_stored_object(change.item)


def _unavailable(reason: str) -> Failure:
    return Failure(ErrorKind.UNAVAILABLE, reason, not_run=True)


def _outcome_unknown(reason: str) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)
