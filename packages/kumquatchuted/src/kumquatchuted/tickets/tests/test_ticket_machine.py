"""Guards against wrong answers to submissions under any order of faults.

A state machine runs three nodes with a model of the store. Store calls and
peer messages complete in any order, are delayed or lost, or return older
state, and nodes restart. The answers of the nodes are compared with the
content of the store.
"""

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies as st
import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import HostState
from kumquatchute_model.ticket import NameState
from kumquatchuted.tickets.actions import CreateTicket
from kumquatchuted.tickets.actions import Publish
from kumquatchuted.tickets.actions import ReadCompactedView
from kumquatchuted.tickets.actions import ReadNewTickets
from kumquatchuted.tickets.actions import ReadRecord
from kumquatchuted.tickets.actions import Reply
from kumquatchuted.tickets.actions import SendPeer
from kumquatchuted.tickets.actions import SendView
from kumquatchuted.tickets.events import CompactedViewRead
from kumquatchuted.tickets.events import CreateDone
from kumquatchuted.tickets.events import CreateOutcome
from kumquatchuted.tickets.events import MembershipChanged
from kumquatchuted.tickets.events import NewTicketsRead
from kumquatchuted.tickets.events import PeerDown
from kumquatchuted.tickets.events import PeerMessage
from kumquatchuted.tickets.events import PeerUp
from kumquatchuted.tickets.events import RecordRead
from kumquatchuted.tickets.events import RequestReceived
from kumquatchuted.tickets.events import Tick
from kumquatchuted.tickets.events import TicketDelivered
from kumquatchuted.tickets.events import ViewReceived
from kumquatchuted.tickets.log import step
from kumquatchuted.tickets.messages import PeerHasTicket
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketAccepted
from kumquatchuted.tickets.messages import TicketsUpToDate
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.state import TicketLog
from kumquatchuted.tickets.view import apply_tickets

NODES = ("n1", "n2", "n3")
REQUIRED_HOLDERS = 2
UNAVAILABLE = Failure(ErrorKind.UNAVAILABLE, "down", not_run=True)
NOT_FOUND = Failure(ErrorKind.NOT_FOUND, "absent", not_run=True)
OUTCOME_UNKNOWN = Failure(ErrorKind.OUTCOME_UNKNOWN, "lost")
ENTRIES = (
    (DcState("a", False),),
    (DcState("a", True),),
    (HostState("h", False),),
    (NameState("N", ("M",)), HostState("h", True)),
)
nodes = st.sampled_from(NODES)


