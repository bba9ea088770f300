"""Processor time of a message over a ZeroMQ link."""

from functools import partial
import time

import zmq

from kumquatchute_bench.cpu import async_cpu_point
from kumquatchute_bench.fit import fit
from kumquatchute_bench.fit import Slope
from kumquatchute_bench.harness import discard
from kumquatchute_bench.harness import run_tasks
from kumquatchute_bench import samples
from kumquatchute_standins.ports import allocate_ports
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.peers.keys import PeerKeys
from kumquatchuted.peers.messages import AttemptBatch
from kumquatchuted.peers.messages import PeerIdentity
from kumquatchuted.peers.messages import PeersChanged
from kumquatchuted.peers.messages import ToPeer
from kumquatchuted.peers.task import PeerTask
from kumquatchuted.placement.messages import Member


def curve_keys() -> tuple[PeerKeys, PeerKeys]:
    """Return CURVE keys for both ends of a link."""
    pairs = [
        tuple(key.decode() for key in zmq.curve_keypair()) for _ in range(2)
    ]
    peers = {f"n{i}": pairs[i][0] for i in range(2)}
    return tuple(PeerKeys(*pair, peers) for pair in pairs)


async def link_slope(keys: tuple[PeerKeys, PeerKeys] | None) -> Slope:
    """Measure a message of attempts over a link, both ends together.

    :param keys: CURVE keys of the ends; None for a plain link
    """
    addresses = [f"127.0.0.1:{port}" for port in allocate_ports(2)]
    members = [Member(f"n{i}", "i", "d", addresses[i]) for i in range(2)]
    received, link_events = Mailbox(), Mailbox()
    tasks = [
        PeerTask(
            PeerIdentity(members[i].node, "i"),
            addresses[i],
            keys[i] if keys else None,
            {AttemptBatch: received.post},
            (link_events.post,),
            discard,
            time.monotonic,
        )
        for i in range(2)
    ]

    async def send(batch: AttemptBatch) -> None:
        tasks[0].mailbox.post(ToPeer("n1", batch))
        await received.get()

    async with run_tasks(*tasks):
        tasks[0].mailbox.post(PeersChanged((members[1],)))
        await link_events.get()
        points = [
            await async_cpu_point(
                size, partial(send, samples.attempt_batch(size)), 200
            )
            for size in samples.BATCHES
        ]
    return fit(
        f"link: message of attempts, {'CURVE' if keys else 'plain'}",
        "items/message",
        "us/message",
        points,
        "both ends with codec and ZeroMQ threads, one message at a time",
    )
