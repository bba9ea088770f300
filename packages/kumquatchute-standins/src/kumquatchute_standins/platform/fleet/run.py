"""Plays disturbances on a site of real nodes under a steady load."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
import signal

import aiohttp

from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import DropHistory
from kumquatchute_standins.platform.fleet.callers import call
from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet import disturbances as ds
from kumquatchute_standins.platform.fleet.proxy import LinkFaults
from kumquatchute_standins.platform.fleet.searcher import Arrival
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import NodePlace
from kumquatchute_standins.platform.fleet.site import Shape

COLD_MS = 2000
# A node that is told to stop ends within the grace time of its settings.
KILL_AFTER_S = 6.5
# Each of so many requests comes with one that may run once only.
ONCE_EACH = 5


@dataclass(frozen=True, slots=True)
class Load:
    """Callers of a run: requests per second, and for how long."""

    per_s: float
    length_s: float


@dataclass(frozen=True, slots=True)
class Absence:
    """A searcher that was to receive nothing.

    :param since: time of the confirmation, in seconds
    :param until: when it may receive work again, in seconds
    """

    searcher: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class ColdPeak:
    """Most requests in a second that a cold searcher received."""

    searcher: str
    peak_per_s: int


@dataclass(frozen=True, slots=True)
class QueryResult:
    """A query over all shards and when it was sent, in seconds."""

    sent_at: float
    result: CallResult


@dataclass(frozen=True, slots=True)
class RunRecord:
    """What callers and searchers saw; times are of one clock, in seconds.

    :param submissions: requests that may run once only
    :param last_disturbed_at: when store, links and nodes were last disturbed
    :param shutdown_failures: nodes that did not end as they must
    """

    started: float
    ended: float
    queries: tuple[QueryResult, ...]
    submissions: tuple[CallResult, ...]
    arrivals: tuple[Arrival, ...]
    absences: tuple[Absence, ...]
    cold: tuple[ColdPeak, ...]
    last_disturbed_at: float
    shutdown_failures: tuple[str, ...]


class SiteRun:
    """Owns a site, its callers and what they saw."""

    def __init__(
        self,
        shape: Shape,
        load: Load,
        folder: Path,
        source: Path | None = None,
    ) -> None:
        """Create a run; nothing is started yet.

        :param folder: receives settings and logs of the nodes
        :param source: checkout whose nodes run, None for this one
        """
        self.site = FleetSite(shape, folder, source)
        self._load = load
        self._queries: list[QueryResult] = []
        self._once: list[CallResult] = []
        self._absences: list[Absence] = []
        self._cold: list[ColdPeak] = []
        self._faults: list[str] = []
        self._well_since = 0.0
        self._tasks: set[asyncio.Task] = set()
        # Nodes and searchers that do not run or stand still.
        self._busy: set[str] = set()
        self._down: set[str] = set()

    async def run_steps(self, steps: tuple[ds.Step, ...]) -> RunRecord:
        """Carry out the steps under load, in the order of their times."""
        loop = asyncio.get_running_loop()
        async with self.site as site:
            async with aiohttp.ClientSession() as session:
                start = loop.time()
                callers = asyncio.ensure_future(self._call_all(session))
                for step in steps:
                    await asyncio.sleep(max(0, start + step.at - loop.time()))
                    self._spawn(self._disturb(step))
                await callers
                await asyncio.gather(*self._tasks)
                end = loop.time()
        return RunRecord(
            start,
            end,
            tuple(self._queries),
            tuple(self._once),
            tuple(site.arrivals),
            tuple(self._absences),
            tuple(self._cold),
            self._well_since,
            tuple(self._faults),
        )

    async def _call_all(self, session: aiohttp.ClientSession) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        for number in range(int(self._load.length_s * self._load.per_s)):
            due = start + number / self._load.per_s
            await asyncio.sleep(max(0.0, due - loop.time()))
            port = self._port(number)
            if number % ONCE_EACH == 0:
                self._spawn(self._call_once(session, port))
            self._spawn(self._query(session, port, loop.time()))

    def _port(self, number: int) -> int:
        """Return the port of a node that runs, as the balancer would."""
        places = [
            node for node in self.site.nodes if node.name not in self._busy
        ]
        places = places or list(self.site.nodes)
        return places[number % len(places)].front

    async def _query(
        self, session: aiohttp.ClientSession, port: int, at: float
    ) -> None:
        shards = self.site.shard_names
        seen = await call(session, port, "/notes/1", shards)
        self._queries.append(QueryResult(at, seen))

    async def _call_once(
        self, session: aiohttp.ClientSession, port: int
    ) -> None:
        self._once.append(await call(session, port, "/submit/1", (), "POST"))

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

    async def _disturb(self, step: ds.Step) -> None:
        site = self.site
        match step.disturbance:
            case ds.SetStoreFault(fault=fault):
                site.store.disturb(fault)
                await asyncio.sleep(step.for_s)
                site.store.disturb(ClearFaults())
            case ds.DropHistory():
                site.store.disturb(DropHistory())
            case ds.SetLinkFaults(link=link, faults=faults):
                site.links[link].faults = faults
                await asyncio.sleep(step.for_s)
                site.links[link].faults = LinkFaults()
                site.links[link].reset_all()
            case ds.ResetLink(link=link):
                site.links[link].reset_all()
            case ds.SetSearcherFaults(searcher=number, faults=faults):
                site.searchers[number].faults = faults
                await asyncio.sleep(step.for_s)
                site.searchers[number].faults = SearcherFaults()
            case ds.CrashSearcher(searcher=number):
                await self._crash(number, step.for_s)
            case ds.DrainSearcher(searcher=number):
                await self._drain(number)
            case ds.Evacuate(data_centre=data_centre):
                await self._evacuate(data_centre, step.for_s)
            case ds.ChangeManifest():
                site.publish()
            case node_step:
                await self._disturb_node(node_step, step.for_s)
        self._well_since = asyncio.get_running_loop().time()

    async def _crash(self, number: int, for_s: float) -> None:
        searcher = self.site.searchers[number]
        gone = {absence.searcher for absence in self._absences}
        if searcher.name in self._down | gone:
            return
        self._down.add(searcher.name)
        await searcher.stop()
        await asyncio.sleep(for_s)
        searcher.started += 1
        self.site.put_searcher(searcher, cold_ms=COLD_MS)
        await searcher.start()
        self._down.discard(searcher.name)
        back = asyncio.get_running_loop().time()
        await asyncio.sleep(COLD_MS / 1000)
        times = [
            item.received_at
            for item in self.site.arrivals_at(searcher.name, back)
        ]
        most = max(
            (sum(at <= x < at + 1 for x in times) for at in times), default=0
        )
        self._cold.append(ColdPeak(searcher.name, most))

    async def _drain(self, number: int) -> None:
        searcher = self.site.searchers[number]
        others = [
            item
            for item in self.site.searchers_of(searcher.service)
            if item is not searcher
        ]
        gone = {absence.searcher for absence in self._absences}
        is_last = any(item.name in gone for item in others)
        if is_last or searcher.name in self._down:
            # A service keeps a searcher, and one that is down cannot say
            # that it leaves.
            return
        self.site.put_searcher(searcher, state="draining")
        since = asyncio.get_running_loop().time()
        self._absences.append(Absence(searcher.name, since, float("inf")))

    async def _evacuate(self, data_centre: str, for_s: float) -> None:
        site = self.site
        if await site.is_any_out():
            return
        gone = {absence.searcher for absence in self._absences}
        if any(item.name in gone for item in site.searchers):
            return
        site.take_out(data_centre)
        since = asyncio.get_running_loop().time()
        await asyncio.sleep(for_s)
        until = asyncio.get_running_loop().time()
        site.take_in(data_centre)
        self._absences += [
            Absence(item.name, since, until)
            for item in site.searchers
            if item.data_centre == data_centre
        ]

    async def _disturb_node(self, what: object, for_s: float) -> None:
        node = self.site.nodes[what.node]
        if node.name in self._busy or len(self._busy) > 1:
            return
        if isinstance(what, ds.ReloadNode):
            self.site.signal(node, signal.SIGHUP)
            return
        self._busy.add(node.name)
        match what:
            case ds.PauseNode():
                self.site.signal(node, signal.SIGSTOP)
                await asyncio.sleep(for_s)
                self.site.signal(node, signal.SIGCONT)
            case ds.KillNode():
                self.site.signal(node, signal.SIGKILL)
                await self._restart(node)
            case ds.StopNode():
                self.site.signal(node, signal.SIGTERM)
                await self._expect_clean_end(node)
                await self._restart(node)
        self._busy.discard(node.name)

    async def _expect_clean_end(self, node: NodePlace) -> None:
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                status = await self.site.wait_ended(node)
        except TimeoutError:
            self._faults.append(f"{node.name} did not stop in time")
            self.site.signal(node, signal.SIGKILL)
            return
        if status != 0:
            self._faults.append(f"{node.name} ended with status {status}")

    async def _restart(self, node: NodePlace) -> None:
        await self.site.wait_ended(node)
        await self.site.start_node(node)
        await self.site.wait_ready(node)
        self.site.put_node(node)