class TicketMachine(RuleBasedStateMachine):
    """Three nodes, a model of the store and the network between the nodes."""

    @initialize()
    def start_cluster(self):
        self.now = 0.0
        self.store, self.head, self.views = [], None, [View()]
        self.logs, self.calls, self.messages, self.delayed_creates = (
            {},
            [],
            [],
            [],
        )
        self.incarnations = dict.fromkeys(NODES, 0)
        self.pending, self.failures, self.submissions = {}, {}, []
        for node in NODES:
            self.start_node(node)

    def start_node(self, node):
        self.incarnations[node] += 1
        self.calls = [call for call in self.calls if call[0] != node]
        self.pending = {a: s for a, s in self.pending.items() if s[0] != node}
        self.logs[node] = TicketLog(node, frozenset("a"))
        self.handle(node, MembershipChanged(frozenset(NODES)))
        for other in NODES:
            if other != node and other in self.logs:
                self.connect(node, other)

    def connect(self, node, other):
        self.handle(node, PeerUp(other, str(self.incarnations[other])))
        self.handle(other, PeerUp(node, str(self.incarnations[node])))

    def handle(self, node, event, min_number=0):
        previous = self.logs[node].view.number
        after = step(self.logs[node], event, self.now)
        self.logs[node] = after.log
        assert after.log.view.number >= previous
        for action in after.actions:
            match action:
                case SendPeer(node=to, message=message):
                    self.messages.append((node, to, message))
                case SendView(node=to, view=view):
                    self.messages.append((node, to, view))
                case Reply(request_id=request_id, result=result):
                    self.check_reply(request_id, result)
                case Publish(message=TicketsUpToDate()):
                    assert after.log.view.number >= min_number
                case (
                    ReadCompactedView()
                    | ReadNewTickets()
                    | ReadRecord()
                    | CreateTicket()
                ):
                    self.calls.append((node, action))

    def check_reply(self, request_id, result):
        _, author = self.pending.pop(request_id)
        match result:
            case TicketAccepted(number=number, digest=digest):
                recorded = self.store[number - 1]
                assert recorded.digest() == digest
                assert recorded.author == author
                holding = [
                    log.node
                    for log in self.logs.values()
                    if log.view.number >= number
                ]
                # A node that restarted after its confirmation may lack the
                # ticket.
                restarted = sum(
                    incarnation > 1
                    for incarnation in self.incarnations.values()
                )
                assert len(holding) + restarted >= REQUIRED_HOLDERS
            case Failure(not_run=not_run):
                self.failures[author] = not_run

    @rule(
        node=nodes, entries=st.sampled_from(ENTRIES), offset=st.integers(-2, 3)
    )
    def submit(self, node, entries, offset):
        newest = self.logs[node].view.number
        number = None if offset == 3 else max(1, newest + offset)
        request_id = len(self.submissions) + 1
        author = f"operator {request_id}"
        self.submissions.append((author, entries, number))
        self.pending[request_id] = (node, author)
        self.handle(
            node,
            RequestReceived(request_id, SubmitTicket(author, entries, number)),
        )

    @precondition(lambda self: self.calls)
    @rule(
        data=st.data(),
        missing_tickets=st.sampled_from((0, 0, 0, 1, 2)),
        fault=st.sampled_from(("none", "down", "delayed", "answer lost")),
    )
    def answer_call(self, data, missing_tickets, fault):
        """Answer a pending call to the store, possibly with a fault.

        :param missing_tickets: number of the newest tickets that a read does
            not return
        """
        # Creates are drawn first, because their faults are the critical ones.
        creates = [c for c in self.calls if isinstance(c[1], CreateTicket)]
        call = data.draw(st.sampled_from(creates or self.calls))
        self.calls.remove(call)
        node, action = call
        visible = self.store[: max(0, len(self.store) - missing_tickets)]
        event = self.answer_for(action, visible, fault)
        self.handle(
            node, event, min_number=0 if missing_tickets else len(self.store)
        )

    @rule(creates=st.booleans())
    def run_without_faults(self, creates):
        """Run pending calls and messages without faults.

        :param creates: True to run creates as well
        """
        for node, action in self.take_all("calls"):
            if isinstance(action, CreateTicket) and not creates:
                self.calls.append((node, action))
                continue
            event = self.answer_for(action, self.store, "none")
            self.handle(node, event, min_number=len(self.store))
        for sender, to, message in self.take_all("messages"):
            self.deliver_message(sender, to, message)

    def answer_for(self, action, visible, fault):
        match action:
            case CreateTicket(ticket=ticket):
                return CreateDone(ticket, self.create(ticket, fault))
            case ReadCompactedView():
                return CompactedViewRead(
                    self.head if fault == "none" else UNAVAILABLE
                )
            case ReadRecord(number=number, request_id=request_id):
                found = (
                    visible[number - 1]
                    if number <= len(visible)
                    else NOT_FOUND
                )
                return RecordRead(
                    number,
                    request_id,
                    found if fault == "none" else UNAVAILABLE,
                )
            case ReadNewTickets(
                after=after, digest=digest, for_submit=for_submit
            ):
                holds_newest = None
                if for_submit and after:
                    holds_newest = (
                        after <= len(visible)
                        and visible[after - 1].digest() == digest
                    )
                failure = None if fault == "none" else UNAVAILABLE
                return NewTicketsRead(
                    tuple(visible[after:]),
                    self.now,
                    failure is None,
                    failure,
                    holds_newest,
                    for_submit,
                )

    def create(self, ticket, fault):
        match fault:
            case "down":
                return UNAVAILABLE
            case "delayed":
                self.delayed_creates.append(ticket)
                return OUTCOME_UNKNOWN
            case "answer lost":
                self.record_ticket(ticket)
                return OUTCOME_UNKNOWN
        return self.record_ticket(ticket)

    def record_ticket(self, ticket):
        if ticket.number <= len(self.store):
            return CreateOutcome.EXISTS
        assert ticket.number == len(self.store) + 1
        self.store.append(ticket)
        self.views.append(apply_tickets(self.views[-1], (ticket,)))
        return CreateOutcome.CREATED

    @precondition(lambda self: self.delayed_creates)
    @rule(data=st.data(), takes_effect=st.booleans())
    def finish_delayed_create(self, data, takes_effect):
        index = data.draw(st.integers(0, len(self.delayed_creates) - 1))
        ticket = self.delayed_creates.pop(index)
        if takes_effect:
            self.record_ticket(ticket)

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), lost=st.booleans(), twice=st.booleans())
    def deliver(self, data, lost, twice):
        index = data.draw(st.integers(0, len(self.messages) - 1))
        sender, to, message = self.messages.pop(index)
        for _ in range(0 if lost else 1 + twice):
            self.deliver_message(sender, to, message)

    def deliver_message(self, sender, to, message):
        if isinstance(message, View):
            self.handle(to, ViewReceived(sender, message))
        else:
            self.handle(to, PeerMessage(sender, message))

    @rule(node=nodes, other=nodes, up=st.booleans())
    def change_link(self, node, other, up):
        if node == other:
            return
        if up:
            self.connect(node, other)
        else:
            self.handle(node, PeerDown(other))

    @rule(node=nodes, other=nodes)
    def report_ticket(self, node, other):
        view = self.logs[other].view
        if node != other:
            self.handle(node, PeerHasTicket(other, view.number, view.digest))

    @precondition(lambda self: self.store)
    @rule(node=nodes, data=st.data())
    def watch(self, node, data):
        """Deliver any recorded ticket, as the watch of a node would."""
        ticket = data.draw(st.sampled_from(self.store))
        self.handle(node, TicketDelivered(ticket))

    @rule(node=nodes, restarts=st.sampled_from((False, False, False, True)))
    def restart(self, node, restarts):
        """Restart a node in one of four draws."""
        if restarts:
            self.start_node(node)

    @rule(node=nodes)
    def compact(self, node):
        view = self.logs[node].view
        if view.number > (self.head.number if self.head else 0):
            self.head = view

    @rule(duration_s=st.sampled_from((0.3, 1.0, 3.0, 6.0)))
    def wait(self, duration_s):
        self.now += duration_s
        for node in NODES:
            self.handle(node, Tick())

    @invariant()
    def every_view_is_a_state_of_the_store(self):
        for log in self.logs.values():
            assert log.view == self.views[log.view.number]
            assert log.view.spellings == self.views[log.view.number].spellings

    @invariant()
    def not_run_is_true_and_nothing_is_recorded_twice(self):
        authors = [ticket.author for ticket in self.store]
        assert len(set(authors)) == len(authors)
        for author, not_run in self.failures.items():
            assert not (not_run and author in authors)

    def teardown(self):
        """Check that all requests are answered and all nodes agree.

        This holds once no further faults occur.
        """
        if not hasattr(self, "logs"):
            return
        self.delayed_creates.clear()
        for node in NODES:
            for other in NODES:
                if node < other:
                    self.connect(node, other)
        for _ in range(40):
            self.now += 0.5
            for node in NODES:
                self.handle(node, Tick())
            self.run_without_faults(creates=True)
        assert not self.pending
        for log in self.logs.values():
            assert log.view == self.views[-1]
        self.not_run_is_true_and_nothing_is_recorded_twice()

    def take_all(self, attribute):
        items, remaining = getattr(self, attribute), []
        setattr(self, attribute, remaining)
        return items


TestTicketMachine = TicketMachine.TestCase
TestTicketMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=250, stateful_step_count=50
)
TestTicketMachine.pytestmark = [
    pytest.mark.proves("ticket: record", "store down"),
    pytest.mark.proves("ticket: record", "store answer lost after the write"),
    pytest.mark.proves("ticket: record", "store answers older state"),
    pytest.mark.proves("ticket: record", "operators racing"),
    pytest.mark.proves("ticket: record", "node killed"),
    pytest.mark.proves(
        "ticket: record",
        "store answer lost after the write",
        "store answer lost after the write",
    ),
    pytest.mark.proves("ticket: record", "operators racing", "node killed"),
    pytest.mark.proves("ticket: spread", "store down"),
    pytest.mark.proves("ticket: spread", "store answers older state"),
    pytest.mark.proves("ticket: spread", "node killed"),
    pytest.mark.proves("ticket: spread", "store down", "node killed"),
    pytest.mark.proves("ticket: apply", "store answers older state"),
    pytest.mark.proves("ticket: apply", "operators racing"),
    pytest.mark.proves("ticket: apply", "node killed"),
]
