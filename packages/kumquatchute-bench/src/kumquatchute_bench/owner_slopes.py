"""Processor time of an attempt on the node that owns its searcher."""

import asyncio
from dataclasses import replace
import itertools
import time

from kumquatchute_bench.cpu import async_cpu_point
from kumquatchute_bench.cpu import cpu_point
from kumquatchute_bench.fit import fit
from kumquatchute_bench.fit import Point
from kumquatchute_bench.fit import Slope
from kumquatchute_bench.harness import discard
from kumquatchute_bench.harness import run_tasks
from kumquatchute_bench import samples
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.placement.ownership import owner
from kumquatchuted.targets.admission import Eligibility
from kumquatchuted.targets.client import Admit
from kumquatchuted.targets.client import AttemptResult
from kumquatchuted.targets.client import Cancelled
from kumquatchuted.targets.client import Completed
from kumquatchuted.targets import limiter
from kumquatchuted.targets.limiter import Limiter
from kumquatchuted.targets.messages import AttemptDone
from kumquatchuted.targets.messages import CancelAttempts
from kumquatchuted.targets.messages import RunAttempt
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.target_task import TargetTask
from kumquatchuted.targets.task import TargetsTask

SLOTS = 2
QUEUE_DEPTHS = (0, 16, 32, 63)
CONCURRENT_ATTEMPTS = (1, 8, 16, 32, 60)
OWNED_SEARCHERS = (25, 100, 400)

ELIGIBILITY = Eligibility(
    samples.searchers(1)[0], samples.FAR_FUTURE, True, True, False, 0.001
)


def limiter_slope() -> Slope:
    """Measure the limiter by its number of waiting attempts."""
    return fit(
        "owner: limiter, one attempt in and one out",
        "attempts waiting",
        "us/attempt",
        [_limiter_point(depth) for depth in QUEUE_DEPTHS],
        "enqueue, dispatch, release, dispatch",
    )


def _limiter_point(depth: int) -> Point:
    filled = Limiter()
    for i in range(depth + SLOTS):
        run = RunAttempt("n1", samples.search_attempt(i), 1000.0 + i)
        filled, _ = limiter.enqueue(filled, run, ELIGIBILITY, SLOTS, 0.0)
        filled, _ = limiter.dispatch(filled, ELIGIBILITY, SLOTS, 0.0)
    return cpu_point(depth, lambda: _run_one_attempt(filled))


def _run_one_attempt(filled: Limiter) -> None:
    run = RunAttempt("n1", samples.search_attempt(1000), 5000.0)
    state, _ = limiter.enqueue(filled, run, ELIGIBILITY, SLOTS, 0.0)
    state, _ = limiter.dispatch(state, ELIGIBILITY, SLOTS, 0.0)
    done = next(iter(state.in_flight))
    state = limiter.release(state, done)
    limiter.dispatch(state, ELIGIBILITY, SLOTS, 0.0)


class InstantClient:
    """Target client that answers at once, without sockets."""

    async def run(
        self, attempt: SearchAttempt, timeout_s: float, admit: Admit
    ) -> AttemptResult:
        """Return a complete result at once."""
        await admit(False)
        result = samples.search_result(
            attempt.attempt, attempt.searcher, attempt.shard
        )
        return AttemptResult(result, Completed("i", False))

    async def cancel(self, attempt: str, timeout_s: float) -> Cancelled:
        """Confirm the cancellation."""
        return Cancelled("i")

    async def read_report(self, timeout_s: float) -> None:
        """Return no report."""
        return None

    def has_verified_connection(self) -> bool:
        """Return True, as if the searcher had answered before."""
        return True

    def is_connected(self) -> bool:
        """Return True, so that no attempt waits for a connection."""
        return True

    async def close(self) -> None:
        """Do nothing."""


async def target_task_slope() -> Slope:
    """Measure the task of one searcher by its concurrent attempts."""
    return fit(
        "owner: target task without the HTTP client",
        "attempts at once",
        "us",
        [await _target_task_point(size) for size in CONCURRENT_ATTEMPTS],
        "2 slots, so that the others wait",
    )


async def _target_task_point(size: int) -> Point:
    done = Mailbox()
    task = TargetTask(
        samples.searchers(1)[0],
        ELIGIBILITY,
        lambda searcher: InstantClient(),
        done.post,
        discard,
        time.monotonic,
    )
    numbers = itertools.count()

    async def run() -> None:
        for _ in range(size):
            attempt = samples.search_attempt(next(numbers))
            task.mailbox.post(RunAttempt("n1", attempt, samples.FAR_FUTURE))
        for _ in range(size):
            await done.get()

    async with run_tasks(task):
        return await async_cpu_point(size, run, 1 + 1500 // size)


async def cancellation_slope() -> Slope:
    """Measure one cancellation by the number of owned searchers."""
    return fit(
        "owner: one cancellation",
        "searchers owned",
        "us/cancellation",
        [await _cancellation_point(count) for count in OWNED_SEARCHERS],
        "includes one attempt that follows it",
    )


async def _cancellation_point(count: int) -> Point:
    done = Mailbox()
    task = TargetsTask(
        "n0",
        lambda searcher: InstantClient(),
        done.post,
        time.monotonic,
        owner,
        lambda placement, name: True,
    )
    attempt = samples.search_attempt(1)

    async def cancel() -> None:
        # The end of the attempt shows that the cancellation was handled.
        task.mailbox.post(CancelAttempts("n1", attempt.searcher, ("no",)))
        task.mailbox.post(RunAttempt("n1", attempt, samples.FAR_FUTURE))
        while not isinstance(await done.get(), AttemptDone):
            pass

    async with run_tasks(task):
        task.mailbox.post(CurrentUntil(samples.FAR_FUTURE))
        searchers = {item.name: item for item in samples.searchers(count)}
        catalog = replace(samples.catalog(1), searchers=searchers)
        task.mailbox.post(CatalogChanged(catalog))
        task.mailbox.post(PlacementChanged(samples.placement(1)))
        await asyncio.sleep(0.2)
        return await async_cpu_point(count, cancel, 50)
