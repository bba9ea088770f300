"""Guards against tickets lost or misreported when faults strike a step."""

import asyncio

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.tickets.codec import chunk_name
from kumquatchuted.tickets.compaction import read_head
from kumquatchuted.tickets.compaction import write_view
from kumquatchuted.tickets.messages import ShowTicket
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketAccepted
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.tests.cluster import NODES
from kumquatchuted.tickets.tests.cluster import RETURN_DC
from kumquatchuted.tickets.tests.cluster import run_cluster
from kumquatchuted.tickets.tests.cluster import TAKE_DC_OUT
from kumquatchuted.tickets.tests.cluster import TAKE_HOST_OUT
from kumquatchuted.tickets.tests.cluster import wait_until
from kumquatchuted.tickets.tests.fake_store import FakeStore
from kumquatchuted.tickets.view import apply_tickets
from kumquatchuted.tickets.view import build

FIRST = SubmitTicket(TAKE_DC_OUT.author, TAKE_DC_OUT.entries, 1)
UNKNOWN = (ErrorKind.OUTCOME_UNKNOWN, False)
LOST = "store answer lost after the write"


@pytest.mark.proves("ticket: record", "node killed")
def test_repeat_at_another_node_after_the_recorder_was_killed():
    async def scenario():
        store = FakeStore(hang_creates=1)
        async with run_cluster(store) as made:
            waiting = asyncio.create_task(made.submit("n1", FIRST))
            await wait_until(lambda: store.names(ObjectKind.TICKETS))
            made.kill("n1")
            waiting.cancel()
            result = await made.submit("n2", FIRST)
            assert isinstance(result, TicketAccepted)
            assert len(store.names(ObjectKind.TICKETS)) == 1

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "connection silent for good")
def test_create_that_is_never_answered_is_read_back():
    async def scenario():
        store = FakeStore(hang_creates=1)
        async with run_cluster(store) as made:
            assert (await made.submit("n1", TAKE_DC_OUT)).number == 1
            assert len(store.names(ObjectKind.TICKETS)) == 1

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", LOST, LOST)
def test_second_lost_answer_is_read_back_as_well():
    async def scenario():
        store = FakeStore(drop_creates=1, lose_creates=1)
        async with run_cluster(store) as made:
            assert (await made.submit("n1", TAKE_DC_OUT)).number == 1
            assert len(store.names(ObjectKind.TICKETS)) == 1

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "operators racing", "node killed")
@pytest.mark.parametrize("calls", range(1, 7))
def test_race_with_a_node_that_is_killed_is_answered_truthfully(calls):
    async def scenario():
        store = FakeStore(delay_s=0.02)
        async with run_cluster(store) as made:
            await asyncio.sleep(0.2)
            lost = asyncio.create_task(made.submit("n1", FIRST))
            other = SubmitTicket("omar", RETURN_DC.entries, 1)
            kept = asyncio.create_task(made.submit("n2", other))
            await asyncio.sleep(0.01 * calls)
            made.kill("n1")
            lost.cancel()
            result = await kept
            await wait_until(lambda: made.view("n3"))
            recorded = (await made.submit("n3", ShowTicket(1))).ticket
            if recorded.author == "omar":
                assert result.digest == recorded.digest()
            else:
                assert result.kind is ErrorKind.TICKET_TAKEN

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "node paused and resumed")
def test_pause_with_a_create_on_its_way_is_not_reported_as_not_run():
    async def scenario():
        store = FakeStore()
        async with run_cluster(store) as made:
            store.delay_s = 0.3
            waiting = asyncio.create_task(made.submit("n1", TAKE_DC_OUT))
            await wait_until(lambda: store.creates_begun)
            made.ahead_s["n1"] = 60.0
            fault = await waiting
            assert fault.kind is ErrorKind.OUTCOME_UNKNOWN
            assert not fault.not_run
            await wait_until(lambda: all(made.view(n) for n in NODES))

    asyncio.run(scenario())


@pytest.mark.proves(
    "ticket: record", "lease expired while its holder was paused"
)
@pytest.mark.parametrize("recorded", [True, False])
def test_recorder_removed_in_a_pause_answers_truthfully(recorded):
    """Guards against an untrue answer, and against counting a non-member."""
    others = ("n2", "n3", "n4")

    async def scenario():
        store = FakeStore(hang_creates=int(recorded))
        async with run_cluster(store) as made:
            store.delay_s = 0.0 if recorded else 1.0
            waiting = asyncio.create_task(made.submit("n1", FIRST))
            await wait_until(lambda: store.creates_begun)
            store.delay_s = 0.0
            for node in others:
                made.place(node, 2, others)
            second = SubmitTicket("omar", RETURN_DC.entries, 1)
            result = await made.submit("n2", second)
            assert isinstance(result, TicketAccepted) != recorded
            made.ahead_s["n1"] = 60.0
            fault = await waiting
            assert (fault.kind, fault.not_run) == UNKNOWN
            made.place("n1", 2, others)
            shown = await made.submit("n1", ShowTicket(1))
            assert shown.ticket.author == ("amna" if recorded else "omar")
            made.cut.update(("n3", "n4"))
            waiting = asyncio.create_task(made.submit("n1", TAKE_HOST_OUT))
            await wait_until(lambda: made.view("n2").number == 2)
            await asyncio.sleep(0.1)
            made.ahead_s["n1"] = 120.0
            fault = await waiting
            assert (fault.kind, fault.not_run) == UNKNOWN

    asyncio.run(scenario())


