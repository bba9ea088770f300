"""Guards single decisions of the log and of a submission."""

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
from kumquatchuted.tickets.actions import ReadNext
from kumquatchuted.tickets.actions import ReadRecord
from kumquatchuted.tickets.actions import Reply
from kumquatchuted.tickets.actions import Tell
from kumquatchuted.tickets.actions import TellView
from kumquatchuted.tickets.actions import WatchTickets
from kumquatchuted.tickets.events import Asked
from kumquatchuted.tickets.events import CreateDone
from kumquatchuted.tickets.events import CreateOutcome
from kumquatchuted.tickets.events import HeadRead
from kumquatchuted.tickets.events import MembersKnown
from kumquatchuted.tickets.events import NextRead
from kumquatchuted.tickets.events import PeerSaid
from kumquatchuted.tickets.events import PeerUp
from kumquatchuted.tickets.events import RecordRead
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
from kumquatchuted.tickets.state import KEPT_TICKETS
from kumquatchuted.tickets.state import Log

OUT = (DcState("a", False),)
LOST = Failure(ErrorKind.OUTCOME_UNKNOWN, "lost")


class Node:
    """A log that is fed with events; keeps the actions of the last one."""

    def __init__(self, tickets=(), nodes=("n1", "n2", "n3", "n4"), up=("n2",)):
        self.log, self.actions = Log("n1", frozenset({"a", "b"})), ()
        self.feed(MembersKnown(frozenset(nodes)))
        for node in up:
            self.feed(PeerUp(node, "i1"))
        self.feed(HeadRead(None))
        self.feed(NextRead(tuple(tickets), 0.0, complete=True))

    def feed(self, event, now=0.0):
        after = step(self.log, event, now)
        self.log, self.actions = after.log, after.actions
        return self

    def did(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def submit(self, entries=OUT, number=None, author="amna", ask=1):
        self.feed(Asked(ask, SubmitTicket(author, entries, number)))
        if self.did(ReadNext):
            self.feed(NextRead((), 0.0, True, own=True, for_submit=True))
        return self

    def result(self):
        (reply,) = self.did(Reply)
        return reply.result


def chain(count, entries=OUT):
    tickets, prev = [], ""
    for number in range(1, count + 1):
        tickets.append(Ticket(number, prev, "amna", entries))
        prev = tickets[-1].digest()
    return tickets


def test_gap_is_refused_and_names_the_next_number():
    fault = Node(chain(2)).submit(number=5).result()
    assert (fault.kind, fault.not_run) == (ErrorKind.TICKET_GAP, True)
    assert "the next number is 3" in fault.reason


def test_repeat_with_the_same_content_is_accepted_without_a_create():
    node = Node(chain(2)).submit(number=1)
    assert not node.did(CreateTicket)
    node.feed(PeerSaid("n2", TicketHeld(2, node.log.view.digest)))
    assert node.result() == TicketAccepted(1, chain(2)[0].digest())


def test_repeat_with_other_content_is_told_what_stands():
    fault = Node(chain(2)).submit((DcState("a", True),), number=1).result()
    assert (fault.kind, fault.not_run) == (ErrorKind.TICKET_TAKEN, True)
    assert "dc/a is out" in fault.reason


def test_old_number_is_compared_with_its_record():
    tickets = chain(KEPT_TICKETS + 2)
    node = Node(tickets).submit(number=1)
    assert node.did(ReadRecord) == [ReadRecord(1)]
    node.feed(RecordRead(1, None, tickets[0]))
    node.feed(PeerHasTicket("n2", tickets[-1].number, tickets[-1].digest()))
    assert isinstance(node.result(), TicketAccepted)


@pytest.mark.parametrize(
    "entries, number, kind",
    [
        ((DcState("zz", False),), None, ErrorKind.UNKNOWN_DC),
        ((), None, ErrorKind.MALFORMED),
        (OUT, 0, ErrorKind.MALFORMED),
    ],
)
def test_faulty_submission_is_refused_before_the_store(entries, number, kind):
    node = Node().submit(entries, number)
    assert (node.result().kind, node.result().not_run) == (kind, True)
    assert not node.did(ReadNext)


@pytest.mark.proves("ticket: record", "store answers older state")
def test_store_without_our_newest_ticket_takes_no_new_one():
    node = Node(chain(2)).feed(Asked(1, SubmitTicket("amna", OUT)))
    node.feed(NextRead((), 0.0, True, own=False, for_submit=True))
    assert node.result().kind is ErrorKind.UNAVAILABLE
    assert not node.did(CreateTicket)


@pytest.mark.proves("ticket: record", "operators racing")
def test_number_taken_meanwhile_moves_on_only_past_other_keys():
    other = Ticket(1, "", "omar", (HostState("h", False),))
    for entries, moves in ((OUT, True), (other.entries, False)):
        node = Node().submit(entries)
        (create,) = node.did(CreateTicket)
        node.feed(CreateDone(create.ticket, CreateOutcome.EXISTS))
        node.feed(RecordRead(1, None, other))
        if moves:
            assert node.did(CreateTicket)[0].ticket.number == 2
        else:
            assert node.result().kind is ErrorKind.TICKET_TAKEN


@pytest.mark.proves("ticket: record", "store answer lost after the write")
@pytest.mark.proves(
    "ticket: record", "store down", "store answer lost after the write"
)
def test_lost_answer_is_never_reported_as_not_run():
    node = Node().submit()
    (create,) = node.did(CreateTicket)
    node.feed(CreateDone(create.ticket, LOST))
    down = Failure(ErrorKind.UNAVAILABLE, "down", not_run=True)
    node.feed(RecordRead(1, None, down))
    node.feed(Tick(), 1.0)
    assert node.did(ReadRecord) == [ReadRecord(1)]
    node.feed(Tick(), 6.0)
    (reply,) = node.did(Reply)
    assert reply.result.kind is ErrorKind.OUTCOME_UNKNOWN
    assert not reply.result.not_run


@pytest.mark.proves("ticket: record", "store answer lost after the write")
@pytest.mark.proves(
    "ticket: record", "store down", "store answer lost after the write"
)
def test_absent_record_after_a_lost_answer_is_created_again():
    node = Node().submit()
    (create,) = node.did(CreateTicket)
    node.feed(CreateDone(create.ticket, LOST))
    absent = Failure(ErrorKind.NOT_FOUND, "absent", not_run=True)
    node.feed(RecordRead(1, None, absent)).feed(Tick(), 1.0)
    assert node.did(CreateTicket) == [create]
    # A refusal of the second create says nothing about the first one.
    down = Failure(ErrorKind.UNAVAILABLE, "down", not_run=True)
    node.feed(CreateDone(create.ticket, down), 1.0)
    assert not node.did(Reply)
    node.feed(RecordRead(1, None, create.ticket), 1.0)
    assert node.log.view.number == 1


def test_recorded_ticket_is_told_again_until_a_node_confirms():
    node = Node().submit()
    (create,) = node.did(CreateTicket)
    node.feed(CreateDone(create.ticket, CreateOutcome.CREATED))
    notice = Tell("n2", TicketNotice(create.ticket))
    assert node.did(Tell) == [notice]
    assert notice in node.feed(Tick(), 1.0).did(Tell)
    wrong = TicketHeld(1, "another digest")
    assert not node.feed(PeerSaid("n2", wrong), 1.0).did(Reply)
    held = TicketHeld(1, create.ticket.digest())
    node.feed(PeerSaid("n2", held), 1.0)
    assert node.result().number == 1


@pytest.mark.proves("ticket: spread", "store answers older state")
def test_read_that_misses_a_ticket_of_a_peer_proves_nothing():
    node = Node(chain(1))
    node.feed(PeerHasTicket("n2", 2, chain(2)[1].digest()))
    assert node.did(Tell) == [Tell("n2", FetchTickets(1))]
    node.feed(NextRead((), 2.0, complete=True))
    assert not [
        p for p in node.did(Publish) if p.message == TicketsUpToDate(2.0)
    ]
    node.feed(PeerSaid("n2", TicketBatch(tuple(chain(2)))))
    node.feed(NextRead((), 4.0, complete=True))
    assert Publish(TicketsUpToDate(4.0)) in node.actions


def test_record_that_breaks_the_chain_is_logged_and_not_applied():
    node = Node(chain(1))
    forged = replace(chain(2)[1], prev="other")
    node.feed(NextRead((forged,), 2.0, complete=True))
    assert node.log.view.number == 1
    assert node.did(LogLine)[0].level.value == "error"
    assert not node.did(Publish)
    again = replace(chain(1)[0], author="omar")
    node.feed(PeerSaid("n2", TicketNotice(again)))
    assert node.log.view.digest == chain(1)[0].digest()
    assert not [t for t in node.did(Tell) if isinstance(t.message, TicketHeld)]


def test_peer_that_lacks_old_tickets_gets_the_view():
    tickets = chain(KEPT_TICKETS + 5)
    node = Node(tickets).feed(PeerSaid("n2", FetchTickets(0)))
    assert node.actions == (TellView("n2", node.log.view),)
    node.feed(PeerSaid("n2", FetchTickets(KEPT_TICKETS)))
    (tell,) = node.did(Tell)
    assert tell.message.tickets == tuple(tickets[KEPT_TICKETS:])


def test_only_two_nodes_of_a_large_cell_watch():
    large = [f"n{i}" for i in range(1, 9)]
    for nodes, watches in (
        (["n1", "n2", "n3", "n4"], True),
        (large, True),
        (["m1", "m2", *large], False),
    ):
        node = Node(nodes=nodes).feed(Tick(), 1.0)
        assert bool(node.did(WatchTickets)) == watches


def test_read_that_stopped_before_the_end_proves_nothing():
    node = Node().feed(Tick(), 2.0)
    node.feed(NextRead(tuple(chain(2)), 2.0, complete=False), 2.0)
    assert node.log.view.number == 2
    assert node.did(ReadNext)
    assert Publish(TicketsUpToDate(2.0)) not in node.actions


def test_report_that_cannot_be_checked_or_is_outdated_confirms_nothing():
    tickets = chain(2)
    digest = tickets[1].digest()
    node = Node(tickets).submit(number=2)
    node.feed(PeerHasTicket("n2", 3, "unknown chain"))
    assert not node.did(Reply)
    node = Node(tickets).feed(PeerHasTicket("n2", 2, digest))
    node.feed(PeerUp("n2", "restarted")).submit(number=2)
    assert not node.did(Reply)
    assert not node.feed(PeerHasTicket("n2", 1, tickets[0].digest())).did(
        Reply
    )
    assert node.feed(PeerHasTicket("n2", 2, digest)).did(Reply)


@pytest.mark.proves("ticket: spread", "operators racing")
def test_second_of_two_racing_tickets_is_held_only_after_the_first():
    """Guards against a confirmation of a ticket that is not in force."""
    first, second = chain(2)
    node = Node().feed(PeerSaid("n2", TicketNotice(second)))
    told = [action.message for action in node.did(Tell)]
    assert told == [FetchTickets(0)]
    node.feed(PeerSaid("n3", TicketNotice(first)))
    held = TicketHeld(1, first.digest())
    assert held in [action.message for action in node.did(Tell)]
    node.feed(PeerSaid("n2", TicketNotice(second)), 1.0)
    held = TicketHeld(2, second.digest())
    assert node.did(Tell) == [Tell("n2", held)]
    # What lost the race for the number in the store is never confirmed.
    lost = replace(second, author="other")
    assert not node.feed(PeerSaid("n4", TicketNotice(lost)), 2.0).did(Tell)


def test_ticket_is_held_by_enough_nodes_of_older_epochs_too():
    """Guards against nodes of an older epoch that work without a ticket.

    A node with the store removes others that it cannot reach, while these
    keep each other current.
    """
    node = Node(up=("n2",))
    older = (frozenset({"n1", "n2", "n3", "n4"}),)
    node.feed(MembersKnown(frozenset({"n1", "n5"}), older))
    node.submit()
    (create,) = node.did(CreateTicket)
    digest = create.ticket.digest()
    node.feed(CreateDone(create.ticket, CreateOutcome.CREATED))
    assert not node.did(Reply)
    assert node.feed(PeerHasTicket("n2", 1, digest)).did(Reply)
    alone = Node(up=()).feed(MembersKnown(frozenset({"n1", "n5"}), older))
    assert alone.submit().result().kind is ErrorKind.TOO_FEW_NODES
