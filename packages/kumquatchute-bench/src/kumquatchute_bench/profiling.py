"""Profiles a real node under load, in costs for each search attempt."""

from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
import pstats
import signal
import tempfile

import aiohttp

from kumquatchute_bench.cpu import process_cpu_s
from kumquatchute_bench.load import Arrivals
from kumquatchute_bench.load import run_load
from kumquatchute_bench.services import CONSOLE
from kumquatchute_bench.site import BenchSite
from kumquatchute_bench.site import Layout
from kumquatchute_standins.site_files import SiteNode

QUERIES_PER_S = 60.0
DURATION_S = 10.0
MAX_ROWS = 30
PROFILED_NODE = "n1"
EXCLUDED_CODE = (
    "select.epoll",
    "select.poll",
    "importlib",
    "builtins.exec",
    "builtins.compile",
    "marshal",
    "_ssl._SSLContext",
    "posix.",
    "__build_class__",
    "_create_dynamic",
    "inspect.py",
    "/re/",
)


@dataclass(frozen=True)
class FunctionCost:
    """Processor time of one function for each search attempt.

    :param own_us: microseconds in the function itself
    :param whole_us: microseconds in the function and all that it calls
    :param calls: calls of the function for each search attempt
    """

    name: str
    own_us: float
    whole_us: float
    calls: float


@dataclass(frozen=True)
class ModuleCost:
    """Own time of all functions of a package or library.

    :param share: share of the total own time, the start of the process
        excluded
    """

    name: str
    own_us: float
    share: float


@dataclass(frozen=True)
class PathProfile:
    """Costs of a node that is both entry node and owner.

    :param cpu_us: microseconds of a node without the profiler for one
        attempt as entry node and one as owner; on average a node has as
        many of the one as of the other
    """

    cpu_us: float
    parts: tuple[ModuleCost, ...]
    functions: tuple[FunctionCost, ...]


async def profile_path() -> PathProfile:
    """Return the cost of an attempt, and where the time is spent."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        site = BenchSite(Layout((CONSOLE,)), folder)
        profile_file = folder / "node.prof"
        site.profile_files = {PROFILED_NODE: profile_file}
        try:
            await site.start()
            await run_load(
                site.nodes, CONSOLE, Arrivals(QUERIES_PER_S, 4.0, 1)
            )
            others = [n for n in site.nodes if n.name != PROFILED_NODE]
            cpu_before_s = sum(process_cpu_s(site.pid(n.name)) for n in others)
            sent_before = sum([await read_attempts(n) for n in others])
            await run_load(
                site.nodes, CONSOLE, Arrivals(QUERIES_PER_S, DURATION_S, 2)
            )
            cpu_after_s = sum(process_cpu_s(site.pid(n.name)) for n in others)
            sent = sum([await read_attempts(n) for n in others]) - sent_before
            attempt_count = await read_attempts(site.nodes[0])
            site.send_signal(PROFILED_NODE, signal.SIGTERM)
            await site.wait_for_exit(PROFILED_NODE)
            stats = _exclude_startup(pstats.Stats(str(profile_file)).stats)
        finally:
            await site.stop()
    return PathProfile(
        (cpu_after_s - cpu_before_s) / sent * 1e6,
        _module_costs(stats, attempt_count),
        _function_costs(stats, attempt_count),
    )


async def read_attempts(node: SiteNode, kind: str = "attempts") -> float:
    """Return the number of attempts that a node has sent as entry node.

    :param kind: counter to read: ``attempts`` for all attempts,
        ``first_attempts`` for those without the extra ones
    """
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{node.metrics}/metrics") as resp:
            text = await resp.text()
    return sum(
        float(line.split()[1])
        for line in text.splitlines()
        if line.startswith(f"kumquatchute_{kind}_total{{")
    )


def _exclude_startup(stats: dict) -> dict:
    """Return the statistics without waiting and one-time startup work."""
    return {
        location: figures
        for location, figures in stats.items()
        if not any(
            pattern in f"{location[0]} {location[2]}"
            for pattern in EXCLUDED_CODE
        )
    }


def _function_costs(
    stats: dict, attempt_count: float
) -> tuple[FunctionCost, ...]:
    costs = [
        FunctionCost(
            f"{_module_path(path)}:{line} {function}",
            own / attempt_count * 1e6,
            whole / attempt_count * 1e6,
            calls / attempt_count,
        )
        for (path, line, function), (_, calls, own, whole, _) in stats.items()
    ]
    costs.sort(key=lambda cost: cost.own_us, reverse=True)
    return tuple(costs[:MAX_ROWS])


def _module_costs(stats: dict, attempt_count: float) -> tuple[ModuleCost, ...]:
    """Sum own time by module; built-in functions count for their callers."""
    own_s: defaultdict[str, float] = defaultdict(float)
    for (path, _, _), (_, _, own, _, callers) in stats.items():
        if path != "~":
            own_s[_module_group(path)] += own
            continue
        for (caller, _, _), (_, _, caller_own, _) in callers.items():
            own_s[_module_group(caller)] += caller_own
    total = sum(own_s.values())
    modules = [
        ModuleCost(name, own / attempt_count * 1e6, own / total)
        for name, own in own_s.items()
    ]
    modules.sort(key=lambda module: module.own_us, reverse=True)
    return tuple(modules[:MAX_ROWS])


def _module_group(path: str) -> str:
    module = _module_path(path)
    names = module.split("/")
    return "/".join(names[:2]) if names[0] == "kumquatchuted" else names[0]


def _module_path(path: str) -> str:
    for prefix in ("site-packages/", "/src/", "/lib/python3.11/"):
        path = path.rpartition(prefix)[2]
    return path
