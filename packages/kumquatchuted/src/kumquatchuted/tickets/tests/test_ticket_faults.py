"""Guards against lost or misreported tickets if faults occur in a step.

The steps are to record a ticket, spread it to the nodes, apply it and write
the compacted view; the faults are those of the fault matrix.
"""

import asyncio

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.tickets.codec import chunk_name
from kumquatchuted.tickets.compaction import read_compacted_view
from kumquatchuted.tickets.compaction import write_compacted_view
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
from kumquatchuted.tickets.view import build_view

FIRST = SubmitTicket(TAKE_DC_OUT.author, TAKE_DC_OUT.entries, 1)
UNKNOWN_OUTCOME = (ErrorKind.OUTCOME_UNKNOWN, False)
ANSWER_LOST = "store answer lost after the write"


@pytest.mark.proves("ticket: record", "node killed")
def test_retry_at_another_node_after_the_creator_was_killed():
    """Guards against a second record when the operator retries elsewhere.

    The store created the record, but the node was killed before its answer.
    """

    async def scenario():
        store = FakeStore(hang_creates=1)
        async with run_cluster(store) as cluster:
            submission = asyncio.create_task(cluster.submit("n1", FIRST))
            await wait_until(lambda: store.names(ObjectKind.TICKETS))
            cluster.kill("n1")
            submission.cancel()
            result = await cluster.submit("n2", FIRST)
            assert isinstance(result, TicketAccepted)
            assert len(store.names(ObjectKind.TICKETS)) == 1

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "connection silent for good")
def test_create_that_is_never_answered_is_read_back():
    """Guards against an unknown outcome of a ticket that is recorded.

    The create takes effect, but the connection goes silent before the answer.
    """

    async def scenario():
        store = FakeStore(hang_creates=1)
        async with run_cluster(store) as cluster:
            assert (await cluster.submit("n1", TAKE_DC_OUT)).number == 1
            assert len(store.names(ObjectKind.TICKETS)) == 1

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", ANSWER_LOST, ANSWER_LOST)
def test_second_lost_answer_is_read_back_as_well():
    """Guards against a second record after two creates without an answer.

    The first create has no effect; the second records the ticket.
    """

    async def scenario():
        store = FakeStore(drop_creates=1, lose_creates=1)
        async with run_cluster(store) as cluster:
            assert (await cluster.submit("n1", TAKE_DC_OUT)).number == 1
            assert len(store.names(ObjectKind.TICKETS)) == 1

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "operators racing", "node killed")
@pytest.mark.parametrize("delay_steps", range(1, 7))
def test_race_with_a_node_that_is_killed_is_answered_correctly(delay_steps):
    """Guards against an acceptance of the ticket that lost the race.

    Two operators submit number 1 on two nodes. The first node is killed at a
    different point in each run, with or without its ticket recorded.
    """

    async def scenario():
        store = FakeStore(delay_s=0.02)
        async with run_cluster(store) as cluster:
            await asyncio.sleep(0.2)
            first_submission = asyncio.create_task(cluster.submit("n1", FIRST))
            other = SubmitTicket("omar", RETURN_DC.entries, 1)
            second_submission = asyncio.create_task(
                cluster.submit("n2", other)
            )
            await asyncio.sleep(0.01 * delay_steps)
            cluster.kill("n1")
            first_submission.cancel()
            result = await second_submission
            await wait_until(lambda: cluster.view("n3"))
            recorded = (await cluster.submit("n3", ShowTicket(1))).ticket
            if recorded.author == "omar":
                assert result.digest == recorded.digest()
            else:
                assert result.kind is ErrorKind.TICKET_TAKEN

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "node paused and resumed")
def test_pause_during_a_create_is_not_reported_as_not_run():
    """Guards against "not run" for a create that takes effect later.

    The node is paused after it sent the create, and its deadline has passed
    when it resumes.
    """

    async def scenario():
        store = FakeStore()
        async with run_cluster(store) as cluster:
            store.delay_s = 0.3
            submission = asyncio.create_task(cluster.submit("n1", TAKE_DC_OUT))
            await wait_until(lambda: store.started_creates)
            cluster.clock_offset_s["n1"] = 60.0
            failure = await submission
            assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
            assert not failure.not_run
            await wait_until(lambda: all(cluster.view(n) for n in NODES))

    asyncio.run(scenario())


@pytest.mark.proves(
    "ticket: record", "lease expired while its holder was paused"
)
@pytest.mark.parametrize("recorded", [True, False])
def test_node_removed_during_its_create_answers_correctly(recorded):
    """Guards against a wrong answer of a node that was removed in a pause.

    Its create may or may not have taken effect, so the outcome is unknown. It
    must not accept its next ticket by counting itself as a holder either.
    """
    others = ("n2", "n3", "n4")

    async def scenario():
        store = FakeStore(hang_creates=int(recorded))
        async with run_cluster(store) as cluster:
            store.delay_s = 0.0 if recorded else 1.0
            submission = asyncio.create_task(cluster.submit("n1", FIRST))
            await wait_until(lambda: store.started_creates)
            store.delay_s = 0.0
            for node in others:
                cluster.set_placement(node, 2, others)
            second = SubmitTicket("omar", RETURN_DC.entries, 1)
            result = await cluster.submit("n2", second)
            assert isinstance(result, TicketAccepted) != recorded
            cluster.clock_offset_s["n1"] = 60.0
            failure = await submission
            assert (failure.kind, failure.not_run) == UNKNOWN_OUTCOME
            cluster.set_placement("n1", 2, others)
            shown = await cluster.submit("n1", ShowTicket(1))
            assert shown.ticket.author == ("amna" if recorded else "omar")
            cluster.isolated.update(("n3", "n4"))
            submission = asyncio.create_task(
                cluster.submit("n1", TAKE_HOST_OUT)
            )
            await wait_until(lambda: cluster.view("n2").number == 2)
            await asyncio.sleep(0.1)
            cluster.clock_offset_s["n1"] = 120.0
            failure = await submission
            assert (failure.kind, failure.not_run) == UNKNOWN_OUTCOME

    asyncio.run(scenario())


