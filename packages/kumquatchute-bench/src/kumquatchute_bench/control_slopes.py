"""Costs of ownership, tickets, idle nodes and store calls."""

import asyncio
from contextlib import asynccontextmanager
import itertools
from pathlib import Path
import random
import re
import tempfile
import time

from kumquatchute_bench.cpu import cpu_point
from kumquatchute_bench.cpu import process_cpu_s
from kumquatchute_bench.fit import fit
from kumquatchute_bench.fit import Point
from kumquatchute_bench.fit import Slope
from kumquatchute_bench import samples
from kumquatchute_bench.services import BenchService
from kumquatchute_bench.site import BenchSite
from kumquatchute_bench.site import Layout
from kumquatchute_model.ticket import NO_DIGEST
from kumquatchute_model.ticket_codec import decode_ticket
from kumquatchute_model.ticket_codec import encode_ticket
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.peers.codec import decode
from kumquatchuted.peers.codec import encode
from kumquatchuted.placement.messages import Tick
from kumquatchuted.placement.ownership import owner
from kumquatchuted.placement.protocol import step
from kumquatchuted.placement.state import initial_state
from kumquatchuted.search.routing import build_routing
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.view import apply_tickets

SEARCHER_COUNTS = (110, 500, 1100, 3300)
MEMBER_COUNTS = (4, 8, 16)
TICKET_NAME_COUNTS = (10, 100, 1000, 6000)
VIEW_NAME_COUNTS = (0, 5000, 20_000)
IDLE_PERIOD_S = 6.0
PEER_COUNTS = (1, 3, 5, 7)
IDLE_SEARCHER_COUNTS = (0, 12, 24, 48)
CONSECUTIVE_TICKETS = 10
SEGMENT_HEADER_BYTES = 52
"""Size of the IPv4 and TCP headers with the timestamp option."""


def ownership_slopes() -> list[Slope]:
    """Measure building the routing by searchers and by nodes."""
    prefixes = itertools.count()
    slopes = []
    for members in MEMBER_COUNTS:
        placement = samples.placement(members)
        fresh_points, known_points = [], []
        for count in SEARCHER_COUNTS:
            # New names for each call, so that no owner comes from the cache.
            catalogs = (
                _build_catalog(count, f"fresh{next(prefixes)}")
                for _ in itertools.count()
            )
            known = _build_catalog(count, "known")
            fresh_points.append(
                cpu_point(
                    count,
                    lambda: build_routing(
                        View(), next(catalogs), placement, owner
                    ),
                )
            )
            known_points.append(
                cpu_point(
                    count,
                    lambda: build_routing(View(), known, placement, owner),
                )
            )
        slopes += [
            fit(
                f"ownership: {members} nodes, new searchers",
                "searchers",
                "us",
                fresh_points,
                "includes the time in which the bench builds the catalogue",
            ),
            fit(
                f"ownership: {members} nodes, known searchers",
                "searchers",
                "us",
                known_points,
            ),
        ]
    return [*slopes, _ownership_slope_by_members(), _placement_tick_slope()]


def _build_catalog(count: int, prefix: str) -> Catalog:
    searchers = samples.searchers(count, prefix)
    return Catalog({}, {searcher.name: searcher for searcher in searchers})


def _ownership_slope_by_members() -> Slope:
    known = _build_catalog(1100, "by-members")
    return fit(
        "ownership: 1100 known searchers",
        "nodes",
        "us",
        [
            cpu_point(
                members,
                lambda p=samples.placement(members): build_routing(
                    View(), known, p, owner
                ),
            )
            for members in MEMBER_COUNTS
        ],
    )


def _placement_tick_slope() -> Slope:
    points = []
    for count in (2, 4, 8, 16):
        local, *peers = samples.members(count)
        state = initial_state(local, tuple(member.node for member in peers))
        rng = random.Random(1)
        points.append(
            cpu_point(count, lambda s=state: step(s, Tick(), 0.0, rng))
        )
    return fit(
        "placement: one tick of the protocol, 10 a second",
        "nodes",
        "us",
        points,
        "state directly after the start",
    )


