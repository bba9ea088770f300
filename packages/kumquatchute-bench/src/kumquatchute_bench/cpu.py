"""Processor time of calls, of processes and of the machine."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import gc
import os
from pathlib import Path
import time

from kumquatchute_bench.fit import median_point
from kumquatchute_bench.fit import Point

ROUNDS = 5
ROUND_S = 0.06
"""Seconds of processor time of a round, far above the clock resolution."""

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_point(x: float, call: Callable[[], object]) -> Point:
    """Measure microseconds of processor time for one call."""
    call_count = _calls_per_round(call)
    return median_point(
        x, [_round_us(call, call_count) for _ in range(ROUNDS)]
    )


async def async_cpu_point(
    x: float, call: Callable[[], Awaitable[object]], call_count: int
) -> Point:
    """Measure microseconds of processor time for one awaited call.

    All threads of the process count, including those of ZeroMQ.
    """
    await call()
    rounds = []
    for _ in range(ROUNDS):
        gc.collect()
        start_s = time.process_time()
        for _ in range(call_count):
            await call()
        rounds.append((time.process_time() - start_s) / call_count * 1e6)
    return median_point(x, rounds)


def process_cpu_s(pid: int) -> float:
    """Return the processor time of another process in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    # The name of the program, in parentheses, may contain spaces.
    fields = stat.rpartition(")")[2].split()
    # User and system time, fields 14 and 15 of the file.
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


@dataclass(frozen=True)
class MachineTime:
    """Processor time of all cores in seconds.

    :param busy_s: used by processes and the kernel
    :param stolen_s: wanted, but given to other virtual machines by the host
    """

    busy_s: float
    stolen_s: float


def machine_time() -> MachineTime:
    """Return the processor time of the machine since it was started."""
    fields = Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]
    user, nice, system, _, _, irq, softirq, stolen_ticks, *_ = map(int, fields)
    busy_ticks = user + nice + system + irq + softirq
    return MachineTime(busy_ticks / TICKS_PER_S, stolen_ticks / TICKS_PER_S)


def rss_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _calls_per_round(call: Callable[[], object]) -> int:
    call()
    start_s = time.process_time()
    call_count = 0
    while time.process_time() - start_s < ROUND_S:
        call()
        call_count += 1
    return max(1, call_count)


def _round_us(call: Callable[[], object], call_count: int) -> float:
    gc.collect()
    start_s = time.process_time()
    for _ in range(call_count):
        call()
    return (time.process_time() - start_s) / call_count * 1e6
