"""Ticket tasks of several nodes, connected in memory, with a fake store."""

import asyncio
from contextlib import asynccontextmanager
import time

from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import HostState
from kumquatchuted.mailbox import ask
from kumquatchuted.peers.messages import FromPeer
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import ViewChanged
from kumquatchuted.tickets.task import TicketTask

NODES = ("n1", "n2", "n3", "n4")
TAKE_DC_OUT = SubmitTicket("amna", (DcState("atl-east", False),))
RETURN_DC = SubmitTicket("omar", (DcState("atl-east", True),))
TAKE_HOST_OUT = SubmitTicket("amna", (HostState("h1", False),))


class Cluster:
    """Ticket tasks whose peer messages are delivered in memory.

    :ivar published: messages that each task posted to its subscribers
    :ivar isolated: nodes that send and receive no peer messages
    :ivar clock_offset_s: seconds by which the clock of each node is ahead
    """

    def __init__(self):
        self.nodes, self.published, self.run_tasks = {}, {}, {}
        self.isolated, self.clock_offset_s = set(), dict.fromkeys(NODES, 0.0)

    def start(self, node, store):
        self.published[node] = []
        task = TicketTask(
            node,
            store,
            frozenset({"atl-east"}),
            lambda outgoing: self.deliver(node, outgoing),
            (self.published[node].append,),
            lambda: time.monotonic() + self.clock_offset_s[node],
        )
        self.nodes[node] = task
        self.set_placement(node, 1, NODES)
        for other in self.nodes:
            if other != node:
                self.connect(node, other)
        self.run_tasks[node] = asyncio.create_task(task.run())

    def set_placement(self, node, epoch, names):
        members = tuple(Member(n, "i1", "atl-east", "") for n in names)
        placement = Placement(node, "i1", Membership(epoch, members))
        self.nodes[node].mailbox.post(PlacementChanged(placement))

    def kill(self, node):
        self.run_tasks.pop(node).cancel()
        del self.nodes[node]
        for task in self.nodes.values():
            task.mailbox.post(LinkDown(node))

    def connect(self, node, other):
        self.nodes[node].mailbox.post(LinkUp(other, "i1"))
        self.nodes[other].mailbox.post(LinkUp(node, "i1"))

    def deliver(self, node, outgoing):
        if (
            outgoing.node in self.nodes
            and not {node, outgoing.node} & self.isolated
        ):
            self.nodes[outgoing.node].mailbox.post(
                FromPeer(node, outgoing.message, time.monotonic())
            )

    def view(self, node):
        views = [m for m in self.published[node] if isinstance(m, ViewChanged)]
        return views[-1].view if views else None

    async def submit(self, node, request):
        return await ask(self.nodes[node].mailbox.post, request)


@asynccontextmanager
async def run_cluster(store, nodes=NODES):
    cluster = Cluster()
    for node in nodes:
        cluster.start(node, store)
    await asyncio.sleep(0.05)
    try:
        yield cluster
    finally:
        for run_task in cluster.run_tasks.values():
            run_task.cancel()
        await asyncio.gather(
            *cluster.run_tasks.values(), return_exceptions=True
        )


async def wait_until(condition, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
