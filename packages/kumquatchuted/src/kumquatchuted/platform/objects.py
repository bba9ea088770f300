"""Client of the users' object store: HTTP/1.1 with JSON bodies."""

import asyncio
from collections.abc import Callable
import random

import aiohttp
import msgspec

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.membership.messages import Stored
from kumquatchuted.membership.reading import Changes
from kumquatchuted.membership.reading import HistoryGone
from kumquatchuted.membership.reading import Listing
from kumquatchuted.membership.reading import TopicReader
from kumquatchuted.platform.sockets import keep_alive_socket

# The answer of a watch is awaited for this long after its end. The slowest
# answers of the kinds of trouble take 0.4 s.
WATCH_RESERVE_S = 0.7
# The store answers in milliseconds; under its slowest disturbance seen in
# the kinds of trouble (100 times slower) an answer takes 0.4 s.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_PAGES = 200


class ObjectClient:
    """Owns the connections to the store; returns failures, never raises."""

    def __init__(self, address: Callable[[], str]) -> None:
        """Create a client.

        :param address: returns the IP address and port in force
        """
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def list_all(self, reader: TopicReader) -> Listing | Failure:
        """Read all pages of a kind.

        :returns: the objects and the revision of the first page, from which
            a watch misses nothing that changed while pages were read
        """
        objects: list[Stored] = []
        revision = None
        after = None
        for _ in range(MAX_PAGES):
            query = {} if after is None else {"after": after}
            page = await self._get(reader.kind, query, CALL_TIMEOUT_S)
            if isinstance(page, Failure):
                return page
            if isinstance(page, HistoryGone):
                return _malformed("a listing was answered with 410")
            items = page.get("items")
            as_of = page.get("asOf")
            if not isinstance(items, list) or not isinstance(as_of, int):
                return _malformed("a listing lacks its items or revision")
            revision = as_of if revision is None else revision
            objects += [_stored(item, reader) for item in items]
            after = _name(items[-1]) if items else None
            if not page.get("hasMore") or after is None:
                break
        return Listing(
            tuple(item for item in objects if item.name), revision or 0
        )

    async def watch(
        self, reader: TopicReader, revision: int, wait_s: float
    ) -> Changes | HistoryGone | Failure:
        """Wait for changes after a revision.

        :param wait_s: longest time of the watch, in seconds
        """
        query = {"watch": str(revision), "waitMs": str(int(wait_s * 1000))}
        timeout_s = wait_s + WATCH_RESERVE_S
        page = await self._get(reader.kind, query, timeout_s)
        if isinstance(page, Failure | HistoryGone):
            return page
        events = page.get("events")
        as_of = page.get("asOf")
        if not isinstance(events, list) or not isinstance(as_of, int):
            return _malformed("a watch lacks its events or revision")
        latest: dict[str, Stored | None] = {}
        for event in events:
            if not isinstance(event, dict):
                continue
            item = event.get("object")
            name = _name(item)
            if name:
                removed = event.get("removed") is True
                latest[name] = None if removed else _stored(item, reader)
        return Changes(
            tuple(item for item in latest.values() if item is not None),
            tuple(name for name, item in latest.items() if item is None),
            as_of,
        )

    async def create(
        self, kind: str, name: str, value: dict
    ) -> None | Failure:
        """Create an object; one that exists already is left as it is."""
        body = msgspec.json.encode({"meta": {"name": name}, "spec": value})
        answer = await self._call("POST", kind, {}, body, CALL_TIMEOUT_S)
        if isinstance(answer, Failure):
            return answer
        status, _ = answer
        if status in (200, 201, 409):
            return None
        return _refused(status)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _get(
        self, kind: str, query: dict[str, str], timeout_s: float
    ) -> dict | HistoryGone | Failure:
        answer = await self._call("GET", kind, query, None, timeout_s)
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == 410:
            return HistoryGone()
        if status != 200:
            return _refused(status)
        try:
            page = msgspec.json.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return _malformed(f"an answer is no JSON: {exc}")
        if not isinstance(page, dict):
            return _malformed("an answer is no JSON object")
        return page

    async def _call(
        self,
        method: str,
        kind: str,
        query: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes] | Failure:
        url = f"http://{self._address()}/objects/{kind}"
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            async with self._open().request(
                method,
                url,
                params=query,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as exc:
            # TimeoutError of asyncio is an OSError only since Python 3.11.
            return Failure(
                ErrorKind.UNAVAILABLE,
                f"{method} {kind}: {type(exc).__name__} {exc}",
            )

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                # A kept connection may have gone silent; finding that out
                # costs the seconds in which a change must apply.
                force_close=True,
                socket_factory=keep_alive_socket,
            )
            self._session = aiohttp.ClientSession(
                connector=connector, auto_decompress=False
            )
        return self._session


async def register_node(
    client: ObjectClient, kind: str, node: str, rng: random.Random
) -> None:
    """Create the entry of this node, however long the store is away."""
    pause = 0.3
    while await client.create(kind, node, {}) is not None:
        await asyncio.sleep(pause * rng.uniform(0.7, 1.0))
        pause = min(2.0, pause * 2)


def _stored(item: object, reader: TopicReader) -> Stored:
    name = _name(item)
    return Stored(name, reader.decode(name, item) if name else None)


def _name(item: object) -> str:
    meta = item.get("meta") if isinstance(item, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    return name if isinstance(name, str) else ""


def _malformed(reason: str) -> Failure:
    return Failure(ErrorKind.UNAVAILABLE, reason)


def _refused(status: int) -> Failure:
    return Failure(ErrorKind.UNAVAILABLE, f"the store answered {status}")
