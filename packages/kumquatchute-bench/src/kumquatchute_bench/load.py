"""Open-loop load: arrivals do not wait for answers."""

import asyncio
from dataclasses import dataclass
import itertools
import random
import time

import aiohttp
import msgspec

from kumquatchute_bench.shape import NAMES
from kumquatchute_bench.shape import Shape
from kumquatchute_bench.site import CALLER_TOKEN
from kumquatchute_standins.demo.site import SiteNode

DEADLINE_MS = 1000
CONNECT_TIMEOUT_S = 0.5
READY_INTERVAL_S = 0.25
READY_TIMEOUT_S = 0.3


@dataclass(frozen=True)
class Call:
    """What a caller got.

    :param at: intended start, in seconds since the load began
    :param lag_s: how much later than intended it was sent
    :param seconds: from the intended start to the end of the answer
    :param status: HTTP status, 0 if the connection broke
    :param kind: error kind, or empty
    :param fraction: stated coverage, 0 without an answer
    :param stated: shards that the answer states as covered
    :param counted: shards from which the answer has hits
    """

    at: float
    node: str
    lag_s: float
    seconds: float
    status: int
    kind: str = ""
    not_run: bool = False
    fraction: float = 0.0
    stated: int = 0
    counted: int = 0


class WireHit(msgspec.Struct, frozen=True):
    """The part of a hit that is read."""

    doc: str


class WireCoverage(msgspec.Struct, frozen=True):
    """Stated coverage of an answer."""

    fraction: float
    missing: tuple[str, ...] = ()


class WireAnswer(msgspec.Struct, frozen=True):
    """The part of an answer that is read."""

    hits: tuple[WireHit, ...]
    coverage: WireCoverage


class WireError(msgspec.Struct, frozen=True):
    """An error."""

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

    def times(self) -> list[float]:
        """Return the intended starts in seconds, the same for each call."""
        rng = random.Random(self.seed)
        found = []
        at = rng.expovariate(self.rate)
        while at < self.duration_s:
            found.append(at)
            at += rng.expovariate(self.rate)
        return found


class Balancer:
    """Spreads calls over the nodes that answer their readiness check."""

    def __init__(self, nodes: tuple[SiteNode, ...]) -> None:
        """Create a balancer for which all nodes are ready."""
        self._nodes = nodes
        self._ready = list(nodes)
        self._turn = itertools.count()

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Check the nodes until cancelled."""
        while True:
            ready = await asyncio.gather(
                *(_is_ready(session, node) for node in self._nodes)
            )
            self._ready = [
                node for node, good in zip(self._nodes, ready) if good
            ]
            await asyncio.sleep(READY_INTERVAL_S)

    def choose(self) -> SiteNode | None:
        """Return the next ready node, or None."""
        if not self._ready:
            return None
        return self._ready[next(self._turn) % len(self._ready)]


async def run_load(
    nodes: tuple[SiteNode, ...], shape: Shape, arrivals: Arrivals
) -> tuple[Call, ...]:
    """Send all calls at their times and wait for their answers."""
    balancer = Balancer(nodes)
    names = itertools.cycle(NAMES)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        checks = asyncio.create_task(balancer.run(session))
        calls = []
        begin = time.monotonic()
        for at in arrivals.times():
            wait = begin + at - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            calls.append(
                asyncio.create_task(
                    _call(
                        session,
                        balancer.choose(),
                        shape,
                        next(names),
                        begin,
                        at,
                    )
                )
            )
        done = await asyncio.gather(*calls)
        checks.cancel()
    return tuple(done)


async def _call(
    session: aiohttp.ClientSession,
    node: SiteNode | None,
    shape: Shape,
    name: str,
    begin: float,
    at: float,
) -> Call:
    lag_s = time.monotonic() - begin - at
    if node is None:
        return Call(at, "", lag_s, lag_s, 0, "no ready node", True)
    url = f"http://{node.callers}/v1/services/{shape.service}/search"
    body = {"name": name, "limit": shape.shards, "deadline_ms": DEADLINE_MS}
    timeout = aiohttp.ClientTimeout(total=3, sock_connect=CONNECT_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}
    try:
        async with session.post(
            url, json=body, headers=headers, timeout=timeout
        ) as resp:
            text, status = await resp.read(), resp.status
    except (aiohttp.ClientError, TimeoutError) as exc:
        seconds = time.monotonic() - begin - at
        return Call(at, node.name, lag_s, seconds, 0, type(exc).__name__)
    seconds = time.monotonic() - begin - at
    if status != 200:
        error = msgspec.json.decode(text, type=WireError)
        return Call(
            at, node.name, lag_s, seconds, status, error.kind, error.not_run
        )
    answer = msgspec.json.decode(text, type=WireAnswer)
    coverage = answer.coverage
    return Call(
        at,
        node.name,
        lag_s,
        seconds,
        status,
        fraction=coverage.fraction,
        stated=shape.shards - len(coverage.missing),
        counted=len({hit.doc.split("-")[1] for hit in answer.hits}),
    )


async def _is_ready(session: aiohttp.ClientSession, node: SiteNode) -> bool:
    timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
    url = f"http://{node.metrics}/readyz"
    try:
        async with session.get(url, timeout=timeout) as resp:
            return resp.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False
