"""Open-loop load: calls start on time whether or not others have ended."""

import asyncio
from dataclasses import dataclass
import itertools
import random
import time

import aiohttp
import msgspec

from kumquatchute_bench.services import BenchService
from kumquatchute_bench.services import NAMES
from kumquatchute_bench.site import CALLER_TOKEN
from kumquatchute_standins.demo.site import SiteNode

DEADLINE_MS = 1000
CONNECT_TIMEOUT_S = 0.5
READY_INTERVAL_S = 0.25
READY_TIMEOUT_S = 0.3


@dataclass(frozen=True)
class CallResult:
    """Result of one call.

    :param intended_s: intended start in seconds since the load began
    :param lag_s: seconds by which it was sent too late
    :param latency_s: seconds from the intended start to the end of the
        answer
    :param status: HTTP status; 0 if the connection failed
    :param error_kind: kind of the error; empty if there is none
    :param coverage: stated coverage; 0 without an answer
    :param stated_shards: shards that the answer states as covered
    :param hit_shards: shards from which the answer has hits
    """

    intended_s: float
    node: str
    lag_s: float
    latency_s: float
    status: int
    error_kind: str = ""
    not_run: bool = False
    coverage: float = 0.0
    stated_shards: int = 0
    hit_shards: int = 0


class WireHit(msgspec.Struct, frozen=True):
    """The field of a hit that the bench reads."""

    doc: str


class WireCoverage(msgspec.Struct, frozen=True):
    """Coverage that an answer states."""

    fraction: float
    missing: tuple[str, ...] = ()


class WireAnswer(msgspec.Struct, frozen=True):
    """The fields of an answer that the bench reads."""

    hits: tuple[WireHit, ...]
    coverage: WireCoverage


class WireError(msgspec.Struct, frozen=True):
    """The fields of an error that the bench reads."""

    kind: str = ""
    not_run: bool = False


@dataclass(frozen=True)
class Arrivals:
    """Intended starts of a Poisson process.

    :param rate: calls per second
    """

    rate: float
    duration_s: float
    seed: int

    def start_times(self) -> list[float]:
        """Return the intended starts in seconds.

        The same seed always gives the same starts.
        """
        rng = random.Random(self.seed)
        start_times = []
        intended_s = rng.expovariate(self.rate)
        while intended_s < self.duration_s:
            start_times.append(intended_s)
            intended_s += rng.expovariate(self.rate)
        return start_times


class Balancer:
    """Distributes calls over the ready nodes in turn."""

    def __init__(self, nodes: tuple[SiteNode, ...]) -> None:
        """Create a balancer that assumes that all nodes are ready."""
        self._nodes = nodes
        self._ready = list(nodes)
        self._next_index = itertools.count()

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Check the readiness of the nodes until cancelled."""
        while True:
            ready = await asyncio.gather(
                *(_is_ready(session, node) for node in self._nodes)
            )
            self._ready = [
                node for node, is_ready in zip(self._nodes, ready) if is_ready
            ]
            await asyncio.sleep(READY_INTERVAL_S)

    def choose(self) -> SiteNode | None:
        """Return the next ready node; None if no node is ready."""
        if not self._ready:
            return None
        return self._ready[next(self._next_index) % len(self._ready)]


async def run_load(
    nodes: tuple[SiteNode, ...], service: BenchService, arrivals: Arrivals
) -> tuple[CallResult, ...]:
    """Send all calls at their intended starts and return their results."""
    balancer = Balancer(nodes)
    names = itertools.cycle(NAMES)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        checking = asyncio.create_task(balancer.run(session))
        calls = []
        started_at = time.monotonic()
        for intended_s in arrivals.start_times():
            delay_s = started_at + intended_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            calls.append(
                asyncio.create_task(
                    _send_call(
                        session,
                        balancer.choose(),
                        service,
                        next(names),
                        started_at,
                        intended_s,
                    )
                )
            )
        results = await asyncio.gather(*calls)
        checking.cancel()
    return tuple(results)


async def _send_call(
    session: aiohttp.ClientSession,
    node: SiteNode | None,
    service: BenchService,
    name: str,
    started_at: float,
    intended_s: float,
) -> CallResult:
    lag_s = time.monotonic() - started_at - intended_s
    if node is None:
        return CallResult(
            intended_s, "", lag_s, lag_s, 0, "no ready node", True
        )
    url = f"http://{node.callers}/v1/services/{service.name}/search"
    body = {"name": name, "limit": service.shards, "deadline_ms": DEADLINE_MS}
    timeout = aiohttp.ClientTimeout(total=3, sock_connect=CONNECT_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}
    try:
        async with session.post(
            url, json=body, headers=headers, timeout=timeout
        ) as resp:
            content, status = await resp.read(), resp.status
    except (aiohttp.ClientError, TimeoutError) as exc:
        latency_s = time.monotonic() - started_at - intended_s
        return CallResult(
            intended_s, node.name, lag_s, latency_s, 0, type(exc).__name__
        )
    latency_s = time.monotonic() - started_at - intended_s
    if status != 200:
        error = msgspec.json.decode(content, type=WireError)
        return CallResult(
            intended_s,
            node.name,
            lag_s,
            latency_s,
            status,
            error.kind,
            error.not_run,
        )
    answer = msgspec.json.decode(content, type=WireAnswer)
    coverage = answer.coverage
    return CallResult(
        intended_s,
        node.name,
        lag_s,
        latency_s,
        status,
        coverage=coverage.fraction,
        stated_shards=service.shards - len(coverage.missing),
        # A document is named "doc-SHARD-NUMBER".
        hit_shards=len({hit.doc.split("-")[1] for hit in answer.hits}),
    )


async def _is_ready(session: aiohttp.ClientSession, node: SiteNode) -> bool:
    timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
    url = f"http://{node.metrics}/readyz"
    try:
        async with session.get(url, timeout=timeout) as resp:
            return resp.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False
