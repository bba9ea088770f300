"""Guards against wrong single decisions of the log and of a submission."""

from dataclasses import replace

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import HostState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.tickets.actions import CreateTicket
from kumquatchuted.tickets.actions import LogLine
from kumquatchuted.tickets.actions import Publish
from kumquatchuted.tickets.actions import ReadNewTickets
from kumquatchuted.tickets.actions import ReadRecord
from kumquatchuted.tickets.actions import Reply
from kumquatchuted.tickets.actions import SendPeer
from kumquatchuted.tickets.actions import SendView
from kumquatchuted.tickets.actions import WatchTickets
from kumquatchuted.tickets.events import CompactedViewRead
from kumquatchuted.tickets.events import CreateDone
from kumquatchuted.tickets.events import CreateOutcome
from kumquatchuted.tickets.events import MembershipChanged
from kumquatchuted.tickets.events import NewTicketsRead
from kumquatchuted.tickets.events import PeerMessage
from kumquatchuted.tickets.events import PeerUp
from kumquatchuted.tickets.events import RecordRead
from kumquatchuted.tickets.events import RequestReceived
from kumquatchuted.tickets.events import Tick
from kumquatchuted.tickets.log import step
from kumquatchuted.tickets.messages import FetchTickets
from kumquatchuted.tickets.messages import PeerHasTicket
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketAccepted
from kumquatchuted.tickets.messages import TicketBatch
from kumquatchuted.tickets.messages import TicketHeld
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.messages import TicketsUpToDate
from kumquatchuted.tickets.state import MAX_RECENT_TICKETS
from kumquatchuted.tickets.state import TicketLog

TAKE_DC_OUT = (DcState("a", False),)
OUTCOME_UNKNOWN = Failure(ErrorKind.OUTCOME_UNKNOWN, "lost")


class LogDriver:
    """Feeds a log with events and keeps the actions of the last event."""

    def __init__(
        self, tickets=(), nodes=("n1", "n2", "n3", "n4"), reachable=("n2",)
    ):
        self.log, self.actions = TicketLog("n1", frozenset({"a", "b"})), ()
        self.handle(MembershipChanged(frozenset(nodes)))
        for node in reachable:
            self.handle(PeerUp(node, "i1"))
        self.handle(CompactedViewRead(None))
        self.handle(NewTicketsRead(tuple(tickets), 0.0, complete=True))

    def handle(self, event, now=0.0):
        next_step = step(self.log, event, now)
        self.log, self.actions = next_step.log, next_step.actions
        return self

    def actions_of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def submit(
        self, entries=TAKE_DC_OUT, number=None, author="amna", request_id=1
    ):
        self.handle(
            RequestReceived(request_id, SubmitTicket(author, entries, number))
        )
        if self.actions_of(ReadNewTickets):
            self.handle(
                NewTicketsRead(
                    (), 0.0, True, holds_newest=True, for_submit=True
                )
            )
        return self

    def result(self):
        (reply,) = self.actions_of(Reply)
        return reply.result


def build_chain(count, entries=TAKE_DC_OUT):
    tickets, prev = [], ""
    for number in range(1, count + 1):
        tickets.append(Ticket(number, prev, "amna", entries))
        prev = tickets[-1].digest()
    return tickets


def test_gap_is_refused_with_the_next_number():
    """Guards against a log with a missing number.

    No node applies a ticket after a gap, so no later change would take effect.
    """
    failure = LogDriver(build_chain(2)).submit(number=5).result()
    assert (failure.kind, failure.not_run) == (ErrorKind.TICKET_GAP, True)
    assert "the next number is 3" in failure.reason


def test_retry_with_the_same_content_is_accepted_without_a_create():
    """Guards against a retry that is refused or recorded twice.

    An operator whose answer was lost sends the same number and entries again.
    """
    node = LogDriver(build_chain(2)).submit(number=1)
    assert not node.actions_of(CreateTicket)
    node.handle(PeerMessage("n2", TicketHeld(2, node.log.view.digest)))
    assert node.result() == TicketAccepted(1, build_chain(2)[0].digest())


