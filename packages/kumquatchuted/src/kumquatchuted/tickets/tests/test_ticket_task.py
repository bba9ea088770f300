"""Guards against tickets that are lost, recorded twice or differ by node."""

import asyncio
from dataclasses import replace

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.peers.codec import encode
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.tickets.codec import chunk_name
from kumquatchuted.tickets.compaction import read_compacted_view
from kumquatchuted.tickets.compaction import write_compacted_view
from kumquatchuted.tickets.compaction_schedule import COMPACTION_GRACE_TICKETS
from kumquatchuted.tickets.messages import PeerHasTicket
from kumquatchuted.tickets.messages import ShowTicket
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketAccepted
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.messages import TicketsUpToDate
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged
from kumquatchuted.tickets.state import MAX_RECENT_TICKETS
from kumquatchuted.tickets.tests.cluster import NODES
from kumquatchuted.tickets.tests.cluster import RETURN_DC
from kumquatchuted.tickets.tests.cluster import run_cluster
from kumquatchuted.tickets.tests.cluster import TAKE_DC_OUT
from kumquatchuted.tickets.tests.cluster import TAKE_HOST_OUT
from kumquatchuted.tickets.tests.cluster import wait_until
from kumquatchuted.tickets.tests.fake_store import FakeStore
from kumquatchuted.tickets.view import apply_tickets
from kumquatchuted.tickets.view import build_view


def test_accepted_ticket_is_applied_on_all_nodes():
    """Guards against nodes that never apply an accepted ticket.

    A node that missed it would send requests to a data centre out of service.
    """

    async def scenario():
        async with run_cluster(FakeStore()) as cluster:
            result = await cluster.submit("n1", TAKE_DC_OUT)
            assert isinstance(result, TicketAccepted)
            await wait_until(lambda: all(cluster.view(n) for n in NODES))
            for node in NODES:
                assert cluster.view(node).dcs_out == {"atl-east"}
                assert cluster.view(node).digest == result.digest
            shown = await cluster.submit("n2", ShowTicket(1))
            assert shown.ticket.author == "amna"
            await wait_until(
                lambda: any(
                    isinstance(m, TicketsUpToDate)
                    for m in cluster.published["n3"]
                )
            )

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "store answer lost after the write")
def test_lost_answer_is_read_back_and_the_ticket_recorded_once():
    """Guards against a ticket that is recorded twice or not at all.

    The create takes effect and its answer is lost, or two creates in a row
    are lost before they take effect.
    """

    async def scenario():
        for faults in ({"lose_creates": 1}, {"drop_creates": 2}):
            store = FakeStore(**faults)
            async with run_cluster(store) as cluster:
                result = await cluster.submit("n1", TAKE_DC_OUT)
                assert result.number == 1
                assert len(store.objects) == 1

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "operators racing")
@pytest.mark.proves("ticket: apply", "operators racing")
def test_two_operators_on_one_key_get_one_acceptance():
    """Guards against two operators who both believe their change applies.

    They set the same key at the same time on two nodes.
    """

    async def scenario():
        async with run_cluster(FakeStore()) as cluster:
            results = await asyncio.gather(
                cluster.submit("n1", TAKE_DC_OUT),
                cluster.submit("n2", RETURN_DC),
            )
            accepted = [r for r in results if isinstance(r, TicketAccepted)]
            taken = [r for r in results if r not in accepted]
            assert len(accepted) == len(taken) == 1
            assert taken[0].kind is ErrorKind.TICKET_TAKEN
            assert taken[0].not_run
            assert "dc/atl-east is" in taken[0].reason
            await wait_until(lambda: all(cluster.view(n) for n in NODES))
            digests = {cluster.view(n).digest for n in NODES}
            assert digests == {accepted[0].digest}

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "store down")
@pytest.mark.proves("ticket: apply", "store down")
def test_store_outage_refuses_submissions_but_peers_share_tickets():
    """Guards against a node that stays without tickets in a store outage.

    It starts during the outage, and a peer holds the ticket. New submissions
    are refused as not run, because they need the store.
    """

    async def scenario():
        store = FakeStore()
        async with run_cluster(store, NODES[:3]) as cluster:
            accepted = await cluster.submit("n1", TAKE_DC_OUT)
            await wait_until(lambda: all(cluster.view(n) for n in NODES[:3]))
            store.down = True
            failure = await cluster.submit("n2", RETURN_DC)
            assert failure.kind is ErrorKind.UNAVAILABLE
            assert failure.not_run
            cluster.start("n4", store)
            cluster.nodes["n4"].mailbox.post(
                PeerHasTicket("n1", 1, accepted.digest)
            )
            await wait_until(lambda: cluster.view("n4"))
            assert cluster.view("n4").dcs_out == {"atl-east"}

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "node killed")
def test_too_few_reachable_nodes_refuse_before_the_create():
    """Guards against a record that cannot get enough holders.

    Its operator would get an unknown outcome in place of a refusal, which
    shows that nothing was recorded.
    """

    async def scenario():
        store = FakeStore()
        async with run_cluster(store, NODES[:2]) as cluster:
            cluster.nodes["n1"].mailbox.post(LinkDown("n2"))
            failure = await cluster.submit("n1", TAKE_DC_OUT)
            assert failure.kind is ErrorKind.TOO_FEW_NODES
            assert failure.not_run
            assert not store.objects

    asyncio.run(scenario())


