"""Turns in which slow responses are read."""

import asyncio
from collections.abc import Callable

import pytest

from kumquatchuted.searchers.read_turns import ReadTurns
from kumquatchuted.searchers.read_turns import TURN_S
from kumquatchuted.targets.tests.virtual_loop import VirtualLoop


def play_turns(reads: int, ended: int) -> list[float]:
    """Schedule reads behind those of responses that have ended.

    :returns: times of the reads in seconds
    """
    loop = VirtualLoop()
    times: list[float] = []

    def create_read(is_ended: bool) -> Callable[[], bool]:
        def read() -> bool:
            if not is_ended:
                times.append(loop.time())
            return not is_ended

        return read

    async def main() -> None:
        turns = ReadTurns()
        for _ in range(ended):
            turns.schedule(create_read(is_ended=True))
        for _ in range(reads):
            turns.schedule(create_read(is_ended=False))
        while len(times) < reads:
            await asyncio.sleep(TURN_S)

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        started_at = loop.time()
        runner.run(main())
    return [time - started_at for time in times]


def test_connections_share_the_turns() -> None:
    """Guards against many slow responses that take all the processor time."""
    times = play_turns(reads=20, ended=0)
    assert times == pytest.approx([TURN_S * n for n in range(1, 21)])


def test_turns_of_ended_responses_delay_no_other() -> None:
    """Guards against a response that waits for those that were given up."""
    times = play_turns(reads=1, ended=500)
    assert times == pytest.approx([TURN_S])
