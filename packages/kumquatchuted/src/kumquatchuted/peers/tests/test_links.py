"""Guards against links that stay unresponsive, and wrong peer keys."""

import asyncio
from contextlib import contextmanager
import socket
import time

import pytest
import zmq

from kumquatchuted.peers.keys import PeerKeys
from kumquatchuted.peers.link import HEARTBEAT_INTERVAL_S
from kumquatchuted.peers.messages import CancelBatch
from kumquatchuted.peers.messages import Cancellation
from kumquatchuted.peers.messages import FromPeer
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.peers.messages import PeerIdentity
from kumquatchuted.peers.messages import PeersChanged
from kumquatchuted.peers.messages import Ping
from kumquatchuted.peers.messages import ReplyToPeer
from kumquatchuted.peers.messages import ToPeer
from kumquatchuted.peers.task import PeerTask
from kumquatchuted.placement.messages import Confirmed
from kumquatchuted.placement.messages import ConfirmRequest
from kumquatchuted.placement.messages import Member

ANY_PORT = "127.0.0.1:0"


@contextmanager
def refusing_address():
    """Yield an address that is bound but refuses connections."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


def cancel_batch(attempt: str) -> CancelBatch:
    return CancelBatch((Cancellation(attempt, "s"),))


def confirmed(seq: int) -> Confirmed:
    return Confirmed("i1", seq, 1, 0, "", True)


class PeerHarness:
    """A peer task that records the messages that it receives."""

    def __init__(self, name, keys=None, incarnation="i1"):
        self.name = name
        self.received = []
        self.pings = []
        self.link_events = []
        self.failed = []
        self.task = PeerTask(
            PeerIdentity(name, incarnation),
            ANY_PORT,
            keys,
            {
                CancelBatch: self.received.append,
                ConfirmRequest: self._confirm,
                Confirmed: self.received.append,
                Ping: self.pings.append,
            },
            (self.link_events.append,),
            self.failed.append,
            time.monotonic,
        )

    @property
    def address(self) -> str | None:
        return self.task.address

    async def run(self) -> None:
        await self.task.run()

    def _confirm(self, request: FromPeer) -> None:
        requester = PeerIdentity(request.node, request.incarnation)
        self.task.mailbox.post(
            ReplyToPeer(requester, confirmed(request.message.seq))
        )

    def request_confirmation(self, node: str, seq: int) -> None:
        request = ConfirmRequest(self.name, "i1", 1, seq)
        self.task.mailbox.post(ToPeer(node, request))

    def set_peer(self, name: str, address: str) -> None:
        member = Member(name, "i1", "atl-east", address)
        self.task.mailbox.post(PeersChanged((member,)))

    def send(self, node: str, attempt: str) -> None:
        self.task.mailbox.post(ToPeer(node, cancel_batch(attempt)))


class Proxy:
    """A TCP proxy that can stop forwarding without closing connections.

    Connections that are opened after that are forwarded again.
    """

    def __init__(self, target: "PeerHarness"):
        self.address = None
        self.connections = 0
        self._target = target
        self._last_stopped = 0

    def stop_forwarding(self) -> None:
        self._last_stopped = self.connections

    async def run(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        async with server:
            await server.serve_forever()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        number = self.connections
        host, port = self._target.address.split(":")
        far_reader, far_writer = await asyncio.open_connection(host, port)
        await asyncio.gather(
            self._copy(number, reader, far_writer),
            self._copy(number, far_reader, writer),
            return_exceptions=True,
        )

    async def _copy(self, number: int, reader, writer) -> None:
        while data := await reader.read(65536):
            if number > self._last_stopped:
                writer.write(data)
        writer.close()


async def wait_until(condition, seconds: float = 8.0) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


def run_scenario(scenario, *runners) -> None:
    async def run():
        tasks = [asyncio.create_task(runner.run()) for runner in runners]
        try:
            await wait_until(lambda: all(runner.address for runner in runners))
            await scenario()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


@pytest.mark.proves("search: send", "connection silent for good")
def test_unresponsive_connection_is_replaced_by_a_new_one():
    """Guards against a peer that stays out of reach although it works.

    The network stops carrying a connection without closing it, while a new
    connection would work. TCP alone reports nothing for minutes.
    """
    a, b = PeerHarness("a"), PeerHarness("b")
    proxy = Proxy(b)

    async def scenario():
        a.set_peer("b", proxy.address)
        await wait_until(lambda: LinkUp("b", "i1") in a.link_events)
        proxy.stop_forwarding()
        await wait_until(lambda: LinkDown("b") in a.link_events)
        await wait_until(lambda: a.link_events.count(LinkUp("b", "i1")) == 2)
        a.send("b", "after")
        await wait_until(lambda: b.received)

    run_scenario(scenario, a, b, proxy)
    assert proxy.connections >= 2
    assert [m.message for m in b.received] == [cancel_batch("after")]


def test_replaced_process_does_not_disturb_links_of_its_replacement():
    """Guards against two processes that take a connection from each other.

    A process that was paused and replaced under its node name goes on to send
    heartbeats. With the same routing identity, the listener would hand the
    connection of the new process over to it.
    """
    b = PeerHarness("b")
    old, new = (
        PeerHarness("a", incarnation="i1"),
        PeerHarness("a", incarnation="i2"),
    )

    async def scenario():
        old.set_peer("b", b.address)
        new.set_peer("b", b.address)
        await wait_until(lambda: old.link_events and new.link_events)
        await asyncio.sleep(3.0)
        new.send("b", "x")
        await wait_until(lambda: b.received)

    run_scenario(scenario, b, old, new)
    assert new.link_events == [LinkUp("b", "i1")]


def test_message_to_a_peer_without_connection_is_returned():
    """Guards against an attempt queued for a peer that may never come back.

    Its sender would wait until the deadline in place of trying elsewhere.
    """
    a = PeerHarness("a")

    async def scenario():
        with refusing_address() as address:
            a.set_peer("b", address)
            await asyncio.sleep(0.2)
            a.send("b", "lost")
            await wait_until(lambda: a.failed)

    run_scenario(scenario, a)
    assert a.failed[0].message == cancel_batch("lost")


def test_message_to_an_unknown_node_is_returned():
    """Guards against an attempt that vanishes without an outcome.

    The node has left the membership, and its link is closed already.
    """
    a = PeerHarness("a")

    async def scenario():
        a.send("x", "lost")
        await wait_until(lambda: a.failed)

    run_scenario(scenario, a)
    assert a.failed[0].node == "x"


def test_confirmation_comes_back_on_the_connection_of_its_request():
    """Guards against a reply that needs a second working connection.

    If only one of two nodes can connect to the other, it must still get the
    confirmation that it asks for.
    """
    a, b = PeerHarness("a"), PeerHarness("b")

    async def scenario():
        a.set_peer("b", b.address)
        await wait_until(lambda: a.link_events)
        a.request_confirmation("b", 7)
        await wait_until(lambda: a.received)

    run_scenario(scenario, a, b)
    assert a.received[0].message == confirmed(7)
    assert a.received[0].node == "b"


def test_confirmation_for_a_replaced_process_does_not_reach_its_replacement():
    """Guards against confirmations that count for another process.

    The two processes share a node name. A reply to the older one would keep
    its replacement current by the number of the request.
    """
    b = PeerHarness("b")
    old, new = (
        PeerHarness("a", incarnation="i1"),
        PeerHarness("a", incarnation="i2"),
    )

    async def scenario():
        old.set_peer("b", b.address)
        new.set_peer("b", b.address)
        await wait_until(lambda: old.link_events and new.link_events)
        old.request_confirmation("b", 7)
        await wait_until(lambda: old.received)
        new.request_confirmation("b", 8)
        await wait_until(lambda: new.received)

    run_scenario(scenario, b, old, new)
    assert [m.message for m in old.received] == [confirmed(7)]
    assert [m.message for m in new.received] == [confirmed(8)]


def test_link_whose_requests_are_answered_sends_no_heartbeats():
    """Guards against needless messages between all pairs of nodes.

    Heartbeats must begin again as soon as no request is answered, as a link
    that fails would otherwise seem to work.
    """
    a, b = PeerHarness("a"), PeerHarness("b")

    async def scenario():
        a.set_peer("b", b.address)
        await wait_until(lambda: a.link_events)
        before = len(b.pings)
        for seq in range(10):
            a.request_confirmation("b", seq)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S / 3)
        assert len(b.pings) == before
        await wait_until(lambda: len(b.pings) > before)

    run_scenario(scenario, a, b)
    assert a.link_events == [LinkUp("b", "i1")]


def make_keys(*names: str) -> dict[str, PeerKeys]:
    pairs = {name: zmq.curve_keypair() for name in names}
    public = {name: pair[0].decode() for name, pair in pairs.items()}
    return {
        name: PeerKeys(pair[0].decode(), pair[1].decode(), public)
        for name, pair in pairs.items()
    }


def test_peers_with_listed_keys_exchange_messages():
    """Guards against a check of keys that cuts off all peers.

    No node would be confirmed by others or get attempts from them.
    """
    keys = make_keys("a", "b")
    a, b = PeerHarness("a", keys["a"]), PeerHarness("b", keys["b"])

    async def scenario():
        a.set_peer("b", b.address)
        await wait_until(lambda: a.link_events)
        a.send("b", "x")
        await wait_until(lambda: b.received)

    run_scenario(scenario, a, b)
    assert isinstance(b.received[0], FromPeer)


def test_peer_with_the_key_of_another_node_gets_no_link():
    """Guards against a node that confirms or asks under another node's name.

    Its key is listed, but under its own name, so only the connection opens.
    """
    keys = make_keys("a", "b", "c")
    b, impostor = PeerHarness("b", keys["b"]), PeerHarness("a", keys["c"])

    async def scenario():
        impostor.set_peer("b", b.address)
        await asyncio.sleep(2 * HEARTBEAT_INTERVAL_S)
        impostor.send("b", "x")
        await asyncio.sleep(0.3)

    run_scenario(scenario, b, impostor)
    assert impostor.link_events == []
    assert b.received == [] and b.pings == []


def test_peer_whose_key_is_not_listed_gets_no_link():
    """Guards against a foreign process that sends attempts and epochs.

    It can reach the port and has made keys of its own.
    """
    keys = make_keys("a", "b")
    unlisted = make_keys("c")["c"]
    public = {**keys["b"].peers, **unlisted.peers}
    c = PeerHarness("c", PeerKeys(unlisted.public, unlisted.secret, public))
    b = PeerHarness("b", keys["b"])

    async def scenario():
        c.set_peer("b", b.address)
        await asyncio.sleep(1.0)
        c.send("b", "x")
        await asyncio.sleep(0.3)

    run_scenario(scenario, c, b)
    assert c.link_events == []
    assert b.received == []
