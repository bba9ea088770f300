"""Event loop with a virtual clock, so that tests need not wait."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any


class _VirtualSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advances its clock only when no callback is ready to run."""

    def __init__(self) -> None:
        """Create the loop; its clock starts at an arbitrary time."""
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now

    def pause(self, duration_s: float) -> None:
        """Advance the clock without running anything, as a paused process."""
        self._virtual_selector.now += duration_s


def run_in_virtual_time(main: Coroutine) -> Any:
    """Run a coroutine in a virtual loop and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
