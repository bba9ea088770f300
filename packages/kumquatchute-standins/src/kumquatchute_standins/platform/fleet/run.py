"""Runs disturbances on a site of real nodes under a steady load."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from pathlib import Path
import signal

import aiohttp

from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import DropHistory
from kumquatchute_standins.platform.fleet.answers import AnswerLedger
from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.callers import send_request
from kumquatchute_standins.platform.fleet.client import Call
from kumquatchute_standins.platform.fleet.client import send_part
from kumquatchute_standins.platform.fleet.connection_callers import Caller
from kumquatchute_standins.platform.fleet.connection_callers import CallRecord
from kumquatchute_standins.platform.fleet.connection_callers import DEADLINE_MS
from kumquatchute_standins.platform.fleet.connection_callers import SUBMIT_PATH
from kumquatchute_standins.platform.fleet import disturbances as ds
from kumquatchute_standins.platform.fleet.proxy import LinkFaults
from kumquatchute_standins.platform.fleet.searcher import Arrival
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetNode
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape

# Time for which the entry of a restarted searcher states that it is cold.
COLD_PERIOD_MS = 2000
# A little more than graceS of the nodes' settings, in which a node must stop.
STOP_TIMEOUT_S = 6.5
# Longest pause of callers on kept connections. Without pauses they would use
# all cores of the machine.
MAX_PAUSE_S = 0.4
# One submission, which may run at most once, is sent per so many queries.
QUERIES_PER_SUBMISSION = 5


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a run.

    :param per_s: queries per second; submissions are sent in addition
    :param length_s: duration in seconds
    :param callers: callers on kept connections to each node, in addition
    :param pipeline: most requests that the last of them sends at once
    :param seed: seed of the requests of these callers
    """

    per_s: float
    length_s: float
    callers: int = 0
    pipeline: int = 1
    seed: int = 0


@dataclass(frozen=True, slots=True)
class Absence:
    """A period in which a searcher must not receive requests.

    :param since: when the change was written to the store, in seconds
    :param until: when it may receive requests again, in seconds
    """

    searcher: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class ColdPeak:
    """Highest number of requests in a second at a cold searcher."""

    searcher: str
    peak_per_s: int


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """Limit that a searcher states from a time on, in seconds."""

    searcher: str
    since: float
    limit_per_s: float


@dataclass(frozen=True, slots=True)
class QueryResult:
    """Result of a query over all shards, and when it was sent in seconds.

    :param node: name of the node that the caller asked
    """

    sent_at: float
    result: CallResult
    node: str = ""


@dataclass(frozen=True, slots=True)
class RunRecord:
    """What callers and searchers observed.

    All times are of the event loop, in seconds.

    :param submissions: results of requests that may run at most once
    :param last_disturbed_at: when the last disturbance ended
    :param shutdown_failures: nodes that stopped late or with another exit
        status than 0
    :param calls: requests of callers on kept connections
    :param abandoned: ids of requests whose clients left inside the body
    :param ledger: answers that searchers sent
    :param max_lag_s: longest delay of a query behind its time; callers,
        searchers and links share the process that was late
    """

    started: float
    ended: float
    queries: tuple[QueryResult, ...]
    submissions: tuple[CallResult, ...]
    arrivals: tuple[Arrival, ...]
    absences: tuple[Absence, ...]
    cold_peaks: tuple[ColdPeak, ...]
    last_disturbed_at: float
    shutdown_failures: tuple[str, ...]
    limits: tuple[StatedLimit, ...] = ()
    calls: tuple[CallRecord, ...] = ()
    abandoned: tuple[str, ...] = ()
    ledger: AnswerLedger = field(default_factory=AnswerLedger)
    max_lag_s: float = 0.0


