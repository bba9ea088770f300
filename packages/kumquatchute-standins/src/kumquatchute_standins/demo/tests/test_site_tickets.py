"""Tests of tickets under pairs of faults and repeated faults.

They run real processes; the checks use the results of callers and the records
of searchers.
"""

import asyncio
import json
import signal
import time

import aiohttp
import pytest

from kumquatchute_standins.demo.callers import search
from kumquatchute_standins.demo.site import list_searchers
from kumquatchute_standins.demo.tests.site_harness import cold_peaks
from kumquatchute_standins.demo.tests.site_harness import COLD_SLOTS
from kumquatchute_standins.demo.tests.site_harness import LEASE_S
from kumquatchute_standins.demo.tests.site_harness import NODE_KILLED
from kumquatchute_standins.demo.tests.site_harness import OWNERSHIP_CHANGE_S
from kumquatchute_standins.demo.tests.site_harness import running_site
from kumquatchute_standins.demo.tests.site_harness import running_traffic
from kumquatchute_standins.demo.tests.site_harness import search_arrivals
from kumquatchute_standins.demo.tests.site_harness import SEARCHED_NAME
from kumquatchute_standins.demo.tests.site_harness import STORE_FAULTS

pytestmark = pytest.mark.timeout(150)

DC = "atl-east"
NODE_IN_DC = "n2"
APPLY_OUT_OF_SERVICE = "out of service: apply"
ANSWER_LOST = "store answer lost after the write"
LEASE_EXPIRED = "lease expired while its holder was paused"
OPERATORS_RACING = "operators racing"
NODE_PAUSED = "node paused and resumed"
TICKET_APPLY_LIMIT_S = 5.0
"""Time limit for an accepted ticket to be applied by all nodes."""


def searchers_in(dc: str) -> list[str]:
    """Return the names of the searchers of a data centre."""
    return [
        name for name, searcher_dc in list_searchers() if searcher_dc == dc
    ]


async def set_dc(processes, state: str) -> tuple[int, str]:
    """Take the data centre ``out`` or ``in``; return status and output."""
    return await processes.run_command("dc", state, DC, "--output", "json")


async def applied_tickets(processes, nodes) -> list[int | None]:
    """Return the ticket number in each node's answer, None without one."""
    async with aiohttp.ClientSession() as session:
        answers = [
            await search(session, node, SEARCHED_NAME) for node in nodes
        ]
    return [body.get("snapshot", {}).get("ticket") for _, body in answers]


PAUSE_CASES = [
    pytest.param(
        3.0,
        False,
        marks=[
            pytest.mark.proves(APPLY_OUT_OF_SERVICE, NODE_PAUSED),
            pytest.mark.proves("ticket: spread", NODE_PAUSED),
            pytest.mark.proves("ticket: apply", NODE_PAUSED),
        ],
    ),
    pytest.param(
        9.0,
        False,
        marks=[
            pytest.mark.proves(APPLY_OUT_OF_SERVICE, LEASE_EXPIRED),
            pytest.mark.proves("ticket: apply", LEASE_EXPIRED),
            pytest.mark.proves("ticket: spread", LEASE_EXPIRED),
        ],
    ),
    pytest.param(
        9.0,
        True,
        marks=pytest.mark.proves(
            APPLY_OUT_OF_SERVICE, OPERATORS_RACING, NODE_PAUSED
        ),
    ),
]


def store_fault_cases():
    """Return a case for each store fault, with the cells that it proves."""
    steps = (APPLY_OUT_OF_SERVICE, "ticket: apply", "start and stop: restart")
    return [
        pytest.param(
            name,
            marks=[
                *[pytest.mark.proves(step, name) for step in steps],
                *[
                    pytest.mark.proves(step, name, NODE_KILLED)
                    for step in steps
                ],
            ],
        )
        for name in STORE_FAULTS
    ]


