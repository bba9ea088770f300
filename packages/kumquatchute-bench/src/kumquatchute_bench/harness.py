"""Runs single tasks of a node without the rest of the node."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any


@asynccontextmanager
async def run_tasks(*tasks: Any) -> AsyncIterator[None]:
    """Run tasks of a node until the block ends."""
    running = [asyncio.create_task(task.run()) for task in tasks]
    try:
        yield
    finally:
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


def discard(message: object) -> None:
    """Drop a message that the measurement does not need."""