@pytest.mark.proves("ticket: spread", "connection silent for good")
def test_recorded_ticket_that_nobody_confirms_has_an_unknown_outcome():
    """Guards against an acceptance of a ticket that only one node holds.

    The only other running node is isolated. A majority of nodes could stay
    current without the ticket.
    """

    async def scenario():
        async with run_cluster(FakeStore(), NODES[:2]) as cluster:
            cluster.isolated.add("n2")
            failure = await cluster.submit("n1", TAKE_DC_OUT)
            assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
            assert not failure.not_run
            assert "only 1 of 4 nodes" in failure.reason
            repeated = await cluster.submit(
                "n1", SubmitTicket(TAKE_DC_OUT.author, TAKE_DC_OUT.entries, 1)
            )
            assert repeated.kind is ErrorKind.OUTCOME_UNKNOWN
            cluster.isolated.clear()
            repeated = await cluster.submit(
                "n1", SubmitTicket(TAKE_DC_OUT.author, TAKE_DC_OUT.entries, 1)
            )
            assert isinstance(repeated, TicketAccepted)

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "store slow")
def test_unresponsive_store_does_not_block_the_mailbox():
    """Guards against requests that wait behind a call to the store.

    A recent ticket is shown from memory while a submission waits for a store
    that does not answer.
    """

    async def scenario():
        store = FakeStore()
        async with run_cluster(store) as cluster:
            await cluster.submit("n1", TAKE_DC_OUT)
            store.unresponsive = True
            submission = asyncio.create_task(cluster.submit("n1", RETURN_DC))
            await asyncio.sleep(0.05)
            async with asyncio.timeout(0.2):
                shown = await cluster.submit("n1", ShowTicket(1))
            assert shown.ticket.number == 1
            failure = await submission
            assert failure.kind is ErrorKind.UNAVAILABLE

    asyncio.run(scenario())


def test_new_node_starts_from_the_compacted_view():
    """Guards against a start that takes longer with every ticket.

    A new node reads the view compacted at ticket 100 and only the two tickets
    after it, not the whole log.
    """

    async def scenario():
        store = FakeStore()
        async with run_cluster(store, NODES[:3]) as cluster:
            for number in range(1, 103):
                name = NameState(f"name {number}", (f"alias {number}",))
                result = await cluster.submit(
                    NODES[number % 2], SubmitTicket("amna", (name,), number)
                )
                assert result.number == number
            await wait_until(
                lambda: (
                    [n for _, n in store.objects if "view-" in n]
                    == ["view-0000000100-0000"]
                )
            )
            cluster.start("n4", store)
            await wait_until(
                lambda: cluster.view("n4") and cluster.view("n4").number == 102
            )
            assert cluster.view("n4") == cluster.view("n1")
            first = next(
                m
                for m in cluster.published["n4"]
                if isinstance(m, ViewChanged)
            )
            assert first.view.number == 100

    asyncio.run(scenario())


@pytest.mark.proves("ticket: compact", "node killed")
def test_later_creator_compacts_after_a_crash_of_the_first():
    """Guards against a log that is never compacted after one crash.

    The node that created ticket 50 crashes before it writes the view; the
    node that creates ticket 60 writes it.
    """

    async def scenario():
        store = FakeStore()
        async with run_cluster(store, NODES[:3]) as cluster:
            for number in range(1, 50):
                name = (NameState(f"name {number}", ()),)
                await cluster.submit("n1", SubmitTicket("amna", name))
            # Ticket 50 is recorded, but its creator crashed before compaction.
            last = cluster.view("n1")
            ticket = Ticket(50, last.digest, "omar", TAKE_DC_OUT.entries)
            store.put_ticket(ticket)
            await wait_until(lambda: cluster.view("n2").number == 50)
            assert store.names(ObjectKind.VIEWS) == []
            for _ in range(COMPACTION_GRACE_TICKETS):
                assert store.names(ObjectKind.VIEWS) == []
                await cluster.submit("n2", RETURN_DC)
            await wait_until(lambda: "head" in store.names(ObjectKind.VIEWS))
            assert await read_compacted_view(store) == cluster.view("n2")

    asyncio.run(scenario())


