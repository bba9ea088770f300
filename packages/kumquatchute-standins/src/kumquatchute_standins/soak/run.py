"""Runs the plan of one seed on a site and checks the promises."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
import signal

import aiohttp

from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import DropHistory
from kumquatchute_standins.platform.fleet.callers import call
from kumquatchute_standins.platform.fleet.callers import Seen
from kumquatchute_standins.platform.fleet.proxy import LinkFaults
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import NodePlace
from kumquatchute_standins.platform.fleet.site import Shape
from kumquatchute_standins.soak import checks
from kumquatchute_standins.soak import plan as pl

SHAPE = Shape(
    nodes=("a", "a", "b"),
    shards=6,
    replicas=("a", "b"),
    singles=("a", "b"),
    proxied=True,
)
PER_S = 20.0
# The last requests of a run, in seconds, must be served again.
TAIL_S = 1.5
COLD_MS = 2000
KILL_AFTER_S = 6.5


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a seed showed.

    :param steps: what was disturbed
    :param faults: broken promises
    """

    seed: int
    steps: tuple[pl.Step, ...]
    requests: int
    served: int
    faults: tuple[str, ...]


class SoakRun:
    """Owns the site of one seed, its callers and what they saw."""

    def __init__(self, seed: int, folder: Path) -> None:
        """Create a run; nothing is started yet."""
        self._seed = seed
        self._site = FleetSite(SHAPE, folder)
        self._queries: list[tuple[float, Seen]] = []
        self._once: list[Seen] = []
        self._absences: list[checks.Absence] = []
        self._faults: list[str] = []
        self._well_since = 0.0
        self._tasks: set[asyncio.Task] = set()
        # Nodes and searchers that do not run or stand still.
        self._busy: set[str] = set()
        self._down: set[str] = set()

    async def run(self) -> Outcome:
        """Play the plan and judge it."""
        site = self._site
        steps = pl.draw_plan(
            self._seed,
            len(site.nodes),
            len(site.searchers),
            len(site.links),
            "ab",
        )
        loop = asyncio.get_running_loop()
        async with site:
            async with aiohttp.ClientSession() as session:
                start = loop.time()
                callers = asyncio.ensure_future(self._call_all(session))
                for step in steps:
                    await asyncio.sleep(max(0, start + step.at - loop.time()))
                    self._spawn(self._disturb(step))
                await callers
                await asyncio.gather(*self._tasks)
                end = loop.time()
        return self._judge(steps, end)

    def _judge(self, steps: tuple[pl.Step, ...], end: float) -> Outcome:
        arrivals = self._site.arrivals
        queries = [item for _, item in self._queries]
        tail = [item for at, item in self._queries if at > end - TAIL_S - 2.0]
        faults = [
            *self._faults,
            *checks.check_answers([*queries, *self._once]),
            *checks.check_once(self._once, arrivals),
            *checks.check_attempts(queries, arrivals, most=2),
            *checks.check_absences(self._absences, arrivals, self._well_since),
            *checks.check_recovery(tail),
        ]
        served = sum(item.status == 200 for item in queries)
        return Outcome(self._seed, steps, len(queries), served, tuple(faults))

    async def _call_all(self, session: aiohttp.ClientSession) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        for number in range(int(pl.LENGTH_S * PER_S)):
            due = start + number / PER_S
            await asyncio.sleep(max(0.0, due - loop.time()))
            port = self._port(number)
            if number % 5 == 0:
                self._spawn(self._call_once(session, port))
            self._spawn(self._query(session, port, loop.time()))

    def _port(self, number: int) -> int:
        """Return the port of a node that runs, as the balancer would."""
        places = [
            node for node in self._site.nodes if node.name not in self._busy
        ]
        places = places or list(self._site.nodes)
        return places[number % len(places)].front

    async def _query(
        self, session: aiohttp.ClientSession, port: int, at: float
    ) -> None:
        shards = self._site.shard_names
        self._queries.append(
            (at, await call(session, port, "/notes/1", shards))
        )

    async def _call_once(
        self, session: aiohttp.ClientSession, port: int
    ) -> None:
        self._once.append(await call(session, port, "/submit/1", (), "POST"))

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

    async def _disturb(self, step: pl.Step) -> None:
        site = self._site
        match step.what:
            case pl.DisturbStore(fault=fault):
                site.store.disturb(fault)
                await asyncio.sleep(step.for_s)
                site.store.disturb(ClearFaults())
            case pl.DropHistory():
                site.store.disturb(DropHistory())
            case pl.DisturbLink(link=link, faults=faults):
                site.links[link].faults = faults
                await asyncio.sleep(step.for_s)
                site.links[link].faults = LinkFaults()
                site.links[link].reset_all()
            case pl.ResetLink(link=link):
                site.links[link].reset_all()
            case pl.DisturbSearcher(searcher=number, faults=faults):
                site.searchers[number].faults = faults
                await asyncio.sleep(step.for_s)
                site.searchers[number].faults = SearcherFaults()
            case pl.CrashSearcher(searcher=number):
                await self._crash(number, step.for_s)
            case pl.DrainSearcher(searcher=number):
                await self._drain(number)
            case pl.Evacuate(data_centre=data_centre):
                await self._evacuate(data_centre, step.for_s)
            case pl.ChangeManifest():
                site.publish()
            case node_step:
                await self._disturb_node(node_step, step.for_s)
        self._well_since = asyncio.get_running_loop().time()

    async def _crash(self, number: int, for_s: float) -> None:
        searcher = self._site.searchers[number]
        gone = {absence.searcher for absence in self._absences}
        if searcher.name in self._down | gone:
            return
        self._down.add(searcher.name)
        await searcher.stop()
        await asyncio.sleep(for_s)
        searcher.started += 1
        self._site.put_searcher(searcher, cold_ms=COLD_MS)
        await searcher.start()
        self._down.discard(searcher.name)
        back = asyncio.get_running_loop().time()
        await asyncio.sleep(COLD_MS / 1000)
        times = [
            item.at for item in self._site.arrivals_at(searcher.name, back)
        ]
        most = max(
            (sum(at <= x < at + 1 for x in times) for at in times), default=0
        )
        if most > checks.COLD_LIMIT:
            self._faults.append(f"{searcher.name} got {most} a second, cold")

    async def _drain(self, number: int) -> None:
        searcher = self._site.searchers[number]
        others = [
            item
            for item in self._site.searchers_of(searcher.service)
            if item is not searcher
        ]
        gone = {absence.searcher for absence in self._absences}
        is_last = any(item.name in gone for item in others)
        if is_last or searcher.name in self._down:
            # A service keeps a searcher, and one that is down cannot say
            # that it leaves.
            return
        self._site.put_searcher(searcher, state="draining")
        since = asyncio.get_running_loop().time()
        self._absences.append(
            checks.Absence(searcher.name, since, float("inf"))
        )

    async def _evacuate(self, data_centre: str, for_s: float) -> None:
        site = self._site
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
            checks.Absence(item.name, since, until)
            for item in site.searchers
            if item.data_centre == data_centre
        ]

    async def _disturb_node(self, what: object, for_s: float) -> None:
        node = self._site.nodes[what.node]
        if node.name in self._busy or len(self._busy) > 1:
            return
        if isinstance(what, pl.ReloadNode):
            self._site.signal(node, signal.SIGHUP)
            return
        self._busy.add(node.name)
        match what:
            case pl.PauseNode():
                self._site.signal(node, signal.SIGSTOP)
                await asyncio.sleep(for_s)
                self._site.signal(node, signal.SIGCONT)
            case pl.KillNode():
                self._site.signal(node, signal.SIGKILL)
                await self._restart(node)
            case pl.StopNode():
                self._site.signal(node, signal.SIGTERM)
                await self._expect_clean_end(node)
                await self._restart(node)
        self._busy.discard(node.name)

    async def _expect_clean_end(self, node: NodePlace) -> None:
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                status = await self._site.wait_ended(node)
        except TimeoutError:
            self._faults.append(f"{node.name} did not stop in time")
            self._site.signal(node, signal.SIGKILL)
            return
        if status != 0:
            self._faults.append(f"{node.name} ended with status {status}")

    async def _restart(self, node: NodePlace) -> None:
        await self._site.wait_ended(node)
        await self._site.start_node(node)
        await self._site.wait_ready(node)


def run_seed(seed: int, folder: Path) -> Outcome:
    """Run one seed.

    :param folder: receives settings and logs of the nodes
    """
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(SoakRun(seed, folder).run())
