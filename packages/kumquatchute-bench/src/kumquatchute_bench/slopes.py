"""Measures all slopes from which capacity is derived."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import asdict
import os
from pathlib import Path
import platform
import sys
import tempfile

import msgspec
import yaml

from kumquatchute_bench.control_slopes import idle_slopes
from kumquatchute_bench.control_slopes import ownership_slopes
from kumquatchute_bench.control_slopes import ticket_slopes
from kumquatchute_bench.cpu import machine_time
from kumquatchute_bench.fit import Slope
from kumquatchute_bench.memory import memory_slopes
from kumquatchute_bench.path_slopes import decision_slopes
from kumquatchute_bench.path_slopes import task_slopes
from kumquatchute_bench.profiling import profile_path
from kumquatchute_bench.report import print_slopes
from kumquatchute_bench.report import print_table
from kumquatchute_bench.report import write_json
from kumquatchute_standins.searcher.config import FleetConfig


async def run_slopes() -> None:
    """Measure, print and write all slopes."""
    print(f"machine: {os.cpu_count()} cores, Python {sys.version.split()[0]}")
    load_averages = [os.getloadavg()[0]]
    slopes: list[Slope] = []
    slopes += decision_slopes()
    async with _searcher_processes() as start:
        slopes += await task_slopes(start)
    slopes += ownership_slopes()
    slopes += ticket_slopes()
    slopes += memory_slopes()
    busy_s = machine_time().busy_s
    slopes += await idle_slopes()
    load_averages.append(os.getloadavg()[0])
    print_slopes(slopes)
    path_profile = await profile_path()
    print(
        "node, whole path of an attempt, entry and owner together: "
        f"{path_profile.cpu_us:.0f} us of processor time"
    )
    print_table(
        ("part, under the profiler", "own us/attempt", "share"),
        [
            (module.name, module.own_us, f"{module.share:.1%}")
            for module in path_profile.parts
        ],
    )
    print_table(
        ("function, under the profiler", "own us", "whole us", "calls"),
        [
            (function.name, function.own_us, function.whole_us, function.calls)
            for function in path_profile.functions
        ],
    )
    print(f"load average before and after: {load_averages}")
    path = write_json(
        "slopes",
        {
            "machine": {
                "cores": os.cpu_count(),
                "python": platform.python_version(),
                "load_average": load_averages,
                "busy_s_before_idle": busy_s,
            },
            "slopes": [asdict(slope) for slope in slopes],
            "path": asdict(path_profile),
        },
    )
    print(f"written to {path}")


@asynccontextmanager
async def _searcher_processes():
    """Yield a function that starts a searcher in a separate process."""
    processes = []
    with tempfile.TemporaryDirectory() as folder:

        async def start(searcher, index) -> None:
            path = Path(folder) / f"{searcher.name}.yaml"
            cfg = FleetConfig((searcher,), (index,))
            path.write_text(yaml.safe_dump(msgspec.to_builtins(cfg)))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "kumquatchute_standins.searcher",
                "--config",
                str(path),
                stdout=asyncio.subprocess.PIPE,
            )
            processes.append(process)
            await process.stdout.readline()

        try:
            yield start
        finally:
            for process in processes:
                process.terminate()
                await process.wait()