@pytest.mark.proves("ticket: compact", "store down")
def test_head_is_unchanged_when_the_writer_stops_between_chunks():
    """Guards against a head that names chunks that were not written.

    The store goes down between two chunks of a new view. Readers get the
    previous view until a later write succeeds and deletes its chunk.
    """

    async def scenario():
        store = FakeStore()
        small = apply_tickets(
            View(), (Ticket(1, "", "amna", TAKE_DC_OUT.entries),)
        )
        assert await write_compacted_view(store, small) is None
        aliases = tuple(f"{i:06d}" for i in range(100_000))
        large = build_view(60, "d60", (NameState("Nguyen", aliases),))
        store.fail_after = 3
        assert isinstance(await write_compacted_view(store, large), Failure)
        store.fail_after = None
        assert await read_compacted_view(store) == small
        assert await write_compacted_view(store, large) is None
        assert await read_compacted_view(store) == large
        assert chunk_name(1, 0) not in store.names(ObjectKind.VIEWS)

    asyncio.run(scenario())


def test_node_without_the_store_gets_the_view_from_peers():
    """Guards against a node that cannot start without the store.

    Its peers no longer have the oldest tickets in memory, so they send it the
    whole view. It must not report its log as up to date.
    """

    async def scenario():
        store = FakeStore()
        prev, count = "", MAX_RECENT_TICKETS + 30
        for number in range(1, count + 1):
            name = (NameState(f"name {number}", (f"alias {number}",)),)
            ticket = Ticket(number, prev, "amna", name)
            prev = ticket.digest()
            store.put_ticket(ticket)
        async with run_cluster(store, NODES[:2]) as cluster:
            await wait_until(
                lambda: (
                    cluster.view("n1") and cluster.view("n1").number == count
                )
            )
            cluster.start("n3", FakeStore(down=True))
            await wait_until(lambda: cluster.view("n3"))
            assert cluster.view("n3") == cluster.view("n1")
            assert not any(
                isinstance(m, TicketsUpToDate) for m in cluster.published["n3"]
            )

    asyncio.run(scenario())


def test_ticket_near_the_size_limit_reaches_all_nodes():
    """Guards against a recorded ticket that is too large for a peer message.

    It could never be sent to other nodes or be accepted.
    """

    async def scenario():
        aliases = tuple(f"{i:088d}" for i in range(9_800))
        request = SubmitTicket("amna", (NameState("Nguyen", aliases),))
        async with run_cluster(FakeStore()) as cluster:
            result = await cluster.submit("n1", request)
            assert isinstance(result, TicketAccepted)
            await wait_until(lambda: all(cluster.view(n) for n in NODES))
            notice = TicketNotice(Ticket(1, "", "amna", request.entries))
            assert isinstance(encode(notice), bytes)
            longer = replace(
                request.entries[0], aliases=aliases + aliases[:300]
            )
            failure = await cluster.submit(
                "n1", SubmitTicket("amna", (longer,))
            )
            assert failure.kind is ErrorKind.TOO_LARGE
            assert failure.not_run

    asyncio.run(scenario())


@pytest.mark.proves("ticket: record", "store answers older state")
@pytest.mark.proves("ticket: spread", "store answers older state")
@pytest.mark.proves("ticket: apply", "store answers older state")
def test_store_that_answers_with_older_state_changes_nothing():
    """Guards against a view that goes back to older state.

    Reads return the state before ticket 2. A submission must not be decided on
    them either.
    """

    async def scenario():
        store = FakeStore()
        async with run_cluster(store) as cluster:
            await cluster.submit("n1", TAKE_DC_OUT)
            store.stale_objects = dict(store.objects)
            result = await cluster.submit("n2", TAKE_HOST_OUT)
            assert isinstance(result, TicketAccepted)
            await wait_until(
                lambda: all(cluster.view(n).number == 2 for n in NODES)
            )
            failure = await cluster.submit("n1", RETURN_DC)
            assert failure.kind is ErrorKind.UNAVAILABLE
            assert "older" in failure.reason
            assert cluster.view("n1").number == 2
            store.stale_objects = None
            assert (await cluster.submit("n1", RETURN_DC)).number == 3

    asyncio.run(scenario())
