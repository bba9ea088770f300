"""A site of real processes: platform, searcher fleets and nodes."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
import signal
import sys
from typing import Any

import aiohttp
import msgspec

from kumquatchute_bench.services import BenchService
from kumquatchute_bench.services import build_index
from kumquatchute_bench.services import build_searcher_configs
from kumquatchute_bench.services import DCS
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
    """A process that runs several searchers.

    :param control: address of its control listener
    """

    name: str
    control: str
    config: Path
    searchers: tuple[SearcherConfig, ...]


@dataclass(frozen=True)
class Layout:
    """Services and numbers of processes of a site.

    :param fleets: searcher processes over which searchers are spread
    :param separate_memberships: whether each node is the only member of its
        membership and therefore owns all searchers
    """

    services: tuple[BenchService, ...]
    nodes: int = 4
    fleets: int = 3
    seed: int = 1
    separate_memberships: bool = False


class BenchSite:
    """Owns the files and the processes of a site.

    :ivar platform: IP address and port of the store
    :ivar profile_files: where the profiler writes, by name of the process;
        to be set before ``start``
    """

    def __init__(self, layout: Layout, folder: Path) -> None:
        """Choose addresses and write all files."""
        self.layout = layout
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self.profile_files: dict[str, Path] = {}
        count = sum(service.searchers for service in layout.services)
        ports = iter(
            allocate_ports(1 + 3 * layout.nodes + layout.fleets + count)
        )
        self._next_address = lambda: f"127.0.0.1:{next(ports)}"
        self.platform = self._next_address()
        self.nodes = tuple(self._build_node(i) for i in range(layout.nodes))
        self.fleets = self._build_fleets()
        self._write_files()

    def pid(self, name: str) -> int:
        """Return the process ID of a process of this site."""
        return self._processes[name].pid

    @property
    def pids(self) -> dict[str, int]:
        """Return the process IDs of all running processes, by name."""
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
            # In sequence, because each fleet publishes the same shard maps.
            await self._start(
                fleet.name,
                "kumquatchute_standins.searcher",
                "--config",
                str(fleet.config),
            )
            await self._wait_for_line(fleet.name, "listen")
        if self.layout.separate_memberships:
            for node in self.nodes:
                await self._copy_catalog(node.name)
        for node in self.nodes:
            await self.start_node(node)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self.nodes:
                while not await self._is_up(node):
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_up(self, node: SiteNode) -> bool:
        """Return whether a node is ready or waits only for a shard map.

        Without searchers there is no shard map, and no node becomes ready.
        """
        if self.fleets:
            return await is_ready(node)
        return "no shard map is known" in self.read_log(node.name)

    async def start_node(self, node: SiteNode) -> None:
        """Start the process of a node."""
        await self._start(
            node.name, "kumquatchuted", "--config", str(node.settings)
        )

    def send_signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a process of this site."""
        self._processes[name].send_signal(signum)

    async def stop(self) -> None:
        """Kill all processes and wait for their end."""
        for process in self._processes.values():
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
        for process in self._processes.values():
            await process.wait()

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        return (self._folder / f"{name}.log").read_text()

    async def send_control(self, **message: Any) -> None:
        """Send a control message to all fleets."""
        async with aiohttp.ClientSession() as session:
            for fleet in self.fleets:
                url = f"http://{fleet.control}/control"
                async with session.post(url, json=message) as resp:
                    resp.raise_for_status()

    async def read_records(self) -> tuple[Records, ...]:
        """Return the records of all searchers."""
        records = []
        async with aiohttp.ClientSession() as session:
            for fleet in self.fleets:
                for searcher in fleet.searchers:
                    url = f"http://{fleet.control}/records/{searcher.name}"
                    async with session.get(url) as resp:
                        body = await resp.read()
                    records.append(msgspec.json.decode(body, type=Records))
        return tuple(records)

    async def read_store_calls(self) -> dict[str, int]:
        """Return the store calls counted by the platform, by verb and kind."""
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.platform}/control"
            async with session.get(url) as resp:
                counts = await resp.json()
        return {
            f"{call['verb']} {call['plural']}": call["count"]
            for call in counts["calls"]
        }

    async def submit_ticket(self, entries: list[dict]) -> float:
        """Submit a ticket to the first node.

        :returns: seconds until it was accepted
        :raises RuntimeError: the node refused the ticket
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        url = f"http://{self.nodes[0].callers}/v1/tickets"
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with aiohttp.ClientSession() as session:
            async with session.post(
                url, json={"entries": entries}, headers=headers
            ) as resp:
                content = await resp.text()
                if resp.status != 200:
                    raise RuntimeError(f"ticket refused: {content}")
        return loop.time() - started_at

    async def wait_for_exit(self, name: str) -> int:
        """Wait for the end of a process and return its exit status."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._processes[name].wait()

    async def _copy_catalog(self, namespace: str) -> None:
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
        if name in self.profile_files:
            profiler = ("-m", "cProfile", "-o", str(self.profile_files[name]))
        with (self._folder / f"{name}.log").open("ab") as log_file:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *profiler,
                "-m",
                module,
                *args,
                stdout=log_file,
                stderr=log_file,
            )

    async def _wait_for_line(self, name: str, text: str) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while text not in self.read_log(name):
                if self._processes[name].returncode is not None:
                    raise RuntimeError(f"{name} exited: {self.read_log(name)}")
                await asyncio.sleep(POLL_INTERVAL_S)

    def _build_node(self, number: int) -> SiteNode:
        name = f"n{number + 1}"
        return SiteNode(
            name,
            DCS[number % len(DCS)],
            self._next_address(),
            self._next_address(),
            self._next_address(),
            self._folder / f"{name}.yaml",
        )

    def _build_fleets(self) -> tuple[FleetSite, ...]:
        configs: list[SearcherConfig] = []
        for service in self.layout.services:
            addresses = [
                self._next_address() for _ in range(service.searchers)
            ]
            configs.extend(build_searcher_configs(service, addresses))
        count = self.layout.fleets if configs else 0
        return tuple(
            FleetSite(
                f"fleet{i}",
                self._next_address(),
                self._folder / f"fleet{i}.yaml",
                tuple(configs[i::count]),
            )
            for i in range(count)
        )

    def _write_files(self) -> None:
        indexes = tuple(map(build_index, self.layout.services))
        for fleet in self.fleets:
            cfg = FleetConfig(
                fleet.searchers,
                indexes,
                self.layout.seed,
                PlatformEndpoint(f"http://{self.platform}"),
                fleet.control,
            )
            write_yaml(fleet.config, msgspec.to_builtins(cfg))
        for node in self.nodes:
            write_yaml(node.settings, self._node_settings(node))

    def _node_settings(self, node: SiteNode) -> dict:
        separate = self.layout.separate_memberships
        return settings_document(
            node,
            SharedSettings(
                platform={
                    "url": f"http://{self.platform}",
                    "namespace": node.name if separate else None,
                },
                dcs=DCS,
                services=[
                    _service_settings(service)
                    for service in self.layout.services
                ],
                peers=() if separate else self.nodes,
                caller_token=CALLER_TOKEN,
                operator_token=OPERATOR_TOKEN,
                drain={"notice_s": 0.5, "limit_s": 10.0},
            ),
        )


def _service_settings(service: BenchService) -> dict:
    return {
        "name": service.name,
        "prefer": service.prefer.value,
        "hedging": service.hedging,
        "soft_deadline_ms": service.soft_deadline_ms,
        "expected_ms": service.expected_ms,
    }