@pytest.mark.proves("ticket: spread", "node paused and resumed")
def test_pause_before_the_confirmations_leaves_a_ticket_that_can_be_shown():
    async def scenario():
        async with run_cluster(FakeStore()) as made:
            made.cut.update(NODES)
            waiting = asyncio.create_task(made.submit("n1", TAKE_DC_OUT))
            await wait_until(lambda: made.view("n1"))
            made.ahead_s["n1"] = 60.0
            fault = await waiting
            assert fault.kind is ErrorKind.OUTCOME_UNKNOWN
            made.cut.clear()
            assert isinstance(await made.submit("n1", FIRST), TicketAccepted)
            shown = await made.submit("n1", ShowTicket(1))
            assert shown.accepted

    asyncio.run(scenario())


@pytest.mark.proves("ticket: spread", "store down")
@pytest.mark.proves("ticket: spread", "node killed")
@pytest.mark.proves("ticket: spread", "store down", "node killed")
def test_spread_goes_on_without_the_store_and_a_node():
    async def scenario():
        store = FakeStore(down_after_create=True)
        async with run_cluster(store) as made:
            made.cut.update(("n2", "n3", "n4"))
            waiting = asyncio.create_task(made.submit("n1", TAKE_DC_OUT))
            await wait_until(lambda: store.down)
            made.kill("n2")
            made.cut.clear()
            assert isinstance(await waiting, TicketAccepted)
            await wait_until(lambda: made.view("n3") and made.view("n4"))

    asyncio.run(scenario())


@pytest.mark.proves("ticket: apply", "connection silent for good")
def test_poll_finds_what_silent_links_and_watches_do_not_deliver():
    async def scenario():
        store = FakeStore(silent_watches=True)
        async with run_cluster(store) as made:
            made.cut.add("n4")
            await made.submit("n1", TAKE_DC_OUT)
            assert made.view("n4") is None
            await wait_until(lambda: made.view("n4"))

    asyncio.run(scenario())


@pytest.mark.proves("ticket: apply", "node killed")
def test_restarted_node_reads_the_log_again():
    async def scenario():
        store = FakeStore()
        async with run_cluster(store) as made:
            await made.submit("n1", TAKE_DC_OUT)
            made.kill("n1")
            await made.submit("n2", RETURN_DC)
            made.start("n1", store)
            await wait_until(
                lambda: made.view("n1") and made.view("n1").number == 2
            )
            assert made.view("n1") == made.view("n2")

    asyncio.run(scenario())


@pytest.mark.proves("ticket: compact", "operators racing")
@pytest.mark.proves("ticket: compact", LOST)
def test_two_writers_and_lost_answers_leave_one_usable_head():
    async def scenario():
        names = (NameState(f"name {i:06d}", ()) for i in range(20_000))
        view = build(60, "d60", names)
        store = FakeStore(lose_creates=1)
        await asyncio.gather(write_view(store, view), write_view(store, view))
        assert await read_head(store) == view
        # The writer that loses the race for the head leaves nothing behind.
        later = build(120, "d120", TAKE_DC_OUT.entries)
        last = build(121, "d121", TAKE_DC_OUT.entries)
        await asyncio.gather(write_view(store, later), write_view(store, last))
        kept = await read_head(store)
        chunk = chunk_name(kept.number, 0)
        assert set(store.names(ObjectKind.VIEWS)) == {"head", chunk}

    asyncio.run(scenario())


@pytest.mark.proves("ticket: compact", "store answers older state")
def test_writer_that_sees_older_state_keeps_the_newer_head():
    async def scenario():
        store = FakeStore()
        first = apply_tickets(
            View(), (Ticket(1, "", "amna", TAKE_DC_OUT.entries),)
        )
        await write_view(store, first)
        store.stale_objects = dict(store.objects)
        newer = build(120, "d120", TAKE_DC_OUT.entries)
        await write_view(store, newer)
        assert await write_view(store, build(60, "d60", RETURN_DC.entries))
        store.stale_objects = None
        assert await read_head(store) == newer

    asyncio.run(scenario())
