"""Tests of the placement task with an in-memory store."""

import asyncio
from functools import wraps
import random
import time

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import PeerSettings
from kumquatchuted.mailbox import ask
from kumquatchuted.peers.messages import FromPeer
from kumquatchuted.peers.messages import PeerIdentity
from kumquatchuted.peers.messages import PeersChanged
from kumquatchuted.peers.messages import ReplyToPeer
from kumquatchuted.placement.codec import decode_lease
from kumquatchuted.placement.messages import Confirmed
from kumquatchuted.placement.messages import ConfirmRequest
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import EpochReleased
from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.placement.messages import WriteOutcome
from kumquatchuted.placement.ownership import may_send_to
from kumquatchuted.placement.storage import MEMBERSHIP_NAME
from kumquatchuted.placement.task import PlacementTask
from kumquatchuted.placement.tests.simulation import SimulatedStore
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import ObjectList
from kumquatchuted.platform.store import StoredObject
from kumquatchuted.tickets.messages import TicketsUpToDate
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

MEMBER = Member("n0", "a1", "atl-north", "127.0.0.1:7000")
STORE_DOWN = Failure(ErrorKind.UNAVAILABLE, "connection refused", not_run=True)
SEED_NODE = PeerSettings("n1", "127.0.0.1:7001")


class MemoryStore:
    """Adapts the store of the simulation to the ``Store`` interface."""

    def __init__(self):
        self.simulated = SimulatedStore()
        self.down = False
        self.unresponsive = False

    async def _answer(self, reply):
        if self.unresponsive:
            await asyncio.Event().wait()
        return STORE_DOWN if self.down else reply()

    async def get(self, kind, name):
        found = await self.list(kind)
        if isinstance(found, Failure):
            return found
        missing = Failure(ErrorKind.NOT_FOUND, "no such object")
        return next((o for o in found.objects if o.name == name), missing)

    async def list(self, kind, prefix=""):
        return await self._answer(lambda: ObjectList("1", self._objects(kind)))

    def _objects(self, kind):
        return tuple(
            StoredObject(name, version, body)
            for name, (body, version) in self.simulated.states[-1].items()
            if (name == MEMBERSHIP_NAME) == (kind is ObjectKind.MEMBERSHIPS)
        )

    async def create(self, kind, name, body):
        return await self.update(kind, name, body, None)

    async def update(self, kind, name, body, version):
        return await self._answer(lambda: self._write(name, body, version))

    def _write(self, name, body, version):
        outcome, new = self.simulated.write(name, body, version)
        done = outcome is WriteOutcome.DONE
        return StoredObject(name, new, body) if done else Conflict(name)


HOST = "host-n0"


class Harness:
    """A placement task, its store and the messages it posted."""

    def __init__(self):
        self.store = MemoryStore()
        self.sent = []
        self.published = []
        self.task = PlacementTask(
            MEMBER,
            HOST,
            self.store,
            self.sent.append,
            (self.published.append,),
            (SEED_NODE,),
            time.monotonic,
            random.Random(1),
        )

    def last_published(self, kind):
        found = [m for m in self.published if isinstance(m, kind)]
        return found[-1] if found else None

    async def wait_until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)

    def has_joined(self):
        change = self.last_published(PlacementChanged)
        return change is not None and may_send_to(change.placement, "s")

    def lease(self):
        body, _ = self.store.simulated.states[-1]["n0"]
        return decode_lease(body)


def run_with_node(scenario):
    """Run an asynchronous test with a running placement task."""

    @wraps(scenario)
    def run():
        asyncio.run(in_loop())

    async def in_loop():
        harness = Harness()
        running = asyncio.create_task(harness.task.run())
        await scenario(harness)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    del run.__wrapped__
    return run


@run_with_node
async def test_task_joins_leaves_and_releases(node):
    """Guards against a shutdown after which peers wait for lease expiry."""
    post = node.task.mailbox.post
    await node.wait_until(node.has_joined)
    post(TicketsUpToDate(time.monotonic()))
    await node.wait_until(
        lambda: node.last_published(CurrentUntil) is not None
    )
    assert node.last_published(CurrentUntil).until > time.monotonic()
    assert [m.node for m in node.last_published(PeersChanged).members] == [
        "n1"
    ]
    assert await ask(post, LeaveMembership()) is None
    assert not node.has_joined()
    post(EpochReleased(2))
    assert await ask(post, ReleaseLease()) is None
    assert node.lease().released
    assert node.last_published(CurrentUntil).until < time.monotonic()


@run_with_node
async def test_unresponsive_store_does_not_delay_replies_to_peers(node):
    """Guards against a task that waits for the store before it goes on.

    Peers would get no confirmations from this node in a store outage, when
    they need them to stay current.
    """
    await node.wait_until(node.has_joined)
    node.store.unresponsive = True
    await asyncio.sleep(0.5)
    request = ConfirmRequest("n1", "b1", 1, 7)
    node.task.mailbox.post(FromPeer("n1", request, time.monotonic(), "b0"))
    node.sent.clear()
    await asyncio.sleep(0.1)
    reply = next(m for m in node.sent if isinstance(m.message, Confirmed))
    confirmed = Confirmed("a1", 7, 1, 0, "", True)
    assert reply == ReplyToPeer(PeerIdentity("n1", "b0"), confirmed)


@run_with_node
async def test_leave_fails_while_the_store_is_down(node):
    """Guards against a failed leave that is reported as a success."""
    await node.wait_until(node.has_joined)
    node.store.down = True
    result = await ask(node.task.mailbox.post, LeaveMembership())
    assert isinstance(result, Failure)
    assert result.kind is ErrorKind.UNAVAILABLE


async def check_leave_and_return(node, out_view):
    await node.wait_until(node.has_joined)
    node.task.mailbox.post(ViewChanged(out_view))
    await node.wait_until(lambda: not node.has_joined())
    node.task.mailbox.post(ViewChanged(View(2, "e")))
    await node.wait_until(node.has_joined)


@run_with_node
async def test_node_of_a_data_centre_that_is_out_leaves(node):
    """Guards against new work in a data centre that is out of service."""
    await check_leave_and_return(
        node, View(1, "d", dcs_out=frozenset({MEMBER.dc}))
    )


@run_with_node
async def test_node_of_a_host_that_is_out_leaves(node):
    """Guards against an out-of-service host that still owns searchers."""
    await check_leave_and_return(
        node, View(1, "d", hosts_out=frozenset({HOST}))
    )