@pytest.mark.proves(
    "out of service: return", OPERATORS_RACING, OPERATORS_RACING
)
@pytest.mark.proves(APPLY_OUT_OF_SERVICE, OPERATORS_RACING, OPERATORS_RACING)
@pytest.mark.proves("ticket: apply", OPERATORS_RACING, OPERATORS_RACING)
def test_data_centre_taken_out_by_racing_operators_gets_no_requests(tmp_path):
    """Guards against an older ticket that wins when operators race.

    Twice, one takes the data centre out while another returns it. The ticket
    after that takes it out, and its searchers must receive nothing.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes) as traffic:
                await asyncio.sleep(2)
                for _ in range(2):
                    await asyncio.gather(
                        set_dc(processes, "out"), set_dc(processes, "in")
                    )
                status, output = await set_dc(processes, "out")
                assert status == 0, output
                accepted_at = time.monotonic()
                await asyncio.sleep(TICKET_APPLY_LIMIT_S)
                start_s = traffic.elapsed_s()
                numbers = await applied_tickets(
                    processes, processes.site.nodes
                )
                await asyncio.sleep(5)
                dc_arrivals = await search_arrivals(
                    processes, searchers_in(DC)
                )
                results = traffic.results_since(start_s)
                status, output = await set_dc(processes, "in")
                assert status == 0, output
                returned_at = time.monotonic()
                await asyncio.sleep(OWNERSHIP_CHANGE_S)
                returned_arrivals = await search_arrivals(
                    processes, searchers_in(DC)
                )
            peaks = await cold_peaks(processes)
        late = [
            at - accepted_at
            for at in dc_arrivals
            if at > accepted_at + TICKET_APPLY_LIMIT_S
        ]
        assert dc_arrivals and not late, late
        assert len(set(numbers) - {None}) == 1, numbers
        assert all(r.status == 200 and r.coverage == 1.0 for r in results)
        assert returned_arrivals[-1] > returned_at
        assert max(peaks.values()) <= COLD_SLOTS, peaks

    asyncio.run(scenario())


@pytest.mark.parametrize("pause_s, operators_race", PAUSE_CASES)
def test_node_paused_while_its_data_centre_is_taken_out_sends_nothing(
    tmp_path, pause_s, operators_race
):
    """Guards against a resumed node that acts on its tickets from before.

    The data centre was taken out of service while the node was paused.
    The lease of the node is still valid after a pause of 3 s, and expired
    after one of 9 s.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes):
                await asyncio.sleep(3)
                processes.send_signal(NODE_IN_DC, signal.SIGSTOP)
                paused_at = time.monotonic()
                if operators_race:
                    await asyncio.gather(
                        set_dc(processes, "out"), set_dc(processes, "in")
                    )
                status, output = await set_dc(processes, "out")
                assert status == 0, output
                accepted_at = time.monotonic()
                await asyncio.sleep(max(0, paused_at + pause_s - accepted_at))
                processes.send_signal(NODE_IN_DC, signal.SIGCONT)
                await asyncio.sleep(LEASE_S + 4)
                dc_arrivals = await search_arrivals(
                    processes, searchers_in(DC)
                )
                numbers = await applied_tickets(
                    processes, processes.site.nodes
                )
        late = [
            at - accepted_at
            for at in dc_arrivals
            if at > accepted_at + LEASE_S
        ]
        assert dc_arrivals and not late, late
        assert len(set(numbers) - {None}) == 1, numbers

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", store_fault_cases())
def test_data_centre_stays_out_during_store_faults_and_a_restart(
    tmp_path, fault
):
    """Guards against a ticket that is lost when a node restarts.

    The store is down, slow or answers an older state when the killed node
    starts and reads the tickets again.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            node = processes.site.nodes[2]
            async with running_traffic(processes):
                await asyncio.sleep(2)
                status, output = await set_dc(processes, "out")
                assert status == 0, output
                accepted_at = time.monotonic()
                await asyncio.sleep(1)
                await processes.control_platform(**STORE_FAULTS[fault])
                await asyncio.sleep(3)
                processes.send_signal(node.name, signal.SIGKILL)
                await processes.wait_stopped(node.name)
                await processes.start_node(node)
                await asyncio.sleep(10)
                during = await applied_tickets(processes, processes.site.nodes)
                await processes.control_platform(do="clear_faults")
                await asyncio.sleep(OWNERSHIP_CHANGE_S)
                after = await applied_tickets(processes, [node])
                dc_arrivals = await search_arrivals(
                    processes, searchers_in(DC)
                )
        late = [
            at - accepted_at
            for at in dc_arrivals
            if at > accepted_at + TICKET_APPLY_LIMIT_S
        ]
        assert dc_arrivals and not late, late
        assert 1 in during and set(during) <= {1, None}, during
        assert after == [1]

    asyncio.run(scenario())


@pytest.mark.proves("ticket: spread", "store down", NODE_KILLED)
@pytest.mark.proves("ticket: apply", "store down", NODE_KILLED)
@pytest.mark.proves("search: wait", "store down", NODE_KILLED)
def test_accepted_ticket_survives_loss_of_its_node_and_the_store(tmp_path):
    """Guards against an accepted ticket that only the accepting node has.

    The node is killed and the store goes down right after the answer.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes):
                await asyncio.sleep(2)
                status, output = await set_dc(processes, "out")
                assert status == 0, output
                accepted_at = time.monotonic()
                processes.send_signal("n1", signal.SIGKILL)
                await processes.control_platform(do="set_down")
                await asyncio.sleep(TICKET_APPLY_LIMIT_S)
                others = [processes.site.nodes[i] for i in (2, 3)]
                numbers = await applied_tickets(processes, others)
                await asyncio.sleep(3)
                dc_arrivals = await search_arrivals(
                    processes, searchers_in(DC)
                )
        late = [
            at - accepted_at
            for at in dc_arrivals
            if at > accepted_at + TICKET_APPLY_LIMIT_S
        ]
        assert dc_arrivals and not late, late
        assert 1 in numbers and set(numbers) <= {1, None}, numbers

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", ANSWER_LOST, ANSWER_LOST)
def test_ticket_whose_store_answers_are_lost_twice_is_recorded_once(tmp_path):
    """Guards against a ticket recorded under two numbers, or under none.

    The store made the write, but the node got no answer and writes again.
    """
    entries = [{"type": "name", "name": SEARCHED_NAME, "aliases": ["TTN"]}]
    ticket = tmp_path / "ticket.json"
    ticket.write_text(json.dumps({"entries": entries}))

    async def scenario():
        async with running_site(tmp_path) as processes:
            await processes.control_platform(do="lose_answers", count=2)
            status, output = await processes.run_command(
                "ticket", "submit", str(ticket)
            )
            assert status == 0, output
            await asyncio.sleep(TICKET_APPLY_LIMIT_S)
            nodes = processes.site.nodes
            assert await applied_tickets(processes, nodes) == [1] * 4

    asyncio.run(scenario())


@pytest.mark.proves("ticket: spread", "store slow")
def test_ticket_is_applied_in_time_with_a_slow_store(tmp_path):
    """Guards against a ticket that spreads late because of store reads.

    The store takes 300 ms for each answer.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            await processes.control_platform(do="set_delay", delay_ms=300)
            status, output = await set_dc(processes, "out")
            assert status == 0, output
            await asyncio.sleep(TICKET_APPLY_LIMIT_S)
            nodes = processes.site.nodes
            assert await applied_tickets(processes, nodes) == [1] * 4

    asyncio.run(scenario())
