"""Processor time of the dispatch task."""

from dataclasses import replace
import itertools
import time

from kumquatchute_bench.cpu import async_cpu_point
from kumquatchute_bench.fit import fit
from kumquatchute_bench.fit import Point
from kumquatchute_bench.fit import Slope
from kumquatchute_bench.harness import discard
from kumquatchute_bench.harness import run_tasks
from kumquatchute_bench import samples
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.peers.dispatch import DispatchTask
from kumquatchuted.peers.messages import FromPeer
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.peers.messages import SendAttempt


async def dispatch_out_slope() -> Slope:
    """Measure attempts on their way from a query to the owner's link."""
    return fit(
        "dispatch: attempts into messages",
        "items/message",
        "us",
        [await _dispatch_out_point(size) for size in samples.BATCHES],
    )


async def _dispatch_out_point(size: int) -> Point:
    outgoing = Mailbox()
    task = DispatchTask("n0", discard, outgoing.post, time.monotonic)
    numbers = itertools.count()

    async def send() -> None:
        for _ in range(size):
            attempt = samples.search_attempt(next(numbers))
            task.mailbox.post(
                SendAttempt("n1", attempt, samples.FAR_FUTURE, discard)
            )
        remaining = size
        while remaining:
            message = await outgoing.get()
            remaining -= len(message.message.searches)

    async with run_tasks(task):
        task.mailbox.post(LinkUp("n1", "i"))
        return await async_cpu_point(size, send, 1 + 4000 // size)


async def dispatch_in_slope() -> Slope:
    """Measure attempts on their way from the owner's link to its targets."""
    return fit(
        "dispatch: messages into attempts",
        "items/message",
        "us",
        [await _dispatch_in_point(size) for size in samples.BATCHES],
    )


async def _dispatch_in_point(size: int) -> Point:
    delivered = Mailbox()
    task = DispatchTask("n1", delivered.post, discard, time.monotonic)
    batch = samples.attempt_batch(size)

    async def receive() -> None:
        # With its old time of sending, the batch would look older than its
        # time budget and be dropped.
        now = time.monotonic()
        task.mailbox.post(FromPeer("n0", replace(batch, sent_at=now), now))
        for _ in range(size):
            await delivered.get()

    async with run_tasks(task):
        return await async_cpu_point(size, receive, 1 + 4000 // size)
