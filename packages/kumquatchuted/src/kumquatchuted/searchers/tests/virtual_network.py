"""Searchers on a virtual clock, reached without sockets."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections import Counter
from dataclasses import dataclass
import random
from typing import Any

from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.searchers.task import SearchersTask
from kumquatchuted.targets.tests.virtual_loop import VirtualLoop

HOST = "10.0.0.1"


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that reached a searcher.

    :param received_at: virtual time in seconds
    """

    port: int
    request_id: bytes
    received_at: float


@dataclass(frozen=True, slots=True)
class Reply:
    """What a searcher sends.

    :param delay_s: time until it is sent, in seconds
    """

    delay_s: float
    data: bytes


class _Socket:
    """Accepts the options that are set on sockets."""

    def setsockopt(self, *args: object) -> None:
        pass


class _Transport(asyncio.Transport):
    """Connects the protocol of a node to a searcher."""

    def __init__(
        self, loop: "NetworkLoop", protocol: asyncio.Protocol, port: int
    ) -> None:
        super().__init__()
        self._loop = loop
        self._protocol = protocol
        self._port = port
        self._closing = False

    def get_extra_info(self, name: str, default: object = None) -> object:
        return _Socket() if name == "socket" else default

    def is_closing(self) -> bool:
        return self._closing

    def write(self, data: bytes) -> None:
        if self._closing:
            return
        lines = data.split(b"\r\n\r\n")[0].split(b"\r\n")
        headers = dict(line.lower().split(b": ", 1) for line in lines[1:])
        req = ReceivedRequest(
            self._port, headers[b"x-request-id"], self._loop.time()
        )
        self._loop.received.append(req)
        match self._loop.respond(req):
            case None:
                replies = ()
            case Reply() as reply:
                replies = (reply,)
            case replies:
                pass
        for reply in replies:
            self._loop.call_later(reply.delay_s, self._deliver, reply.data)

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self._loop.call_soon(self._protocol.connection_lost, None)

    abort = close

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def _deliver(self, data: bytes) -> None:
        if not self._closing:
            self._protocol.data_received(data)


class NetworkLoop(VirtualLoop):
    """Virtual event loop whose connections lead to emulated searchers."""

    def __init__(
        self,
        respond: Callable[[ReceivedRequest], Reply | tuple[Reply, ...] | None],
        connect_s: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        """Create the loop.

        :param respond: returns what a searcher sends for a request, None for
            silence
        :param connect_s: time until a connection is open, in seconds
        :param rng: draws the order of the callbacks that are ready at the same
            time; None keeps the order of asyncio
        """
        super().__init__()
        self.respond = respond
        self.connect_s = connect_s
        self.received: list[ReceivedRequest] = []
        # Number of next connections that close as soon as they are open.
        self.closed_connections = 0
        self._rng = rng

    def call_at(
        self,
        when: float,
        callback: Callable,
        *args: Any,
        context: Any = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback.

        It runs among the ready callbacks of the turn after the one in which it
        is due, so that its order is drawn with theirs.
        """

        def run() -> None:
            if not handle.cancelled():
                callback(*args)

        handle = super().call_at(when, self.call_soon, run, context=context)
        return handle

    def _run_once(self) -> None:
        if self._rng is not None:
            ready = list(self._ready)
            self._rng.shuffle(ready)
            self._ready.clear()
            self._ready.extend(ready)
        super()._run_once()

    async def create_connection(
        self, protocol_factory: Callable, host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Open a connection to the emulated searcher on a port."""
        await asyncio.sleep(self.connect_s)
        protocol = protocol_factory()
        transport = _Transport(self, protocol, port)
        protocol.connection_made(transport)
        if self.closed_connections:
            self.closed_connections -= 1
            transport.close()
        return transport, protocol


def run_on_network(main: Coroutine, loop: NetworkLoop) -> Any:
    """Run a coroutine on a loop and return its result."""
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main)


def build_members(services: tuple[str, ...], each: int) -> MembersChanged:
    """Return warm searchers; each has its own port, from 1 on.

    :param each: number of searchers of each service
    """
    searchers = [
        RegisteredSearcher(
            f"i-{number + 1}",
            services[number // each],
            HOST,
            number + 1,
            "a",
            SearcherState.READY,
            4,
            0.0,
            None,
        )
        for number in range(each * len(services))
    ]
    return MembersChanged(
        {item.name: item for item in searchers}, {}, frozenset(), {}
    )


def start_searchers(
    loop: NetworkLoop, members: MembersChanged, counts: Counter[str]
) -> tuple[SearchersTask, asyncio.Future]:
    """Start the task of searchers of a node.

    :param counts: counts the events of the node
    :returns: the task, and the future that ends it when it is cancelled
    """
    searchers = SearchersTask(
        EXAMPLE_SETTINGS,
        loop.time,
        random.Random(1),
        lambda event, label: counts.update((event,)),
    )
    searchers.mailbox.post(members)
    return searchers, asyncio.ensure_future(searchers.run())


def encode_response(
    status: int, req: ReceivedRequest, stamp: bytes, body: bytes = b""
) -> bytes:
    """Return a response to a request, without a digest if it is empty."""
    head = b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n" % (status, req.request_id)
    if stamp:
        head += b"X-Server-Stamp: %s\r\n" % stamp
    if status not in range(200) and status not in (204, 304):
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body
