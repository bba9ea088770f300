"""Client of the platform's object store that implements ``Store``."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import time
from urllib.parse import quote

from logbook import Logger
import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import PlatformSettings
from kumquatchuted.platform.outcomes import ErrorResponse
from kumquatchuted.platform.outcomes import FailedCall
from kumquatchuted.platform.outcomes import interpret_failed_read
from kumquatchuted.platform.outcomes import interpret_failed_write
from kumquatchuted.platform.outcomes import NoResponse
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectDeleted
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import ObjectList
from kumquatchuted.platform.store import StoredObject
from kumquatchuted.platform.store import WatchEvent
from kumquatchuted.platform.transport import Request
from kumquatchuted.platform.transport import Response
from kumquatchuted.platform.transport import Transport
from kumquatchuted.platform.wire import decode_events
from kumquatchuted.platform.wire import decode_object
from kumquatchuted.platform.wire import decode_page
from kumquatchuted.platform.wire import encode_object
from kumquatchuted.platform.wire import Event
from kumquatchuted.platform.wire import EventBatch
from kumquatchuted.platform.wire import Item
from kumquatchuted.platform.wire import Page

# Longest time for which the store holds a watch open. A watch that stops
# delivering without an error is detected after this time, which keeps changes
# within the 17 s in which they must take effect.
WATCH_WAIT_S = 8
# A shorter watch without changes is a failure: a store that ends watches
# immediately would otherwise be called in a loop without a pause.
MIN_WATCH_DURATION_S = 1.0
# Sorts after all names, which consist of lower-case letters, digits, dots and
# dashes. A listing after this name is empty and states only the revision.
AFTER_ALL_NAMES = "~"

log = Logger("store")


class ObjectStore:
    """Implements ``Store`` with calls to the platform's object store."""

    def __init__(
        self,
        cfg: PlatformSettings,
        transport: Transport | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a client; connections are opened on first use.

        :param cfg: address, namespace and timeout of the store
        :param transport: owner of the connections, by default a new one
        :param clock: monotonic time in seconds
        """
        self._cfg = cfg
        self._transport = transport or Transport()
        self._clock = clock
        self._timeout_s = cfg.timeout_ms / 1000

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | Failure:
        """Read the newest state of an object."""
        result = await self._call("GET", self._build_url(kind, name))
        if isinstance(result, Response):
            try:
                return _to_stored_object(decode_object(result.body))
            except DECODE_ERRORS as exc:
                result = NoResponse(f"malformed object: {exc}")
        return interpret_failed_read(result)

    async def list(
        self, kind: ObjectKind, prefix: str = ""
    ) -> ObjectList | Failure:
        """Read all objects of a kind as of one version.

        The pages of a listing are read at different revisions. Applying the
        changes since the first page brings all objects to one version.
        """
        page = await self._read_page(kind, "")
        if isinstance(page, Failure):
            return page
        revision, pages = page.revision, 1
        items = {item.name: item for item in page.items}
        while page.has_more and page.items:
            page = await self._read_page(kind, page.items[-1].name)
            if isinstance(page, Failure):
                return page
            items |= {item.name: item for item in page.items}
            pages += 1
        if pages > 1:
            changes = await self._read_events(kind, str(revision), 0)
            if not isinstance(changes, EventBatch):
                return interpret_failed_read(changes)
            revision = changes.revision
            for event in changes.events:
                items[event.item.name] = event.item
                if event.removed:
                    del items[event.item.name]
        return ObjectList(
            str(revision),
            tuple(
                _to_stored_object(items[name])
                for name in sorted(items)
                if name.startswith(prefix)
            ),
        )

    async def version(self, kind: ObjectKind) -> str | Failure:
        """Return the version from which to watch, without the objects."""
        page = await self._read_page(kind, AFTER_ALL_NAMES)
        return page if isinstance(page, Failure) else str(page.revision)

    async def create(
        self, kind: ObjectKind, name: str, body: bytes
    ) -> StoredObject | Conflict | Failure:
        """Create an object unless the name exists."""
        document = encode_object(name, body, None)
        return await self._write("POST", self._build_url(kind), name, document)

    async def update(
        self, kind: ObjectKind, name: str, body: bytes, version: str
    ) -> StoredObject | Conflict | Failure:
        """Replace an object whose version is still ``version``."""
        document = encode_object(name, body, int(version))
        return await self._write(
            "PUT", self._build_url(kind, name), name, document
        )

    async def delete(
        self, kind: ObjectKind, name: str, version: str
    ) -> None | Conflict | Failure:
        """Delete an object whose version is still ``version``."""
        result = await self._call(
            "DELETE", self._build_url(kind, name), {"revision": version}
        )
        if isinstance(result, Response):
            return None
        return interpret_failed_write(name, result)

    async def watch(
        self, kind: ObjectKind, version: str
    ) -> AsyncIterator[WatchEvent | Failure]:
        """Yield changes after ``version``; ends after a ``Failure``.

        Each call to the store returns the next changes, or none after
        ``WATCH_WAIT_S``. Consecutive calls appear as one watch.
        """
        while True:
            started_at = self._clock()
            result = await self._read_events(kind, version, WATCH_WAIT_S)
            if isinstance(result, EventBatch):
                for event in result.events:
                    yield _to_watch_event(event)
                version = str(result.revision)
                if (
                    result.events
                    or self._clock() - started_at >= MIN_WATCH_DURATION_S
                ):
                    continue
                result = NoResponse("the store ended the watch immediately")
            yield interpret_failed_read(result)
            return

    async def close(self) -> None:
        """Close the connections."""
        await self._transport.close()

    async def _read_page(self, kind: ObjectKind, after: str) -> Page | Failure:
        query = {"after": after} if after else {}
        result = await self._call("GET", self._build_url(kind), query)
        if isinstance(result, Response):
            try:
                page = decode_page(result.body)
                _warn_skipped(kind, page.skipped)
                return page
            except DECODE_ERRORS as exc:
                result = NoResponse(f"malformed listing: {exc}")
        return interpret_failed_read(result)

    async def _read_events(
        self, kind: ObjectKind, version: str, wait_s: float
    ) -> EventBatch | FailedCall:
        query = {"watch": version, "waitMs": str(int(wait_s * 1000))}
        result = await self._call(
            "GET", self._build_url(kind), query, wait_s=wait_s
        )
        if isinstance(result, Response):
            try:
                events = decode_events(result.body)
                _warn_skipped(kind, events.skipped)
                return events
            except DECODE_ERRORS as exc:
                return NoResponse(f"malformed response to a watch: {exc}")
        return result

    async def _write(
        self, method: str, url: str, name: str, document: bytes
    ) -> StoredObject | Conflict | Failure:
        result = await self._call(method, url, body=document)
        if isinstance(result, Response):
            try:
                return _to_stored_object(decode_object(result.body))
            except DECODE_ERRORS as exc:
                result = NoResponse(f"malformed response to a write: {exc}")
        return interpret_failed_write(name, result)

    async def _call(
        self,
        method: str,
        url: str,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Response | FailedCall:
        result = await self._transport.call(
            Request(
                method,
                url,
                self._timeout_s + wait_s,
                # Connecting may take half of the timeout, which leaves time
                # for a response. A write without a connection has not run.
                self._timeout_s / 2,
                query or {},
                body,
            )
        )
        if isinstance(result, Response) and not 200 <= result.status < 300:
            return ErrorResponse(result.status)
        return result

    def _build_url(self, kind: ObjectKind, name: str = "") -> str:
        prefix = f"{self._cfg.namespace}-" if self._cfg.namespace else ""
        url = f"{self._cfg.url.rstrip('/')}/objects/{prefix}{kind.value}"
        return f"{url}/{quote(name, safe='')}" if name else url


def _warn_skipped(kind: ObjectKind, count: int) -> None:
    if count:
        log.warning(
            "objects skipped count={} kind={} cause=no name or revision",
            count,
            kind.value,
        )


def _to_stored_object(item: Item) -> StoredObject:
    body = msgspec.json.encode(item.spec)
    return StoredObject(item.name, str(item.revision), body)


def _to_watch_event(event: Event) -> WatchEvent:
    if event.removed:
        return ObjectDeleted(event.item.name)
    return _to_stored_object(event.item)
