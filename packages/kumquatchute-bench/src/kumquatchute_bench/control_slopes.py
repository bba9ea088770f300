"""Costs of ownership, tickets, heartbeats and the store."""

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
from kumquatchute_bench.shape import Shape
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

SEARCHERS = (110, 500, 1100, 3300)
MEMBERS = (4, 8, 16)
TICKET_NAMES = (10, 100, 1000, 6000)
VIEW_NAMES = (0, 5000, 20_000)
IDLE_S = 6.0
PEER_COUNTS = (1, 3, 5, 7)
IDLE_SEARCHERS = (0, 12, 24, 48)
TICKETS_IN_ROW = 10
IP_HEADER_BYTES = 52
"""IPv4 and TCP headers with the usual time stamps."""


def ownership_slopes() -> list[Slope]:
    """Measure the routing picture by searchers and by members."""
    prefixes = itertools.count()
    slopes = []
    for members in MEMBERS:
        placement = samples.placement(members)
        first, again = [], []
        for count in SEARCHERS:
            # Names that were never asked for are not in the cache.
            catalogs = (
                _catalog(count, f"fresh{next(prefixes)}")
                for _ in itertools.count()
            )
            known = _catalog(count, "known")
            first.append(
                cpu_point(
                    count,
                    lambda: build_routing(
                        View(), next(catalogs), placement, owner
                    ),
                )
            )
            again.append(
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
                first,
                "with building the catalogue of the measurement",
            ),
            fit(
                f"ownership: {members} nodes, known searchers",
                "searchers",
                "us",
                again,
            ),
        ]
    return [*slopes, _by_members(), _placement_tick()]


def _catalog(count: int, prefix: str) -> Catalog:
    found = samples.searchers(count, prefix)
    return Catalog({}, {searcher.name: searcher for searcher in found})


def _by_members() -> Slope:
    known = _catalog(1100, "by-members")
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
            for members in MEMBERS
        ],
    )


def _placement_tick() -> Slope:
    points = []
    for count in (2, 4, 8, 16):
        me, *others = samples.members(count)
        state = initial_state(me, tuple(member.node for member in others))
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
    tickets = [samples.ticket(1, NO_DIGEST, n) for n in TICKET_NAMES]
    bodies = [encode_ticket(ticket) for ticket in tickets]
    notices = [encode(TicketNotice(ticket)) for ticket in tickets]
    sized = list(zip(map(len, bodies), tickets, bodies, notices))
    unit = "bytes/ticket"
    return [
        fit(
            "ticket: digest and encoding",
            unit,
            "us",
            [
                cpu_point(n, lambda t=t: (t.digest(), encode_ticket(t)))
                for n, t, _, _ in sized
            ],
        ),
        fit(
            "ticket: message to a peer, encode and decode",
            unit,
            "us",
            [
                cpu_point(n, lambda t=t: decode(encode(TicketNotice(t))))
                for n, t, _, _ in sized
            ],
        ),
        fit(
            "ticket: size of the message to a peer",
            unit,
            "bytes/peer",
            [Point(n, len(m)) for n, _, _, m in sized],
        ),
        fit(
            "ticket: record from the store, decode",
            unit,
            "us",
            [
                cpu_point(n, lambda b=b: decode_ticket(b))
                for n, _, b, _ in sized
            ],
        ),
        fit(
            "ticket: apply to an empty view",
            unit,
            "us",
            [
                cpu_point(n, lambda t=t: apply_tickets(View(), (t,)))
                for n, t, _, _ in sized
            ],
        ),
        _apply_by_view(),
    ]