def test_retry_with_other_content_is_refused_with_the_current_state():
    """Guards against an operator who is told that other content is recorded.

    Ticket 1 of another submission is compared with this one by content, not
    by number alone; the refusal states what holds for its key now.
    """
    failure = (
        LogDriver(build_chain(2))
        .submit((DcState("a", True),), number=1)
        .result()
    )
    assert (failure.kind, failure.not_run) == (ErrorKind.TICKET_TAKEN, True)
    assert "dc/a is out" in failure.reason


def test_old_number_is_compared_with_its_record():
    """Guards against a refused retry of a ticket that is no longer in memory.

    The node keeps only the newest tickets, so it must read the record.
    """
    tickets = build_chain(MAX_RECENT_TICKETS + 2)
    node = LogDriver(tickets).submit(number=1)
    assert node.actions_of(ReadRecord) == [ReadRecord(1)]
    node.handle(RecordRead(1, None, tickets[0]))
    node.handle(PeerHasTicket("n2", tickets[-1].number, tickets[-1].digest()))
    assert isinstance(node.result(), TicketAccepted)


@pytest.mark.parametrize(
    "entries, number, kind",
    [
        ((DcState("zz", False),), None, ErrorKind.UNKNOWN_DC),
        ((), None, ErrorKind.MALFORMED),
        (TAKE_DC_OUT, 0, ErrorKind.MALFORMED),
    ],
)
def test_invalid_submission_is_refused_without_a_store_call(
    entries, number, kind
):
    """Guards against a record that no node can apply.

    A record in the store is never removed, so the check comes before any call.
    """
    node = LogDriver().submit(entries, number)
    assert (node.result().kind, node.result().not_run) == (kind, True)
    assert not node.actions_of(ReadNewTickets)


@pytest.mark.proves("ticket: record", "store answers older state")
def test_store_that_lacks_the_newest_ticket_gets_no_create():
    """Guards against a create that is decided on older state of the store.

    Such a read lacks newer tickets, with which the submission may conflict.
    """
    node = LogDriver(build_chain(2)).handle(
        RequestReceived(1, SubmitTicket("amna", TAKE_DC_OUT))
    )
    node.handle(
        NewTicketsRead((), 0.0, True, holds_newest=False, for_submit=True)
    )
    assert node.result().kind is ErrorKind.UNAVAILABLE
    assert not node.actions_of(CreateTicket)


@pytest.mark.proves("ticket: record", "operators racing")
def test_lost_race_takes_the_next_number_only_for_other_keys():
    """Guards against overwriting a change that the operator did not see.

    Two operators submit without a number, and the other ticket is recorded
    first.
    """
    other = Ticket(1, "", "omar", (HostState("h", False),))
    for entries, takes_next_number in (
        (TAKE_DC_OUT, True),
        (other.entries, False),
    ):
        node = LogDriver().submit(entries)
        (create,) = node.actions_of(CreateTicket)
        node.handle(CreateDone(create.ticket, CreateOutcome.EXISTS))
        node.handle(RecordRead(1, None, other))
        if takes_next_number:
            assert node.actions_of(CreateTicket)[0].ticket.number == 2
        else:
            assert node.result().kind is ErrorKind.TICKET_TAKEN


@pytest.mark.proves("ticket: record", "store answer lost after the write")
@pytest.mark.proves(
    "ticket: record", "store down", "store answer lost after the write"
)
def test_lost_answer_is_never_reported_as_not_run():
    """Guards against "not run" for a ticket that may be recorded.

    The answer to the create is lost, and the store is down until the deadline.
    An operator who is told "not run" would submit the change a second time.
    """
    node = LogDriver().submit()
    (create,) = node.actions_of(CreateTicket)
    node.handle(CreateDone(create.ticket, OUTCOME_UNKNOWN))
    down = Failure(ErrorKind.UNAVAILABLE, "down", not_run=True)
    node.handle(RecordRead(1, None, down))
    node.handle(Tick(), 1.0)
    assert node.actions_of(ReadRecord) == [ReadRecord(1)]
    node.handle(Tick(), 6.0)
    (reply,) = node.actions_of(Reply)
    assert reply.result.kind is ErrorKind.OUTCOME_UNKNOWN
    assert not reply.result.not_run


