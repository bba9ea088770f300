"""A site of real nodes with emulated searchers and store on loopback."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
import os
from pathlib import Path
import resource
import signal
import sys

import aiohttp

from kumquatchute_standins.platform.fleet.answers import AnswerLedger
from kumquatchute_standins.platform.fleet.manifest import build_manifest
from kumquatchute_standins.platform.fleet.proxy import Proxy
from kumquatchute_standins.platform.fleet.searcher import Arrival
from kumquatchute_standins.platform.fleet.searcher import EmulatedSearcher
from kumquatchute_standins.platform.server import PlatformServer
from kumquatchute_standins.platform.table import Table
from kumquatchute_standins.ports import allocate_ports

# Dozens of nodes may start at once and share the cores of one machine.
READY_TIMEOUT_S = 60.0
# Smaller than the number of searchers of large sites, so that nodes have to
# read more than one page.
PAGE_OBJECTS = 50
PORTS_PER_NODE = 4

SETTINGS_TEMPLATE = """\
node = "{name}"
ip = "127.0.0.1"
zone = "{data_centre}"
internalPorts = [{metrics}, {metrics}]
seeds = [{seeds}]
[listenAddrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[bounds]
drainMs = 3000
graceS = 6
configApplyMs = 3000
retryBudgetRatio = 0.2
retrySlack = 58
budgetWindowS = 10
warmupFactor = 1.5
warmupSlack = 5
[limits]
memoryMb = {memory_mb}
[platform]
address = "{store}"
"""


@dataclass(frozen=True, slots=True)
class Shape:
    """Size and layout of a site.

    :param nodes: data centre of each node
    :param shards: number of shards
    :param replicas: data centre of each searcher of a shard
    :param singles: data centre of each searcher of the single service
    :param proxied: whether links to the store, to searchers and between
        nodes go through proxies
    :param descriptors: limit of open files of a node, None for the limit of
        the process that starts it
    :param memory_mb: memory that the settings of a node name, in megabytes
    """

    nodes: tuple[str, ...] = ("a", "b")
    shards: int = 4
    replicas: tuple[str, ...] = ("a", "b")
    singles: tuple[str, ...] = ("a", "b")
    proxied: bool = False
    descriptors: int | None = None
    memory_mb: int = 560


@dataclass(frozen=True, slots=True)
class FleetNode:
    """Ports and settings file of a node.

    :param peer_port: port at which other nodes reach it, maybe of a proxy
    """

    name: str
    data_centre: str
    peer_port: int
    front_port: int
    ready_port: int
    metrics_port: int
    settings_file: Path


class FleetSite:
    """Owns the store, the searchers, the proxies and the node processes."""

    def __init__(
        self, shape: Shape, folder: Path, source: Path | None = None
    ) -> None:
        """Create a site; nothing runs yet.

        :param folder: receives settings and logs of the nodes
        :param source: checkout whose nodes run, None for this one
        """
        self.shape = shape
        self.folder = folder
        self._source = source
        self.arrivals: list[Arrival] = []
        self.ledger = AnswerLedger()
        self.manifest_version = 1
        self.shard_names = tuple(f"sh{n:02d}" for n in range(shape.shards))
        port_count = len(shape.nodes) * PORTS_PER_NODE + 1
        port_count += shape.shards * len(shape.replicas) + len(shape.singles)
        if shape.proxied:
            port_count *= 2
        ports = iter(allocate_ports(port_count))
        store_port = next(ports)
        self._store_address = f"127.0.0.1:{store_port}"
        self.store = PlatformServer(Table(PAGE_OBJECTS))
        self.searchers = self._create_searchers(ports)
        # In this order: a link to the store for each node, a link to each
        # searcher, a link to each node.
        self.links: list[Proxy] = []
        store_ports = [
            self._add_link(store_port, ports) for _ in range(len(shape.nodes))
        ]
        self._searcher_ports = {
            searcher.name: self._add_link(searcher.port, ports)
            for searcher in self.searchers
        }
        self.nodes = self._create_nodes(ports, store_ports)
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    async def __aenter__(self) -> "FleetSite":
        """Start everything and wait until all nodes are ready."""
        await self.store.start(self._store_address)
        for searcher in self.searchers:
            await searcher.start()
            self.register_searcher(searcher)
        for link in self.links:
            await link.start()
        self.publish_manifest()
        for node in self.nodes:
            await self.start_node(node)
        for node in self.nodes:
            await self.wait_until_ready(node)
            self.register_node(node)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stop everything that this site started."""
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for link in self.links:
            await link.stop()
        for searcher in self.searchers:
            await searcher.stop()
        await self.store.stop()

    def register_searcher(
        self,
        searcher: EmulatedSearcher,
        state: str = "ready",
        cold_ms: int = 0,
    ) -> None:
        """Write the entry of a searcher to the store.

        :param cold_ms: how long it stays cold, in milliseconds
        """
        entry = searcher.build_entry(state, cold_ms)
        entry["address"] = f"127.0.0.1:{self._searcher_ports[searcher.name]}"
        self.store.put("servers", searcher.name, entry)

    def register_node(self, node: FleetNode) -> None:
        """Let other nodes reach a node through its proxy, if it has one.

        This replaces the address that the node wrote when it started.
        """
        if self.shape.proxied:
            address = f"127.0.0.1:{node.peer_port}"
            entry = {"address": address, "dataCentre": node.data_centre}
            self.store.put("querynodes", node.name, entry)

    def evacuate(self, data_centre: str) -> None:
        """Take a data centre out of service, as operators do."""
        self.store.put("evacuations", data_centre, {})

    def end_evacuation(self, data_centre: str) -> None:
        """Return a data centre to service."""
        self.store.remove("evacuations", data_centre)

    async def is_any_evacuated(self) -> bool:
        """Return whether a data centre is out of service."""
        return bool(await self.store.list_names("evacuations"))

    def publish_manifest(self, shards: tuple[str, ...] | None = None) -> None:
        """Write the next version of the manifest.

        :param shards: services of the query route, None for all shards
        """
        self.manifest_version += 2
        spec = build_manifest(
            self.manifest_version, shards or self.shard_names
        )
        self.store.put("config", "main", spec)

    async def start_node(self, node: FleetNode) -> None:
        """Start the process of a node, without waiting until it is ready.

        Its output is appended to the log file of the node.
        """
        with (self.folder / f"{node.name}.log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "kumquatchuted.gateway",
                stdout=output,
                stderr=output,
                env={
                    **os.environ,
                    **_python_path(self._source),
                    "KUMQUATCHUTE_SETTINGS": str(node.settings_file),
                },
            )
        self._processes[node.name] = process
        max_files = self.shape.descriptors
        if max_files is not None:
            resource.prlimit(
                process.pid, resource.RLIMIT_NOFILE, (max_files, max_files)
            )

    def send_signal(self, node: FleetNode, signum: signal.Signals) -> None:
        """Send a signal to the process of a node."""
        self._processes[node.name].send_signal(signum)

    async def wait_for_exit(self, node: FleetNode) -> int:
        """Wait until a node has exited and return its exit status."""
        return await self._processes[node.name].wait()

    async def wait_until_ready(self, node: FleetNode) -> None:
        """Wait until a node is ready for callers.

        :raises TimeoutError: not ready within ``READY_TIMEOUT_S``
        """
        url = f"http://127.0.0.1:{node.ready_port}/readiness"
        async with asyncio.timeout(READY_TIMEOUT_S):
            async with aiohttp.ClientSession() as session:
                while not await _is_ok(session, url):
                    await asyncio.sleep(0.05)

    def peak_memory_mb(self, node: FleetNode) -> float:
        """Return the peak resident memory of a node in megabytes."""
        pid = self._processes[node.name].pid
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
        lines = dict(line.split(":", 1) for line in status.splitlines())
        return int(lines["VmHWM"].split()[0]) / 1024

    def searchers_of(self, service: str) -> list[EmulatedSearcher]:
        """Return the searchers of a service."""
        return [
            searcher
            for searcher in self.searchers
            if searcher.service == service
        ]

    def arrivals_after(self, searcher: str, after: float) -> list[Arrival]:
        """Return the requests that a searcher received after a time."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.searcher == searcher and arrival.received_at > after
        ]

    def _add_link(self, target_port: int, ports: Iterator[int]) -> int:
        """Return the port at which clients reach a target.

        On a proxied site, it is the port of a new proxy.
        """
        if not self.shape.proxied:
            return target_port
        port = next(ports)
        self.links.append(Proxy(port, target_port))
        return port

    def _create_searchers(
        self, ports: Iterator[int]
    ) -> list[EmulatedSearcher]:
        places = [
            (service, data_centre)
            for service in self.shard_names
            for data_centre in self.shape.replicas
        ]
        places += [
            ("single", data_centre) for data_centre in self.shape.singles
        ]
        return [
            EmulatedSearcher(
                f"i-{number:04d}",
                service,
                data_centre,
                next(ports),
                self.arrivals.append,
                self.ledger.add,
            )
            for number, (service, data_centre) in enumerate(places)
        ]

    def _create_nodes(
        self, ports: Iterator[int], store_ports: list[int]
    ) -> list[FleetNode]:
        node_specs = [
            (f"n{number}", data_centre, [next(ports) for _ in range(4)])
            for number, data_centre in enumerate(self.shape.nodes)
        ]
        peer_ports = [
            self._add_link(node_ports[2], ports)
            for _, _, node_ports in node_specs
        ]
        nodes = []
        for node_store_port, peer_port, node_spec in zip(
            store_ports, peer_ports, node_specs
        ):
            (
                name,
                data_centre,
                (front_port, ready_port, control_port, metrics_port),
            ) = node_spec
            # A node cannot know the address at which a proxy leads to it.
            seeds = ", ".join(
                f'"127.0.0.1:{port}"'
                for port in peer_ports[:3]
                if port != peer_port
            )
            settings_file = self.folder / f"{name}.toml"
            settings_file.write_text(
                SETTINGS_TEMPLATE.format(
                    name=name,
                    data_centre=data_centre,
                    front=front_port,
                    ready=ready_port,
                    control=control_port,
                    metrics=metrics_port,
                    seeds=seeds,
                    store=f"127.0.0.1:{node_store_port}",
                    memory_mb=self.shape.memory_mb,
                ),
                encoding="utf-8",
            )
            nodes.append(
                FleetNode(
                    name,
                    data_centre,
                    peer_port,
                    front_port,
                    ready_port,
                    metrics_port,
                    settings_file,
                )
            )
        return nodes


def _python_path(source: Path | None) -> dict[str, str]:
    """Return the environment variable with which nodes run another checkout.

    :param source: checkout, None for this one
    :returns: ``PYTHONPATH``, empty without another checkout
    """
    if source is None:
        return {}
    packages = source.resolve() / "packages"
    names = ("kumquatchuted", "kumquatchute-model")
    paths = [str(packages / name / "src") for name in names]
    return {"PYTHONPATH": os.pathsep.join(paths)}


async def _is_ok(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
