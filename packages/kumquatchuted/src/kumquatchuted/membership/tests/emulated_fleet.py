"""Nodes that read from a store and from each other, on a virtual clock."""

import asyncio
from collections.abc import Callable
import random
from urllib.parse import urlsplit

import msgspec

from kumquatchuted.membership.follower import Follower
from kumquatchuted.membership.messages import Node
from kumquatchuted.membership.messages import Topic
from kumquatchuted.membership.messages import TopicChanged
from kumquatchuted.membership.messages import TopicListed
from kumquatchuted.membership.object_reader import TopicDecoder
from kumquatchuted.membership.sources import order_sources
from kumquatchuted.membership.sources import SourceSilent
from kumquatchuted.platform.object_client import ObjectClient
from kumquatchuted.platform.outcomes import NoResponse
from kumquatchuted.platform.relay import Relay
from kumquatchuted.platform.transport import Request
from kumquatchuted.platform.transport import Response

STORE = "store:1"
WATCH_S = 2.0
ROUND_TRIP_S = 0.004
OBJECT = "main"


def _encode_object(revision: int, value: int) -> dict:
    meta = {"name": OBJECT, "revision": revision}
    return {"meta": meta, "spec": {"value": value}}


class EmulatedStore:
    """Holds one object of each kind, with a value that only grows."""

    def __init__(self) -> None:
        """Create a store in which all values are 0."""
        self._revision = 1
        self._objects: dict[str, tuple[int, int]] = {}
        self._changed = asyncio.Event()

    def put(self, kind: str, value: int) -> None:
        """Replace the object of a kind."""
        self._revision += 1
        self._objects[kind] = (self._revision, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, kind: str, query: dict) -> Response:
        """Respond to a listing or a watch."""
        if "watch" not in query:
            items = [_encode_object(*self._object(kind))]
            return _json({"items": items, "asOf": self._revision})
        after, wait_s = int(query["watch"]), int(query["waitMs"]) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while self._object(kind)[0] <= after:
                    await self._changed.wait()
        except TimeoutError:
            return _json({"events": [], "asOf": self._revision})
        events = [{"object": _encode_object(*self._object(kind))}]
        return _json({"events": events, "asOf": self._revision})

    def _object(self, kind: str) -> tuple[int, int]:
        return self._objects.get(kind, (1, 0))


class EmulatedNode:
    """Owns the followers and the relay of one node."""

    def __init__(self, fleet: "EmulatedFleet", node: Node) -> None:
        """Create a node; nothing runs before ``start``."""
        loop = asyncio.get_running_loop()
        self.node = node
        self.is_frozen = False
        self.has_store = True
        self.resumed = asyncio.Event()
        self.relay = Relay(loop.time)
        self.known: dict[Topic, int] = {}
        self._fleet = fleet
        client = ObjectClient(self, self.relay)
        sources = order_sources(
            node.name,
            node.address,
            node.data_centre,
            fleet.members,
            (),
            STORE,
        )
        self._followers = [
            Follower(
                topic,
                client,
                TopicDecoder(
                    topic.value, lambda name, item: item["spec"]["value"]
                ),
                lambda: sources,
                self._handle,
                random.Random(1),
                loop.time,
                WATCH_S,
                phase_s=WATCH_S * number / len(Topic),
            )
            for number, topic in enumerate(Topic)
        ]
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Follow all topics."""
        self._tasks = [
            asyncio.ensure_future(follower.run())
            for follower in self._followers
        ]

    def stop(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()

    def set_frozen(self, is_frozen: bool) -> None:
        """Suspend the process or let it run again."""
        self.is_frozen = is_frozen
        if not is_frozen:
            self.resumed.set()
            self.resumed = asyncio.Event()

    async def call(self, req: Request) -> Response | NoResponse:
        """Call the store or another node, as ``Transport`` does.

        A read whose response came during a suspension is repeated once.
        """
        result = await self._call_once(req)
        if result is None:
            result = await self._call_once(req)
        return result or NoResponse("no answer in time")

    async def _call_once(self, req: Request) -> Response | NoResponse | None:
        """Return the result, None if it came after the timeout."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout(req.timeout_s):
                result = await self._fleet.deliver(self, req)
        except TimeoutError:
            result = NoResponse("no answer in time")
        await self.wait_until_running()
        if loop.time() - started_at > req.timeout_s:
            return None if isinstance(result, Response) else result
        return result

    async def wait_until_running(self) -> None:
        """Wait until the process is not suspended."""
        while self.is_frozen:
            await self.resumed.wait()

    async def respond(self, kind: str, query: dict) -> Response:
        """Respond to a call of another node."""
        await self.wait_until_running()
        if "watch" in query:
            result = await self.relay.watch(
                kind, int(query["watch"]), int(query["waitMs"]) / 1000
            )
        else:
            result = self.relay.list_objects(kind, "anyAge" in query)
        await self.wait_until_running()
        return Response(result.status, msgspec.json.encode(result.content))

    def _handle(self, message: object) -> None:
        match message:
            case TopicListed(topic=topic, objects=objects):
                self.known[topic] = objects[0].value
            case TopicChanged(topic=topic, written=written):
                self.known[topic] = written[-1].value
            case SourceSilent(source=source):
                for follower in self._followers:
                    follower.on_source_silent(source)


class EmulatedFleet:
    """A store and nodes that know each other."""

    def __init__(self, data_centres: tuple[str, ...]) -> None:
        """Create a fleet; each data centre listed has one more node."""
        self.store = EmulatedStore()
        self.members = {
            f"n{number}": Node(f"n{number}", f"n{number}:1", data_centre)
            for number, data_centre in enumerate(data_centres)
        }
        self.nodes = [
            EmulatedNode(self, node) for node in self.members.values()
        ]

    async def deliver(self, caller: EmulatedNode, req: Request) -> Response:
        """Deliver a call and its response."""
        url = urlsplit(req.url)
        kind = url.path.rsplit("/", 1)[1]
        await asyncio.sleep(ROUND_TRIP_S / 2)
        respond: Callable = self.store.respond
        if url.netloc == STORE:
            await self._wait_for_store(caller)
        else:
            respond = next(
                node.respond
                for node in self.nodes
                if node.node.address == url.netloc
            )
        response = await respond(kind, dict(req.query))
        if url.netloc == STORE:
            await self._wait_for_store(caller)
        await asyncio.sleep(ROUND_TRIP_S / 2)
        return response

    async def _wait_for_store(self, caller: EmulatedNode) -> None:
        """Never return while the store is cut off from the caller."""
        if not caller.has_store:
            await asyncio.Event().wait()


def _json(content: dict) -> Response:
    return Response(200, msgspec.json.encode(content))