def ticket_slopes() -> list[Slope]:
    """Measure tickets by size, and one ticket by the size of the view."""
    tickets = [samples.ticket(1, NO_DIGEST, n) for n in TICKET_NAME_COUNTS]
    bodies = [encode_ticket(ticket) for ticket in tickets]
    notices = [encode(TicketNotice(ticket)) for ticket in tickets]
    by_size = list(zip(map(len, bodies), tickets, bodies, notices))
    unit = "bytes/ticket"
    return [
        fit(
            "ticket: digest and encoding",
            unit,
            "us",
            [
                cpu_point(n, lambda t=t: (t.digest(), encode_ticket(t)))
                for n, t, _, _ in by_size
            ],
        ),
        fit(
            "ticket: message to a peer, encode and decode",
            unit,
            "us",
            [
                cpu_point(n, lambda t=t: decode(encode(TicketNotice(t))))
                for n, t, _, _ in by_size
            ],
        ),
        fit(
            "ticket: size of the message to a peer",
            unit,
            "bytes/peer",
            [Point(n, len(m)) for n, _, _, m in by_size],
        ),
        fit(
            "ticket: record from the store, decode",
            unit,
            "us",
            [
                cpu_point(n, lambda b=b: decode_ticket(b))
                for n, _, b, _ in by_size
            ],
        ),
        fit(
            "ticket: apply to an empty view",
            unit,
            "us",
            [
                cpu_point(n, lambda t=t: apply_tickets(View(), (t,)))
                for n, t, _, _ in by_size
            ],
        ),
        _apply_slope_by_view(),
    ]


def _apply_slope_by_view() -> Slope:
    points = []
    for names in VIEW_NAME_COUNTS:
        view = View()
        if names:
            view = apply_tickets(view, (samples.ticket(1, NO_DIGEST, names),))
        small = samples.ticket(view.number + 1, view.digest, 5)
        points.append(
            cpu_point(
                3 * names, lambda v=view, t=small: apply_tickets(v, (t,))
            )
        )
    return fit(
        "ticket: apply 5 names to a view",
        "spellings in the view",
        "us",
        points,
    )


@asynccontextmanager
async def run_site(layout: Layout):
    """Run a site in a temporary folder for the time of a block."""
    with tempfile.TemporaryDirectory() as folder:
        site = BenchSite(layout, Path(folder))
        try:
            await site.start()
            yield site
        finally:
            await site.stop()


async def idle_slopes() -> list[Slope]:
    """Measure nodes without callers by peers and by searchers."""
    cpu_points, sent_points, call_points = [], [], []
    for peers in PEER_COUNTS:
        layout = Layout((), nodes=peers + 1)
        async with run_site(layout) as site:
            await asyncio.sleep(3.0)
            before = await _read_usage(site)
            await asyncio.sleep(IDLE_PERIOD_S)
            after = await _read_usage(site)
            nodes = peers + 1
            elapsed_s = after.read_at - before.read_at
            cpu_points.append(
                Point(
                    peers,
                    (after.cpu_s - before.cpu_s) / elapsed_s / nodes * 1000,
                )
            )
            sent_points.append(
                Point(
                    peers,
                    (after.sent_bytes - before.sent_bytes) / elapsed_s / nodes,
                )
            )
            call_points.append(
                Point(
                    nodes,
                    (after.store_calls - before.store_calls)
                    / elapsed_s
                    / nodes,
                )
            )
    return [
        fit(
            "idle: processor time of a node",
            "peers",
            "ms/s",
            cpu_points,
            "heartbeats, confirmations, lease, ticket polls",
        ),
        fit(
            "idle: bytes of a node to its peers, one direction",
            "peers",
            "bytes/s",
            sent_points,
            f"with {SEGMENT_HEADER_BYTES} bytes of headers for each segment",
        ),
        fit(
            "idle: store calls of a node",
            "nodes",
            "calls/s",
            call_points,
            "pending watches are counted when they start",
        ),
        await _idle_slope_by_searchers(),
        await _ticket_store_calls_slope(),
    ]


