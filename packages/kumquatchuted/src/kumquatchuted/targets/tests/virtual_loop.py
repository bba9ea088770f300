"""An event loop with a virtual clock, so that tests take no real time."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any


class _VirtualSelector(selectors.SelectSelector):
    """Moves the clock forward in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Time passes only when nothing is left to do at the present instant."""

    def __init__(self) -> None:
        """Start at an arbitrary instant."""
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now

    def pause(self, duration_s: float) -> None:
        """Let time pass without running anything, like a stopped process."""
        self._virtual_selector.now += duration_s


def run_in_virtual_time(main: Coroutine) -> Any:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