def _apply_by_view() -> Slope:
    points = []
    for names in VIEW_NAMES:
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
async def running_site(layout: Layout):
    """Run a site in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        site = BenchSite(layout, Path(folder))
        try:
            await site.start()
            yield site
        finally:
            await site.stop()


async def idle_slopes() -> list[Slope]:
    """Measure nodes without callers, by peers and by searchers."""
    cpu, sent, calls = [], [], []
    for peers in PEER_COUNTS:
        layout = Layout((), nodes=peers + 1)
        async with running_site(layout) as site:
            await asyncio.sleep(3.0)
            before = await _usage(site)
            await asyncio.sleep(IDLE_S)
            after = await _usage(site)
            nodes = peers + 1
            took = after.at - before.at
            cpu.append(
                Point(peers, (after.cpu - before.cpu) / took / nodes * 1000)
            )
            sent.append(
                Point(peers, (after.sent - before.sent) / took / nodes)
            )
            calls.append(
                Point(nodes, (after.calls - before.calls) / took / nodes)
            )
    return [
        fit(
            "idle: processor time of a node",
            "peers",
            "ms/s",
            cpu,
            "heartbeats, confirmations, lease, ticket polls",
        ),
        fit(
            "idle: bytes of a node to its peers, one direction",
            "peers",
            "bytes/s",
            sent,
            f"with {IP_HEADER_BYTES} bytes of headers for each segment",
        ),
        fit(
            "idle: store calls of a node",
            "nodes",
            "calls/s",
            calls,
            "pending watches are counted when they start",
        ),
        await _idle_by_searchers(),
        await _store_calls_by_ticket(),
    ]


async def _idle_by_searchers() -> Slope:
    points = []
    for count in IDLE_SEARCHERS:
        shapes = ()
        if count:
            shapes = (Shape("console", count, 1, count, 2, 25, 0.0),)
        async with running_site(Layout(shapes, 1, 1)) as site:
            await asyncio.sleep(3.0)
            before = process_cpu_s(site.pid("n1"))
            await asyncio.sleep(IDLE_S)
            used = process_cpu_s(site.pid("n1")) - before
            points.append(Point(count, used / IDLE_S * 1000))
    return fit(
        "idle: processor time of a node for its searchers",
        "searchers owned",
        "ms/s",
        points,
        "health and load read once a second from each",
    )


async def _store_calls_by_ticket() -> Slope:
    points = []
    for nodes in (2, 4, 6):
        async with running_site(Layout((), nodes=nodes)) as site:
            await asyncio.sleep(3.0)
            begin, idle = time.monotonic(), await _calls(site)
            await asyncio.sleep(3.0)
            rate = (await _calls(site) - idle) / (time.monotonic() - begin)
            begin, idle = time.monotonic(), await _calls(site)
            for number in range(TICKETS_IN_ROW):
                await site.submit_ticket(
                    [{"type": "name", "name": f"N {number}", "aliases": []}]
                )
                await asyncio.sleep(0.2)
            took = time.monotonic() - begin
            extra = await _calls(site) - idle - rate * took
            points.append(Point(nodes, extra / TICKETS_IN_ROW))
    return fit(
        "ticket: store calls of the whole site",
        "nodes",
        "calls/ticket",
        points,
        "beyond the calls of the idle site",
    )


async def _calls(site: BenchSite) -> int:
    return sum((await site.store_calls()).values())


class _Usage:
    def __init__(self, at: float, cpu: float, sent: int, calls: int) -> None:
        self.at, self.cpu, self.sent, self.calls = at, cpu, sent, calls


async def _usage(site: BenchSite) -> _Usage:
    cpu = sum(process_cpu_s(site.pid(node.name)) for node in site.nodes)
    calls = await _calls(site)
    return _Usage(time.monotonic(), cpu, await _peer_bytes(site), calls)


async def _peer_bytes(site: BenchSite) -> int:
    """Return bytes that left over all peer links, with headers."""
    ports = {node.peers.rpartition(":")[2] for node in site.nodes}
    process = await asyncio.create_subprocess_exec(
        "ss", "-tinH", stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    total = 0
    lines = out.decode().splitlines()
    for head, info in zip(lines, lines[1:]):
        ends = re.findall(r":(\d+)\s", head + " ")
        if head.startswith("ESTAB") and ports & set(ends):
            total += _info(info, "bytes_sent")
            total += IP_HEADER_BYTES * _info(info, "segs_out")
    return total


def _info(text: str, field: str) -> int:
    found = re.search(rf"\b{field}:(\d+)", text)
    return int(found[1]) if found else 0
