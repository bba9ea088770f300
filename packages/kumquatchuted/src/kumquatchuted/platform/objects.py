"""Client of the users' object store: HTTP/1.1 with JSON bodies."""

import asyncio
import random

import aiohttp
import msgspec

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.membership.messages import Node
from kumquatchuted.membership.messages import Stored
from kumquatchuted.membership.reading import Changes
from kumquatchuted.membership.reading import HistoryGone
from kumquatchuted.membership.reading import Listing
from kumquatchuted.membership.reading import TopicReader
from kumquatchuted.membership.sources import Source
from kumquatchuted.platform.decoding import encode_node
from kumquatchuted.platform.decoding import NODE_KIND
from kumquatchuted.platform.relay import ANY_AGE
from kumquatchuted.platform.relay import Relay
from kumquatchuted.platform.sockets import keep_alive_socket

# The answer of a watch is awaited for this long after its end. The slowest
# answers of the kinds of trouble take 0.4 s.
WATCH_RESERVE_S = 0.7
# The store answers in milliseconds; under its slowest disturbance seen in
# the kinds of trouble (100 times slower) an answer takes 0.4 s.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_PAGES = 200
# First and longest pause between tries to write the entry of this node, in
# seconds. Nothing waits for it but the shares of the other nodes.
REGISTER_RETRY_S = 0.3
MAX_REGISTER_RETRY_S = 2.0


class ObjectClient:
    """Owns the connections to the store; returns failures, never raises."""

    def __init__(self, relay: Relay) -> None:
        """Create a client.

        :param relay: keeps for other nodes what the store answers
        """
        self._relay = relay
        self._session: aiohttp.ClientSession | None = None

    async def list_all(
        self, source: Source, reader: TopicReader, any_age: bool = False
    ) -> Listing | Failure:
        """Read all pages of a kind.

        :param any_age: whether another node may answer that has lost the
            store
        :returns: the objects and the revision of the first page, from which
            a watch misses nothing that changed while pages were read
        """
        items: dict[str, dict] = {}
        revision = None
        after = None
        for _ in range(MAX_PAGES):
            query = {} if after is None else {"after": after}
            if any_age:
                query[ANY_AGE] = "1"
            page = await self._get(source, reader.kind, query, CALL_TIMEOUT_S)
            if isinstance(page, Failure):
                return page
            if isinstance(page, HistoryGone):
                return _malformed("a listing was answered with 410")
            listed = page.get("items")
            as_of = page.get("asOf")
            if not isinstance(listed, list) or not isinstance(as_of, int):
                return _malformed("a listing lacks its items or revision")
            revision = as_of if revision is None else revision
            items |= {_name(item): item for item in listed if _name(item)}
            after = _name(listed[-1]) if listed else None
            if not page.get("hasMore") or after is None:
                break
        if source.is_store:
            self._relay.listed(reader.kind, items, revision or 0)
        return Listing(
            tuple(
                Stored(name, reader.decode(name, item))
                for name, item in items.items()
            ),
            revision or 0,
        )

    async def watch(
        self,
        source: Source,
        reader: TopicReader,
        revision: int,
        wait_s: float,
    ) -> Changes | HistoryGone | Failure:
        """Wait for changes after a revision.

        :param wait_s: longest time of the watch, in seconds
        """
        query = {"watch": str(revision), "waitMs": str(int(wait_s * 1000))}
        timeout_s = wait_s + WATCH_RESERVE_S
        page = await self._get(source, reader.kind, query, timeout_s)
        if isinstance(page, Failure | HistoryGone):
            return page
        events = page.get("events")
        as_of = page.get("asOf")
        if not isinstance(events, list) or not isinstance(as_of, int):
            return _malformed("a watch lacks its events or revision")
        latest: dict[str, dict | None] = {}
        for event in events:
            if not isinstance(event, dict):
                continue
            item = event.get("object")
            name = _name(item)
            if name:
                removed = event.get("removed") is True
                latest[name] = None if removed else item
        if source.is_store:
            self._relay.changed(reader.kind, latest, as_of)
        return Changes(
            tuple(
                Stored(name, reader.decode(name, item))
                for name, item in latest.items()
                if item is not None
            ),
            tuple(name for name, item in latest.items() if item is None),
            as_of,
        )

    async def put(
        self, source: Source, kind: str, name: str, value: dict
    ) -> None | Failure:
        """Create an object, or replace one that says something else."""
        target = f"http://{source.address}/objects/{kind}"
        meta: dict = {"name": name}
        body = msgspec.json.encode({"meta": meta, "spec": value})
        answer = await self._call("POST", target, {}, body, CALL_TIMEOUT_S)
        if isinstance(answer, Failure):
            return answer
        status, found = answer
        if status != 409:
            return None if status in (200, 201) else _refused(status)
        present = _decode(found)
        if isinstance(present, Failure) or present.get("spec") == value:
            return None
        # The node has moved to another address since it was created.
        meta["revision"] = (present.get("meta") or {}).get("revision")
        body = msgspec.json.encode({"meta": meta, "spec": value})
        answer = await self._call(
            "PUT", f"{target}/{name}", {}, body, CALL_TIMEOUT_S
        )
        if isinstance(answer, Failure):
            return answer
        return None if answer[0] == 200 else _refused(answer[0])

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _get(
        self,
        source: Source,
        kind: str,
        query: dict[str, str],
        timeout_s: float,
    ) -> dict | HistoryGone | Failure:
        url = f"http://{source.address}/objects/{kind}"
        answer = await self._call("GET", url, query, None, timeout_s)
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == 410:
            return HistoryGone()
        if status != 200:
            return _refused(status)
        return _decode(body)

    async def _call(
        self,
        method: str,
        url: str,
        query: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes] | Failure:
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
                f"{method} {url}: {type(exc).__name__} {exc}",
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
    client: ObjectClient, store: Source, node: Node, rng: random.Random
) -> None:
    """Write the entry of this node, however long the store is away."""
    pause = REGISTER_RETRY_S
    value = encode_node(node)
    while await client.put(store, NODE_KIND, node.name, value) is not None:
        await asyncio.sleep(pause * rng.uniform(0.7, 1.0))
        pause = min(MAX_REGISTER_RETRY_S, pause * 2)


def _decode(body: bytes) -> dict | Failure:
    try:
        page = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return _malformed(f"an answer is no JSON: {exc}")
    if not isinstance(page, dict):
        return _malformed("an answer is no JSON object")
    return page


def _name(item: object) -> str:
    meta = item.get("meta") if isinstance(item, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    return name if isinstance(name, str) else ""


def _malformed(reason: str) -> Failure:
    return Failure(ErrorKind.UNAVAILABLE, reason)


def _refused(status: int) -> Failure:
    return Failure(ErrorKind.UNAVAILABLE, f"the store answered {status}")