@pytest.mark.proves("ticket: spread", "node paused and resumed")
def test_pause_before_the_confirmations_keeps_the_ticket():
    """Guards against a recorded ticket whose outcome stays unknown.

    The node is paused until its deadline, before any node confirmed the
    ticket. A retry with the same number must find it and accept it.
    """

    async def scenario():
        async with run_cluster(FakeStore()) as cluster:
            cluster.isolated.update(NODES)
            submission = asyncio.create_task(cluster.submit("n1", TAKE_DC_OUT))
            await wait_until(lambda: cluster.view("n1"))
            cluster.clock_offset_s["n1"] = 60.0
            failure = await submission
            assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
            cluster.isolated.clear()
            assert isinstance(
                await cluster.submit("n1", FIRST), TicketAccepted
            )
            shown = await cluster.submit("n1", ShowTicket(1))
            assert shown.accepted

    asyncio.run(scenario())


@pytest.mark.proves("ticket: spread", "store down")
@pytest.mark.proves("ticket: spread", "node killed")
@pytest.mark.proves("ticket: spread", "store down", "node killed")
def test_replication_continues_without_the_store_and_a_node():
    """Guards against a recorded ticket that never reaches enough nodes.

    The store goes down directly after the create, and one node is killed, so
    the others can get the ticket only from the node that recorded it.
    """

    async def scenario():
        store = FakeStore(down_after_create=True)
        async with run_cluster(store) as cluster:
            cluster.isolated.update(("n2", "n3", "n4"))
            submission = asyncio.create_task(cluster.submit("n1", TAKE_DC_OUT))
            await wait_until(lambda: store.down)
            cluster.kill("n2")
            cluster.isolated.clear()
            assert isinstance(await submission, TicketAccepted)
            await wait_until(lambda: cluster.view("n3") and cluster.view("n4"))

    asyncio.run(scenario())


@pytest.mark.proves("ticket: apply", "connection silent for good")
def test_poll_finds_tickets_that_unresponsive_links_and_watches_miss():
    """Guards against a node that serves old state when nothing is delivered.

    Its links to peers and its watch go silent without an error.
    """

    async def scenario():
        store = FakeStore(stalled_watches=True)
        async with run_cluster(store) as cluster:
            cluster.isolated.add("n4")
            await cluster.submit("n1", TAKE_DC_OUT)
            assert cluster.view("n4") is None
            await wait_until(lambda: cluster.view("n4"))

    asyncio.run(scenario())


@pytest.mark.proves("ticket: apply", "node killed")
def test_restarted_node_reads_the_log_again():
    """Guards against a node that serves an older view after its restart.

    A ticket was recorded while it was down.
    """

    async def scenario():
        store = FakeStore()
        async with run_cluster(store) as cluster:
            await cluster.submit("n1", TAKE_DC_OUT)
            cluster.kill("n1")
            await cluster.submit("n2", RETURN_DC)
            cluster.start("n1", store)
            await wait_until(
                lambda: cluster.view("n1") and cluster.view("n1").number == 2
            )
            assert cluster.view("n1") == cluster.view("n2")

    asyncio.run(scenario())


@pytest.mark.proves("ticket: compact", "operators racing")
@pytest.mark.proves("ticket: compact", ANSWER_LOST)
def test_two_writers_and_lost_answers_leave_one_usable_head():
    """Guards against a head that names missing chunks, and unused chunks.

    Two nodes write a compacted view at the same time, and an answer is lost.
    """

    async def scenario():
        names = (NameState(f"name {i:06d}", ()) for i in range(20_000))
        view = build_view(60, "d60", names)
        store = FakeStore(lose_creates=1)
        await asyncio.gather(
            write_compacted_view(store, view),
            write_compacted_view(store, view),
        )
        assert await read_compacted_view(store) == view
        # The writer that loses the race for the head deletes its chunks.
        later = build_view(120, "d120", TAKE_DC_OUT.entries)
        last = build_view(121, "d121", TAKE_DC_OUT.entries)
        await asyncio.gather(
            write_compacted_view(store, later),
            write_compacted_view(store, last),
        )
        stored = await read_compacted_view(store)
        chunk = chunk_name(stored.number, 0)
        assert set(store.names(ObjectKind.VIEWS)) == {"head", chunk}

    asyncio.run(scenario())


@pytest.mark.proves("ticket: compact", "store answers older state")
def test_writer_that_sees_older_state_keeps_the_newer_head():
    """Guards against an older compacted view that replaces a newer one.

    The writer reads the head from older state and takes its view for newer.
    """

    async def scenario():
        store = FakeStore()
        first = apply_tickets(
            View(), (Ticket(1, "", "amna", TAKE_DC_OUT.entries),)
        )
        await write_compacted_view(store, first)
        store.stale_objects = dict(store.objects)
        newer = build_view(120, "d120", TAKE_DC_OUT.entries)
        await write_compacted_view(store, newer)
        assert await write_compacted_view(
            store, build_view(60, "d60", RETURN_DC.entries)
        )
        store.stale_objects = None
        assert await read_compacted_view(store) == newer

    asyncio.run(scenario())
