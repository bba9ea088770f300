"""Profile of a real node under load, for each sub-query on its path."""

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
from kumquatchute_bench.shape import CONSOLE
from kumquatchute_bench.site import BenchSite
from kumquatchute_bench.site import Layout
from kumquatchute_standins.site_files import SiteNode

RATE = 60.0
DURATION_S = 10.0
TOP = 30
PROFILED = "n1"
NOT_ON_PATH = (
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
class Cost:
    """Processor time of one function for each sub-query.

    :param own_us: in the function itself
    :param whole_us: with all that it calls
    """

    name: str
    own_us: float
    whole_us: float
    calls: float


@dataclass(frozen=True)
class Part:
    """Own time of all functions of a module or library.

    :param share: part of all own time without the start of the process
    """

    name: str
    own_us: float
    share: float


@dataclass(frozen=True)
class PathProfile:
    """Costs of a node that is entry node and owner.

    :param cpu_us: processor time of a node without the profiler for each
        sub-query for which it is entry node and each that it owns, which
        are as many
    """

    cpu_us: float
    parts: tuple[Part, ...]
    functions: tuple[Cost, ...]


async def profile_path() -> PathProfile:
    """Return the functions with the largest own time."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        site = BenchSite(Layout((CONSOLE,)), folder)
        out = folder / "node.prof"
        site.profiled = {PROFILED: out}
        try:
            await site.start()
            await run_load(site.nodes, CONSOLE, Arrivals(RATE, 4.0, 1))
            others = [n for n in site.nodes if n.name != PROFILED]
            before = sum(process_cpu_s(site.pid(n.name)) for n in others)
            sent = sum([await attempts(n) for n in others])
            await run_load(site.nodes, CONSOLE, Arrivals(RATE, DURATION_S, 2))
            used = sum(process_cpu_s(site.pid(n.name)) for n in others)
            sent = sum([await attempts(n) for n in others]) - sent
            count = await attempts(site.nodes[0])
            site.signal(PROFILED, signal.SIGTERM)
            await site.wait(PROFILED)
            stats = _without_start(pstats.Stats(str(out)).stats)
        finally:
            await site.stop()
    return PathProfile(
        (used - before) / sent * 1e6,
        _parts(stats, count),
        _functions(stats, count),
    )


async def attempts(node: SiteNode, kind: str = "attempts") -> float:
    """Return attempts that a node has sent as entry node."""
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{node.metrics}/metrics") as resp:
            text = await resp.text()
    return sum(
        float(line.split()[1])
        for line in text.splitlines()
        if line.startswith(f"kumquatchute_{kind}_total{{")
    )


def _without_start(stats: dict) -> dict:
    """Leave out waiting and what a process does once, at its start."""
    return {
        where: row
        for where, row in stats.items()
        if not any(mark in f"{where[0]} {where[2]}" for mark in NOT_ON_PATH)
    }


def _functions(stats: dict, count: float) -> tuple[Cost, ...]:
    costs = [
        Cost(
            f"{_module(path)}:{line} {function}",
            own / count * 1e6,
            whole / count * 1e6,
            calls / count,
        )
        for (path, line, function), (_, calls, own, whole, _) in stats.items()
    ]
    costs.sort(key=lambda cost: cost.own_us, reverse=True)
    return tuple(costs[:TOP])


def _parts(stats: dict, count: float) -> tuple[Part, ...]:
    """Sum up own time; built-in functions count for those that call them."""
    own_s: defaultdict[str, float] = defaultdict(float)
    for (path, _, _), (_, _, own, _, callers) in stats.items():
        if path != "~":
            own_s[_part(path)] += own
            continue
        for (caller, _, _), (_, _, part, _) in callers.items():
            own_s[_part(caller)] += part
    total = sum(own_s.values())
    parts = [
        Part(name, own / count * 1e6, own / total)
        for name, own in own_s.items()
    ]
    parts.sort(key=lambda part: part.own_us, reverse=True)
    return tuple(parts[:TOP])


def _part(path: str) -> str:
    module = _module(path)
    names = module.split("/")
    return "/".join(names[:2]) if names[0] == "kumquatchuted" else names[0]


def _module(path: str) -> str:
    for mark in ("site-packages/", "/src/", "/lib/python3.11/"):
        path = path.rpartition(mark)[2]
    return path
