"""Callers whose searches are balanced over the ready nodes."""

import asyncio
from collections.abc import Callable
from collections import Counter
from dataclasses import dataclass
import itertools
import time

import aiohttp

from kumquatchute_standins.demo.processes import is_ready
from kumquatchute_standins.demo.site import CALLER_TOKEN
from kumquatchute_standins.demo.site import SERVICE
from kumquatchute_standins.site_files import SiteNode

READY_INTERVAL_S = 0.3
CONNECT_TIMEOUT_S = 0.5


@dataclass(frozen=True)
class CallResult:
    """Result of one search, as its caller received it.

    :param sent_at_s: seconds since the traffic started
    :param node: name of the node, empty if none was ready
    :param status: HTTP status, or None if the connection failed
    :param kind: kind of the error, or empty
    :param not_run: whether the answer says that the search did not run
    :param coverage: coverage that the answer states, 0 without an answer
    :param latency_s: time until the answer in seconds
    """

    sent_at_s: float
    node: str
    status: int | None
    kind: str
    not_run: bool
    coverage: float
    latency_s: float


class Balancer:
    """Chooses among the nodes that are ready, in turn."""

    def __init__(self, nodes: tuple[SiteNode, ...]) -> None:
        """Create a balancer that treats all nodes as ready until checked."""
        self._nodes = nodes
        self._ready: list[SiteNode] = list(nodes)
        self._counter = itertools.count()

    async def run(self) -> None:
        """Check the readiness of the nodes until cancelled."""
        while True:
            checks = [is_ready(node) for node in self._nodes]
            answers = await asyncio.gather(*checks)
            self._ready = [
                node for node, ready in zip(self._nodes, answers) if ready
            ]
            await asyncio.sleep(READY_INTERVAL_S)

    def choose(self) -> SiteNode | None:
        """Return the next ready node, or None if no node is ready."""
        if not self._ready:
            return None
        return self._ready[next(self._counter) % len(self._ready)]


class Traffic:
    """Sends searches at a fixed rate, without waiting for answers.

    :param rate_per_s: searches per second
    :param next_name: returns the name for the next search
    """

    def __init__(
        self,
        nodes: tuple[SiteNode, ...],
        rate_per_s: float,
        next_name: Callable[[], str],
    ) -> None:
        """Create traffic that is not started; ``run`` sends it."""
        self.results: list[CallResult] = []
        self._balancer = Balancer(nodes)
        self._rate_per_s = rate_per_s
        self._next_name = next_name
        self._started_at = 0.0

    async def run(self) -> None:
        """Send searches until cancelled, then wait for those that are open."""
        self._started_at = time.monotonic()
        calls = set()
        async with aiohttp.ClientSession() as session:
            balancing = asyncio.create_task(self._balancer.run())
            try:
                for i in itertools.count():
                    due_at = self._started_at + i / self._rate_per_s
                    await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                    call = asyncio.create_task(self._call(session))
                    calls.add(call)
                    call.add_done_callback(calls.discard)
            except asyncio.CancelledError:
                await asyncio.gather(*calls)
            finally:
                balancing.cancel()

    def results_since(self, start_s: float) -> list[CallResult]:
        """Return the results of searches sent from ``start_s`` on.

        :param start_s: seconds since the traffic started
        """
        return [
            result for result in self.results if result.sent_at_s >= start_s
        ]

    def elapsed_s(self) -> float:
        """Return the seconds since the traffic started."""
        return time.monotonic() - self._started_at

    async def _call(self, session: aiohttp.ClientSession) -> None:
        node = self._balancer.choose()
        sent_at_s = self.elapsed_s()
        if node is None:
            self.results.append(
                CallResult(
                    sent_at_s, "", None, "no ready node", True, 0.0, 0.0
                )
            )
            return
        status, body = await search(session, node, self._next_name())
        self.results.append(
            CallResult(
                sent_at_s,
                node.name,
                status,
                body.get("kind", ""),
                body.get("not_run", False),
                body.get("coverage", {}).get("fraction", 0.0),
                self.elapsed_s() - sent_at_s,
            )
        )


async def search(
    session: aiohttp.ClientSession, node: SiteNode, name: str
) -> tuple[int | None, dict]:
    """Send one search.

    :returns: HTTP status, or None if the connection failed, and the JSON body
    """
    url = f"http://{node.callers}/v1/services/{SERVICE}/search"
    headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}
    body = {"name": name, "limit": 3, "deadline_ms": 1000}
    timeout = aiohttp.ClientTimeout(total=5, sock_connect=CONNECT_TIMEOUT_S)
    try:
        async with session.post(
            url, json=body, headers=headers, timeout=timeout
        ) as resp:
            return resp.status, await resp.json()
    except (aiohttp.ClientError, TimeoutError) as exc:
        return None, {"kind": type(exc).__name__}


def summarise(results: list[CallResult]) -> str:
    """Return one line of text that sums up results."""
    if not results:
        return "no searches"
    complete = sum(result.coverage == 1.0 for result in results)
    failures = Counter(
        f"{result.kind}{' (not run)' if result.not_run else ''}"
        for result in results
        if result.status != 200
    )
    latencies = sorted(result.latency_s for result in results)
    p99 = latencies[min(len(latencies) - 1, int(len(latencies) * 0.99))]
    text = (
        f"{len(results)} searches, {complete} with full coverage, "
        f"p99 {p99 * 1000:.0f} ms"
    )
    if failures:
        counts = ", ".join(
            f"{count} {kind}" for kind, count in failures.items()
        )
        text += f"; failed: {counts}"
    return text
