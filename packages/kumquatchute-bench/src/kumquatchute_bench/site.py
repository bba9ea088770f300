"""A site of real processes: platform, several searcher fleets and nodes."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
import signal
import sys
from typing import Any

import aiohttp
import msgspec

from kumquatchute_bench.shape import DCS
from kumquatchute_bench.shape import index_of
from kumquatchute_bench.shape import profiles
from kumquatchute_bench.shape import Shape
from kumquatchute_standins.demo.processes import is_ready
from kumquatchute_standins.ports import allocate_ports
from kumquatchute_standins.searcher.config import FleetConfig
from kumquatchute_standins.searcher.config import PlatformEndpoint
from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.messages import Records
from kumquatchute_standins.site_files import settings_document
from kumquatchute_standins.site_files import SharedSettings
from kumquatchute_standins.site_files import SiteNode
from kumquatchute_standins.site_files import write_yaml
from kumquatchuted.platform.store import ObjectKind

CALLER_TOKEN = "bench-caller-token"
OPERATOR_TOKEN = "bench-operator-token"
READY_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True)
class FleetSite:
    """One process of searchers.

    :param control: address of its control listener
    """

    name: str
    control: str
    config: Path
    profiles: tuple[SearcherConfig, ...]


@dataclass(frozen=True)
class Layout:
    """What a site consists of.

    :param fleets: searcher processes over which searchers are spread
    :param alone: every node has a membership of its own, and therefore owns
        all searchers
    """

    shapes: tuple[Shape, ...]
    nodes: int = 4
    fleets: int = 3
    seed: int = 1
    alone: bool = False


class BenchSite:
    """Owns the files and the processes of a site."""

    def __init__(self, layout: Layout, folder: Path) -> None:
        """Choose addresses and write all files."""
        self.layout = layout
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self.profiled: dict[str, Path] = {}
        count = sum(shape.searchers for shape in layout.shapes)
        ports = iter(
            allocate_ports(1 + 3 * layout.nodes + layout.fleets + count)
        )
        self._address = lambda: f"127.0.0.1:{next(ports)}"
        self.platform = self._address()
        self.nodes = tuple(self._node(i) for i in range(layout.nodes))
        self.fleets = self._fleets()
        self._write_files()

    def pid(self, name: str) -> int:
        """Return the identifier of a process of this site."""
        return self._processes[name].pid

    @property
    def pids(self) -> dict[str, int]:
        """Return all processes that have been started, by name."""
        return {
            name: process.pid
            for name, process in self._processes.items()
            if process.returncode is None
        }

    async def start(self) -> None:
        """Start all processes and wait until all nodes are ready."""
        await self._start(
            "platform",
            "kumquatchute_standins.platform",
            "--listen",
            self.platform,
        )
        await self._wait_for_line("platform", "listens")
        for fleet in self.fleets:
            # One after the other: each publishes the same shard maps.
            await self._start(
                fleet.name,
                "kumquatchute_standins.searcher",
                "--config",
                str(fleet.config),
            )
            await self._wait_for_line(fleet.name, "listen")
        if self.layout.alone:
            for node in self.nodes:
                await self._copy_catalogue(node.name)
        for node in self.nodes:
            await self.start_node(node)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self.nodes:
                while not await self._is_up(node):
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_up(self, node: SiteNode) -> bool:
        """Say whether a node is ready, or waits only for a shard map.

        A site without searchers has no shard map and never becomes ready.
        """
        if self.fleets:
            return await is_ready(node)
        return "no shard map is known" in self.log(node.name)

    async def start_node(self, node: SiteNode) -> None:
        """Start a node."""
        await self._start(
            node.name, "kumquatchuted", "--config", str(node.settings)
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this site."""
        self._processes[name].send_signal(number)

    async def stop(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
        for process in self._processes.values():
            await process.wait()

    def log(self, name: str) -> str:
        """Return what a process has written."""
        return (self._folder / f"{name}.log").read_text()

    async def control(self, **message: Any) -> None:
        """Send a control message to all fleets."""
        async with aiohttp.ClientSession() as session:
            for fleet in self.fleets:
                url = f"http://{fleet.control}/control"
                async with session.post(url, json=message) as resp:
                    resp.raise_for_status()

    async def records(self) -> tuple[Records, ...]:
        """Return what all searchers recorded."""
        found = []
        async with aiohttp.ClientSession() as session:
            for fleet in self.fleets:
                for profile in fleet.profiles:
                    url = f"http://{fleet.control}/records/{profile.name}"
                    async with session.get(url) as resp:
                        body = await resp.read()
                    found.append(msgspec.json.decode(body, type=Records))
        return tuple(found)

    async def store_calls(self) -> dict[str, int]:
        """Return the calls that the platform counted, by verb and kind."""
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.platform}/control"
            async with session.get(url) as resp:
                counts = await resp.json()
        return {
            f"{call['verb']} {call['plural']}": call["count"]
            for call in counts["calls"]
        }

    async def submit_ticket(self, entries: list[dict]) -> float:
        """Submit a ticket at the first node.

        :returns: seconds until it was accepted
        """
        loop = asyncio.get_running_loop()
        begin = loop.time()
        url = f"http://{self.nodes[0].callers}/v1/tickets"
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with aiohttp.ClientSession() as session:
            async with session.post(
                url, json={"entries": entries}, headers=headers
            ) as resp:
                text = await resp.text()
                if resp.status != 200:
                    raise RuntimeError(f"ticket refused: {text}")
        return loop.time() - begin

    async def wait(self, name: str) -> int:
        """Wait for the end of a process and return its exit status."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._processes[name].wait()

    async def _copy_catalogue(self, namespace: str) -> None:
        """Publish searchers and shard maps in the namespace of one node."""
        root = f"http://{self.platform}/objects"
        async with aiohttp.ClientSession() as session:
            for kind in (ObjectKind.SEARCHERS, ObjectKind.SHARD_MAPS):
                async with session.get(f"{root}/{kind.value}") as resp:
                    items = (await resp.json())["items"]
                url = f"{root}/{namespace}-{kind.value}"
                for item in items:
                    name, spec = item["meta"]["name"], item["spec"]
                    body = {"meta": {"name": name}, "spec": spec}
                    async with session.post(url, json=body) as resp:
                        resp.raise_for_status()

    async def _start(self, name: str, module: str, *args: str) -> None:
        profiler = ()
        if name in self.profiled:
            profiler = ("-m", "cProfile", "-o", str(self.profiled[name]))
        with (self._folder / f"{name}.log").open("ab") as out:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *profiler,
                "-m",
                module,
                *args,
                stdout=out,
                stderr=out,
            )

    async def _wait_for_line(self, name: str, text: str) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while text not in self.log(name):
                if self._processes[name].returncode is not None:
                    raise RuntimeError(f"{name} ended: {self.log(name)}")
                await asyncio.sleep(POLL_INTERVAL_S)

    def _node(self, number: int) -> SiteNode:
        name = f"n{number + 1}"
        return SiteNode(
            name,
            DCS[number % len(DCS)],
            self._address(),
            self._address(),
            self._address(),
            self._folder / f"{name}.yaml",
        )

    def _fleets(self) -> tuple[FleetSite, ...]:
        found: list[SearcherConfig] = []
        for shape in self.layout.shapes:
            addresses = [self._address() for _ in range(shape.searchers)]
            found.extend(profiles(shape, addresses))
        count = self.layout.fleets if found else 0
        return tuple(
            FleetSite(
                f"fleet{i}",
                self._address(),
                self._folder / f"fleet{i}.yaml",
                tuple(found[i::count]),
            )
            for i in range(count)
        )

    def _write_files(self) -> None:
        indexes = tuple(map(index_of, self.layout.shapes))
        for fleet in self.fleets:
            cfg = FleetConfig(
                fleet.profiles,
                indexes,
                self.layout.seed,
                PlatformEndpoint(f"http://{self.platform}"),
                fleet.control,
            )
            write_yaml(fleet.config, msgspec.to_builtins(cfg))
        for node in self.nodes:
            write_yaml(node.settings, self._settings(node))

    def _settings(self, node: SiteNode) -> dict:
        alone = self.layout.alone
        return settings_document(
            node,
            SharedSettings(
                platform={
                    "url": f"http://{self.platform}",
                    "namespace": node.name if alone else None,
                },
                dcs=DCS,
                services=[_service(shape) for shape in self.layout.shapes],
                peers=() if alone else self.nodes,
                caller_token=CALLER_TOKEN,
                operator_token=OPERATOR_TOKEN,
                drain={"notice_s": 0.5, "limit_s": 10.0},
            ),
        )


def _service(shape: Shape) -> dict:
    return {
        "name": shape.service,
        "prefer": shape.prefer.value,
        "hedging": shape.hedging,
        "soft_deadline_ms": shape.soft_deadline_ms,
        "expected_ms": shape.expected_ms,
    }