@pytest.mark.proves("ticket: record", "store answer lost after the write")
@pytest.mark.proves(
    "ticket: record", "store down", "store answer lost after the write"
)
def test_absent_record_after_a_lost_answer_is_created_again():
    """Guards against a submission that fails although a retry is safe.

    The create was lost before it took effect, or takes effect later. Its name
    is unique, so a second create cannot record the ticket twice.
    """
    node = LogDriver().submit()
    (create,) = node.actions_of(CreateTicket)
    node.handle(CreateDone(create.ticket, OUTCOME_UNKNOWN))
    absent = Failure(ErrorKind.NOT_FOUND, "absent", not_run=True)
    node.handle(RecordRead(1, None, absent)).handle(Tick(), 1.0)
    assert node.actions_of(CreateTicket) == [create]
    # The failure of the second create does not show the outcome of the first.
    down = Failure(ErrorKind.UNAVAILABLE, "down", not_run=True)
    node.handle(CreateDone(create.ticket, down), 1.0)
    assert not node.actions_of(Reply)
    node.handle(RecordRead(1, None, create.ticket), 1.0)
    assert node.log.view.number == 1


def test_notice_is_sent_again_until_a_node_confirms():
    """Guards against an unknown outcome after one lost notice.

    The ticket is recorded, but the node that it needs as a holder never
    received the notice. A confirmation of another digest does not count.
    """
    node = LogDriver().submit()
    (create,) = node.actions_of(CreateTicket)
    node.handle(CreateDone(create.ticket, CreateOutcome.CREATED))
    notice = SendPeer("n2", TicketNotice(create.ticket))
    assert node.actions_of(SendPeer) == [notice]
    assert notice in node.handle(Tick(), 1.0).actions_of(SendPeer)
    wrong_digest = TicketHeld(1, "another digest")
    assert not node.handle(PeerMessage("n2", wrong_digest), 1.0).actions_of(
        Reply
    )
    held = TicketHeld(1, create.ticket.digest())
    node.handle(PeerMessage("n2", held), 1.0)
    assert node.result().number == 1


@pytest.mark.proves("ticket: spread", "store answers older state")
def test_read_that_misses_a_ticket_of_a_peer_is_not_up_to_date():
    """Guards against a node that stays current without the newest ticket.

    The store answers a poll with older state, while a peer already reported a
    newer ticket.
    """
    node = LogDriver(build_chain(1))
    node.handle(PeerHasTicket("n2", 2, build_chain(2)[1].digest()))
    assert node.actions_of(SendPeer) == [SendPeer("n2", FetchTickets(1))]
    node.handle(NewTicketsRead((), 2.0, complete=True))
    assert not [
        p
        for p in node.actions_of(Publish)
        if p.message == TicketsUpToDate(2.0)
    ]
    node.handle(PeerMessage("n2", TicketBatch(tuple(build_chain(2)))))
    node.handle(NewTicketsRead((), 4.0, complete=True))
    assert Publish(TicketsUpToDate(4.0)) in node.actions


def test_record_that_breaks_the_chain_is_logged_and_not_applied():
    """Guards against views that differ between nodes.

    A record with another previous digest, or a peer's ticket with other
    content under a known number, would give this node a state of its own.
    """
    node = LogDriver(build_chain(1))
    forged = replace(build_chain(2)[1], prev="other")
    node.handle(NewTicketsRead((forged,), 2.0, complete=True))
    assert node.log.view.number == 1
    assert node.actions_of(LogLine)[0].level.value == "error"
    assert not node.actions_of(Publish)
    altered = replace(build_chain(1)[0], author="omar")
    node.handle(PeerMessage("n2", TicketNotice(altered)))
    assert node.log.view.digest == build_chain(1)[0].digest()
    assert not [
        t
        for t in node.actions_of(SendPeer)
        if isinstance(t.message, TicketHeld)
    ]


def test_peer_that_lacks_old_tickets_gets_the_view():
    """Guards against a peer that cannot catch up while the store is down.

    Its missing tickets are older than those that this node has in memory.
    """
    tickets = build_chain(MAX_RECENT_TICKETS + 5)
    node = LogDriver(tickets).handle(PeerMessage("n2", FetchTickets(0)))
    assert node.actions == (SendView("n2", node.log.view),)
    node.handle(PeerMessage("n2", FetchTickets(MAX_RECENT_TICKETS)))
    (send,) = node.actions_of(SendPeer)
    assert send.message.tickets == tuple(tickets[MAX_RECENT_TICKETS:])