class SiteRun:
    """Owns a site, its callers and what they observe."""

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
        self._submissions: list[CallResult] = []
        self._absences: list[Absence] = []
        self._cold_peaks: list[ColdPeak] = []
        self._limits: list[StatedLimit] = []
        self._shutdown_failures: list[str] = []
        self._last_disturbed_at = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._callers = self._create_callers()
        self._abandoned: list[str] = []
        self._max_lag_s = 0.0
        # Names of nodes and searchers that are stopped or paused.
        self._unavailable_nodes: set[str] = set()
        self._stopped_searchers: set[str] = set()

    async def run_steps(self, steps: tuple[ds.Step, ...]) -> RunRecord:
        """Run the steps at their times under load.

        :param steps: ordered by time
        """
        loop = asyncio.get_running_loop()
        async with self.site as site:
            async with aiohttp.ClientSession() as session:
                started_at = loop.time()
                callers = asyncio.ensure_future(self._send_requests(session))
                for caller in self._callers:
                    end = started_at + self._load.length_s
                    self._spawn(caller.send_until(end))
                for step in steps:
                    await asyncio.sleep(
                        max(0, started_at + step.at - loop.time())
                    )
                    self._spawn(self._run_step(step))
                await callers
                await asyncio.gather(*self._tasks)
                ended_at = loop.time()
        return RunRecord(
            started_at,
            ended_at,
            tuple(self._queries),
            tuple(self._submissions),
            tuple(site.arrivals),
            tuple(self._absences),
            tuple(self._cold_peaks),
            self._last_disturbed_at,
            tuple(self._shutdown_failures),
            tuple(self._limits),
            tuple(record for c in self._callers for record in c.records),
            tuple(self._abandoned),
            site.ledger,
            self._max_lag_s,
        )

    def _create_callers(self) -> list[Caller]:
        load = self._load
        return [
            Caller(
                f"k{node}.{number}",
                self.site.nodes[node].front_port,
                load.pipeline if number == load.callers - 1 else 1,
                load.seed,
                MAX_PAUSE_S,
            )
            for node in range(len(self.site.nodes))
            for number in range(load.callers)
        ]

    async def _send_requests(self, session: aiohttp.ClientSession) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for number in range(int(self._load.length_s * self._load.per_s)):
            due = started_at + number / self._load.per_s
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._max_lag_s = max(self._max_lag_s, loop.time() - due)
            node = self._choose_node(number)
            if number % QUERIES_PER_SUBMISSION == 0:
                self._spawn(self._send_submission(session, node))
            self._spawn(self._send_query(session, node, loop.time()))

    def _choose_node(self, number: int) -> FleetNode:
        """Return a running node, as a load balancer would."""
        nodes = [
            node
            for node in self.site.nodes
            if node.name not in self._unavailable_nodes
        ]
        nodes = nodes or list(self.site.nodes)
        return nodes[number % len(nodes)]

    async def _send_query(
        self, session: aiohttp.ClientSession, node: FleetNode, sent_at: float
    ) -> None:
        shards = self.site.shard_names
        result = await send_request(
            session, node.front_port, "/notes/1", shards
        )
        self._queries.append(QueryResult(sent_at, result, node.name))

    async def _send_submission(
        self, session: aiohttp.ClientSession, node: FleetNode
    ) -> None:
        self._submissions.append(
            await send_request(
                session, node.front_port, "/submit/1", (), "POST"
            )
        )

    def _spawn(self, coro: object) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)

    async def _run_step(self, step: ds.Step) -> None:
        site = self.site
        match step.disturbance:
            case ds.SetStoreFault(fault=fault):
                site.store.post_control(fault)
                await asyncio.sleep(step.for_s)
                site.store.post_control(ClearFaults())
            case ds.DropHistory():
                site.store.post_control(DropHistory())
            case ds.SetLinkFaults(link=link, faults=faults):
                site.links[link].faults = faults
                await asyncio.sleep(step.for_s)
                site.links[link].faults = LinkFaults()
                site.links[link].reset_connections()
            case ds.ResetLink(link=link):
                site.links[link].reset_connections()
            case ds.SetSearcherFaults(searcher=number, faults=faults):
                searcher = site.searchers[number]
                searcher.faults = replace(
                    faults, answers=searcher.faults.answers
                )
                await asyncio.sleep(step.for_s)
                searcher.faults = SearcherFaults(
                    answers=searcher.faults.answers
                )
            case ds.DisturbAnswers():
                await self._disturb_answers(step.disturbance, step.for_s)
            case ds.AbandonBodies(node=node, count=count, resets=resets):
                for _ in range(count):
                    await self._abandon_body(site.nodes[node], resets)
                    await asyncio.sleep(step.for_s / count)
            case ds.CrashSearcher(searcher=number):
                await self._crash_searcher(number, step.for_s)
            case ds.DrainSearcher(searcher=number):
                await self._drain_searcher(number)
            case ds.LimitSearcher(searcher=number, limit_per_s=limit_per_s):
                searcher = site.searchers[number]
                searcher.limit_per_s = limit_per_s
                since = asyncio.get_running_loop().time()
                self._limits.append(
                    StatedLimit(searcher.name, since, limit_per_s)
                )
            case ds.Evacuate(data_centre=data_centre):
                await self._evacuate(data_centre, step.for_s)
            case ds.ChangeManifest():
                site.publish_manifest()
            case node_disturbance:
                await self._disturb_node(node_disturbance, step.for_s)
        self._last_disturbed_at = asyncio.get_running_loop().time()

    async def _disturb_answers(
        self, disturbance: ds.DisturbAnswers, for_s: float
    ) -> None:
        searchers = [self.site.searchers[disturbance.searcher]]
        if disturbance.in_service:
            searchers = self.site.searchers_of(searchers[0].service)
        draw = disturbance.draw
        for searcher in searchers:
            searcher.faults = replace(searcher.faults, answers=draw)
        await asyncio.sleep(for_s)
        for searcher in searchers:
            # Another disturbance may have replaced the draw.
            if searcher.faults.answers is draw:
                searcher.faults = replace(searcher.faults, answers=None)

    async def _abandon_body(self, node: FleetNode, resets: bool) -> None:
        call = Call(
            f"left-{len(self._abandoned)}", SUBMIT_PATH, may_repeat=False
        )
        self._abandoned.append(call.request_id)
        try:
            await send_part(call, node.front_port, DEADLINE_MS, resets)
        except OSError:
            # The node is down.
            return

    async def _crash_searcher(self, number: int, for_s: float) -> None:
        searcher = self.site.searchers[number]
        ever_absent = {absence.searcher for absence in self._absences}
        if searcher.name in self._stopped_searchers | ever_absent:
            return
        self._stopped_searchers.add(searcher.name)
        await searcher.stop()
        await asyncio.sleep(for_s)
        searcher.started_ms += 1
        self.site.register_searcher(searcher, cold_ms=COLD_PERIOD_MS)
        await searcher.start()
        self._stopped_searchers.discard(searcher.name)
        restarted_at = asyncio.get_running_loop().time()
        await asyncio.sleep(COLD_PERIOD_MS / 1000)
        times = [
            arrival.received_at
            for arrival in self.site.arrivals_after(
                searcher.name, restarted_at
            )
        ]
        peak_per_s = max(
            (
                sum(start <= time < start + 1 for time in times)
                for start in times
            ),
            default=0,
        )
        self._cold_peaks.append(ColdPeak(searcher.name, peak_per_s))

    async def _drain_searcher(self, number: int) -> None:
        searcher = self.site.searchers[number]
        others = [
            other
            for other in self.site.searchers_of(searcher.service)
            if other is not searcher
        ]
        ever_absent = {absence.searcher for absence in self._absences}
        other_was_absent = any(other.name in ever_absent for other in others)
        if other_was_absent or searcher.name in self._stopped_searchers:
            # No second searcher of a service drains, so that one remains. A
            # stopped searcher cannot announce that it drains.
            return
        self.site.register_searcher(searcher, state="draining")
        since = asyncio.get_running_loop().time()
        self._absences.append(Absence(searcher.name, since, float("inf")))

    async def _evacuate(self, data_centre: str, for_s: float) -> None:
        site = self.site
        if await site.is_any_evacuated():
            return
        ever_absent = {absence.searcher for absence in self._absences}
        if any(searcher.name in ever_absent for searcher in site.searchers):
            # A service whose other searcher drains would be left without one.
            # A run evacuates one data centre at most, and only once.
            return
        site.evacuate(data_centre)
        since = asyncio.get_running_loop().time()
        await asyncio.sleep(for_s)
        until = asyncio.get_running_loop().time()
        site.end_evacuation(data_centre)
        self._absences += [
            Absence(searcher.name, since, until)
            for searcher in site.searchers
            if searcher.data_centre == data_centre
        ]

    async def _disturb_node(self, disturbance: object, for_s: float) -> None:
        node = self.site.nodes[disturbance.node]
        if (
            node.name in self._unavailable_nodes
            or len(self._unavailable_nodes) > 1
        ):
            return
        if isinstance(disturbance, ds.ReloadNode):
            self.site.send_signal(node, signal.SIGHUP)
            return
        self._unavailable_nodes.add(node.name)
        match disturbance:
            case ds.PauseNode():
                self.site.send_signal(node, signal.SIGSTOP)
                await asyncio.sleep(for_s)
                self.site.send_signal(node, signal.SIGCONT)
            case ds.KillNode():
                self.site.send_signal(node, signal.SIGKILL)
                await self._restart_node(node)
            case ds.StopNode():
                self.site.send_signal(node, signal.SIGTERM)
                await self._check_clean_exit(node)
                await self._restart_node(node)
        self._unavailable_nodes.discard(node.name)

    async def _check_clean_exit(self, node: FleetNode) -> None:
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status = await self.site.wait_for_exit(node)
        except TimeoutError:
            self._shutdown_failures.append(f"{node.name} did not stop in time")
            self.site.send_signal(node, signal.SIGKILL)
            return
        if status != 0:
            self._shutdown_failures.append(
                f"{node.name} exited with status {status}"
            )

    async def _restart_node(self, node: FleetNode) -> None:
        await self.site.wait_for_exit(node)
        await self.site.start_node(node)
        await self.site.wait_until_ready(node)
        self.site.register_node(node)