async def _idle_slope_by_searchers() -> Slope:
    points = []
    for count in IDLE_SEARCHER_COUNTS:
        services = ()
        if count:
            services = (BenchService("console", count, 1, count, 2, 25, 0.0),)
        async with run_site(Layout(services, 1, 1)) as site:
            await asyncio.sleep(3.0)
            before_s = process_cpu_s(site.pid("n1"))
            await asyncio.sleep(IDLE_PERIOD_S)
            used_s = process_cpu_s(site.pid("n1")) - before_s
            points.append(Point(count, used_s / IDLE_PERIOD_S * 1000))
    return fit(
        "idle: processor time of a node for its searchers",
        "searchers owned",
        "ms/s",
        points,
        "health and load read once a second from each",
    )


async def _ticket_store_calls_slope() -> Slope:
    points = []
    for nodes in (2, 4, 6):
        async with run_site(Layout((), nodes=nodes)) as site:
            await asyncio.sleep(3.0)
            started_at, calls_before = (
                time.monotonic(),
                await _count_store_calls(site),
            )
            await asyncio.sleep(3.0)
            idle_rate = (await _count_store_calls(site) - calls_before) / (
                time.monotonic() - started_at
            )
            started_at, calls_before = (
                time.monotonic(),
                await _count_store_calls(site),
            )
            for number in range(CONSECUTIVE_TICKETS):
                await site.submit_ticket(
                    [{"type": "name", "name": f"N {number}", "aliases": []}]
                )
                await asyncio.sleep(0.2)
            elapsed_s = time.monotonic() - started_at
            extra_calls = (
                await _count_store_calls(site)
                - calls_before
                - idle_rate * elapsed_s
            )
            points.append(Point(nodes, extra_calls / CONSECUTIVE_TICKETS))
    return fit(
        "ticket: store calls of the whole site",
        "nodes",
        "calls/ticket",
        points,
        "beyond the calls of the idle site",
    )


async def _count_store_calls(site: BenchSite) -> int:
    return sum((await site.read_store_calls()).values())


class _Usage:
    def __init__(
        self, read_at: float, cpu_s: float, sent_bytes: int, store_calls: int
    ) -> None:
        self.read_at, self.cpu_s, self.sent_bytes, self.store_calls = (
            read_at,
            cpu_s,
            sent_bytes,
            store_calls,
        )


async def _read_usage(site: BenchSite) -> _Usage:
    cpu_s = sum(process_cpu_s(site.pid(node.name)) for node in site.nodes)
    calls = await _count_store_calls(site)
    return _Usage(time.monotonic(), cpu_s, await _read_peer_bytes(site), calls)


async def _read_peer_bytes(site: BenchSite) -> int:
    """Return the bytes sent over all peer links, headers included."""
    ports = {node.peers.rpartition(":")[2] for node in site.nodes}
    process = await asyncio.create_subprocess_exec(
        "ss", "-tinH", stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    total = 0
    lines = out.decode().splitlines()
    for socket_line, info_line in zip(lines, lines[1:]):
        ports_of_socket = re.findall(r":(\d+)\s", socket_line + " ")
        if socket_line.startswith("ESTAB") and ports & set(ports_of_socket):
            total += _read_counter(info_line, "bytes_sent")
            total += SEGMENT_HEADER_BYTES * _read_counter(
                info_line, "segs_out"
            )
    return total


def _read_counter(text: str, field: str) -> int:
    match = re.search(rf"\b{field}:(\d+)", text)
    return int(match[1]) if match else 0