def test_only_two_nodes_of_a_large_membership_watch():
    """Guards against a store that is loaded with one watch per node.

    It counts each pending watch as a call; the other nodes get tickets from
    the two that watch.
    """
    large_membership = [f"n{i}" for i in range(1, 9)]
    for nodes, watches in (
        (["n1", "n2", "n3", "n4"], True),
        (large_membership, True),
        (["m1", "m2", *large_membership], False),
    ):
        node = LogDriver(nodes=nodes).handle(Tick(), 1.0)
        assert bool(node.actions_of(WatchTickets)) == watches


def test_read_that_stopped_before_the_end_is_not_up_to_date():
    """Guards against a node that counts as current without the newest tickets.

    A read ends at its limit of tickets; only a read to the end of the log
    shows that none is missing.
    """
    node = LogDriver().handle(Tick(), 2.0)
    node.handle(
        NewTicketsRead(tuple(build_chain(2)), 2.0, complete=False), 2.0
    )
    assert node.log.view.number == 2
    assert node.actions_of(ReadNewTickets)
    assert Publish(TicketsUpToDate(2.0)) not in node.actions


def test_report_that_cannot_be_checked_or_is_outdated_confirms_nothing():
    """Guards against an acceptance that counts a node without the ticket.

    The peer reports a ticket that this node lacks, so that its chain may
    differ, or it restarted after its report and may hold fewer tickets.
    """
    tickets = build_chain(2)
    digest = tickets[1].digest()
    node = LogDriver(tickets).submit(number=2)
    node.handle(PeerHasTicket("n2", 3, "unknown chain"))
    assert not node.actions_of(Reply)
    node = LogDriver(tickets).handle(PeerHasTicket("n2", 2, digest))
    node.handle(PeerUp("n2", "restarted")).submit(number=2)
    assert not node.actions_of(Reply)
    assert not node.handle(
        PeerHasTicket("n2", 1, tickets[0].digest())
    ).actions_of(Reply)
    assert node.handle(PeerHasTicket("n2", 2, digest)).actions_of(Reply)


@pytest.mark.proves("ticket: spread", "operators racing")
def test_notice_is_confirmed_only_after_the_ticket_before_it():
    """Guards against a confirmation of a ticket that is not applied.

    The notice of ticket 2 arrives before that of ticket 1. A ticket would be
    accepted with too few holders.
    """
    first, second = build_chain(2)
    node = LogDriver().handle(PeerMessage("n2", TicketNotice(second)))
    sent = [action.message for action in node.actions_of(SendPeer)]
    assert sent == [FetchTickets(0)]
    node.handle(PeerMessage("n3", TicketNotice(first)))
    held = TicketHeld(1, first.digest())
    assert held in [action.message for action in node.actions_of(SendPeer)]
    node.handle(PeerMessage("n2", TicketNotice(second)), 1.0)
    held = TicketHeld(2, second.digest())
    assert node.actions_of(SendPeer) == [SendPeer("n2", held)]
    # A ticket that lost the race for the number is never confirmed.
    lost = replace(second, author="other")
    assert not node.handle(
        PeerMessage("n4", TicketNotice(lost)), 2.0
    ).actions_of(SendPeer)


def test_ticket_needs_enough_holders_in_older_epochs_too():
    """Guards against nodes of an older epoch that work without a ticket.

    A node that reaches the store can remove members that it cannot reach,
    while these still keep each other current.
    """
    node = LogDriver(reachable=("n2",))
    older_epochs = (frozenset({"n1", "n2", "n3", "n4"}),)
    node.handle(MembershipChanged(frozenset({"n1", "n5"}), older_epochs))
    node.submit()
    (create,) = node.actions_of(CreateTicket)
    digest = create.ticket.digest()
    node.handle(CreateDone(create.ticket, CreateOutcome.CREATED))
    assert not node.actions_of(Reply)
    assert node.handle(PeerHasTicket("n2", 1, digest)).actions_of(Reply)
    isolated = LogDriver(reachable=()).handle(
        MembershipChanged(frozenset({"n1", "n5"}), older_epochs)
    )
    assert isolated.submit().result().kind is ErrorKind.TOO_FEW_NODES
