"""Messages that are read at the same time within one limit."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from kumquatchuted.memory.byte_budget import ByteBudget
from kumquatchuted.memory.byte_budget import ReadStop
from kumquatchuted.memory.shares import plan_shares


async def slow_chunks(size: int, count: int) -> AsyncIterator[bytes]:
    """Yield chunks, one in each turn of the event loop."""
    for _ in range(count):
        await asyncio.sleep(0)
        yield b"x" * size


async def endless_chunks(size: int) -> AsyncIterator[bytes]:
    """Yield some chunks and then wait forever."""
    yield b"x" * size
    await asyncio.Event().wait()


def test_longest_unfinished_message_is_given_up_first() -> None:
    """Guards against short requests that are refused because of long ones.

    Senders of long bodies that never end would otherwise keep all others out.
    """

    async def scenario() -> None:
        budget = ByteBudget(1_000)

        async def read(chunks: AsyncIterator[bytes]) -> bytes | ReadStop:
            with budget.reserve() as reservation:
                return await reservation.read(chunks, 900)

        long = [
            asyncio.ensure_future(read(endless_chunks(size)))
            for size in (300, 500)
        ]
        await asyncio.sleep(0)
        short = await asyncio.gather(
            *(read(slow_chunks(10, 9)) for _ in range(3))
        )
        assert [len(message) for message in short] == [90, 90, 90]
        assert await long[1] is ReadStop.MEMORY_USED
        assert not long[0].done()
        long[0].cancel()
        await asyncio.gather(*long, return_exceptions=True)
        assert budget.used_bytes() == 0

    asyncio.run(scenario())


def test_messages_in_use_are_not_given_up() -> None:
    """Guards against a request that is ended after its body was read.

    The newcomer is refused, since the complete body may have been sent on.
    """

    async def scenario() -> None:
        budget = ByteBudget(1_000)
        with budget.reserve() as first:
            body = await first.read(slow_chunks(900, 1), 900)
            with budget.reserve() as second:
                stop = await second.read(slow_chunks(200, 1), 900)
        assert len(body) == 900
        assert stop is ReadStop.MEMORY_USED
        assert budget.used_bytes() == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("size", [9, 10, 11])
def test_message_beyond_its_limit_is_too_long(size: int) -> None:
    """Guards against a limit that is off by a byte."""

    async def scenario() -> None:
        with ByteBudget(1_000).reserve() as reservation:
            message = await reservation.read(slow_chunks(size, 1), 10)
        is_stopped = message is ReadStop.TOO_LONG
        assert is_stopped == (size > 10)

    asyncio.run(scenario())


@pytest.mark.parametrize("memory_mb", [160, 424, 560, 820])
def test_shares_leave_most_of_the_memory_to_the_process(
    memory_mb: int,
) -> None:
    """Guards against shares that together exceed what a node may keep."""
    shares = plan_shares(memory_mb * 1024 * 1024)
    total = (
        shares.responses
        + shares.bodies
        + shares.partials
        + shares.store
        + shares.answers
    )
    assert total <= memory_mb * 1024 * 1024 / 4
