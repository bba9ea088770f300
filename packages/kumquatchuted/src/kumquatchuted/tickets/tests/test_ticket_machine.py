"""Guards the submission protocol under any order of faults.

A machine of three nodes over a model of the store. Store calls and peer
messages are carried out in any order, late, lost or with older state; nodes
restart. What the nodes answer is compared with what the store holds.
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
from kumquatchuted.tickets.actions import ReadHead
from kumquatchuted.tickets.actions import ReadNext
from kumquatchuted.tickets.actions import ReadRecord
from kumquatchuted.tickets.actions import Reply
from kumquatchuted.tickets.actions import Tell
from kumquatchuted.tickets.actions import TellView
from kumquatchuted.tickets.events import Asked
from kumquatchuted.tickets.events import CreateDone
from kumquatchuted.tickets.events import CreateOutcome
from kumquatchuted.tickets.events import HeadRead
from kumquatchuted.tickets.events import MembersKnown
from kumquatchuted.tickets.events import NextRead
from kumquatchuted.tickets.events import PeerDown
from kumquatchuted.tickets.events import PeerSaid
from kumquatchuted.tickets.events import PeerUp
from kumquatchuted.tickets.events import RecordRead
from kumquatchuted.tickets.events import Tick
from kumquatchuted.tickets.events import TicketSeen
from kumquatchuted.tickets.events import ViewFetched
from kumquatchuted.tickets.log import step
from kumquatchuted.tickets.messages import PeerHasTicket
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketAccepted
from kumquatchuted.tickets.messages import TicketsUpToDate
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.state import Log
from kumquatchuted.tickets.view import apply_tickets

NODES = ("n1", "n2", "n3")
NEEDED = 2
DOWN = Failure(ErrorKind.UNAVAILABLE, "down", not_run=True)
ABSENT = Failure(ErrorKind.NOT_FOUND, "absent", not_run=True)
LOST = Failure(ErrorKind.OUTCOME_UNKNOWN, "lost")
ENTRIES = (
    (DcState("a", False),),
    (DcState("a", True),),
    (HostState("h", False),),
    (NameState("N", ("M",)), HostState("h", True)),
)
nodes = st.sampled_from(NODES)


class TicketMachine(RuleBasedStateMachine):
    """Three nodes, the store and the network between them."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.store, self.head, self.views = [], None, [View()]
        self.logs, self.calls, self.mail, self.late = {}, [], [], []
        self.lives = dict.fromkeys(NODES, 0)
        self.asks, self.refused, self.told = {}, {}, []
        for node in NODES:
            self.boot(node)

    def boot(self, node):
        self.lives[node] += 1
        self.calls = [call for call in self.calls if call[0] != node]
        self.asks = {a: s for a, s in self.asks.items() if s[0] != node}
        self.logs[node] = Log(node, frozenset("a"))
        self.feed(node, MembersKnown(frozenset(NODES)))
        for other in NODES:
            if other != node and other in self.logs:
                self.link(node, other)

    def link(self, one, other):
        self.feed(one, PeerUp(other, str(self.lives[other])))
        self.feed(other, PeerUp(one, str(self.lives[one])))

    def feed(self, node, event, floor=0):
        before = self.logs[node].view.number
        after = step(self.logs[node], event, self.now)
        self.logs[node] = after.log
        assert after.log.view.number >= before
        for action in after.actions:
            match action:
                case Tell(node=to, message=message):
                    self.mail.append((node, to, message))
                case TellView(node=to, view=view):
                    self.mail.append((node, to, view))
                case Reply(ask=ask, result=result):
                    self.replied(ask, result)
                case Publish(message=TicketsUpToDate()):
                    assert after.log.view.number >= floor
                case ReadHead() | ReadNext() | ReadRecord() | CreateTicket():
                    self.calls.append((node, action))

    def replied(self, ask, result):
        _, author = self.asks.pop(ask)
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
                # A node that restarted since it confirmed may lack it.
                restarted = sum(life > 1 for life in self.lives.values())
                assert len(holding) + restarted >= NEEDED
            case Failure(not_run=not_run):
                self.refused[author] = not_run

    @rule(
        node=nodes, entries=st.sampled_from(ENTRIES), ahead=st.integers(-2, 3)
    )
    def submit(self, node, entries, ahead):
        newest = self.logs[node].view.number
        number = None if ahead == 3 else max(1, newest + ahead)
        ask = len(self.told) + 1
        author = f"operator {ask}"
        self.told.append((author, entries, number))
        self.asks[ask] = (node, author)
        self.feed(node, Asked(ask, SubmitTicket(author, entries, number)))

    @precondition(lambda self: self.calls)
    @rule(
        data=st.data(),
        older=st.sampled_from((0, 0, 0, 1, 2)),
        fault=st.sampled_from(("none", "down", "lost", "effect")),
    )
    def answer_call(self, data, older, fault):
        # Creates come first, because faults in them matter most.
        creates = [c for c in self.calls if isinstance(c[1], CreateTicket)]
        call = data.draw(st.sampled_from(creates or self.calls))
        self.calls.remove(call)
        node, action = call
        shown = self.store[: max(0, len(self.store) - older)]
        event = self.outcome(action, shown, fault)
        self.feed(node, event, floor=0 if older else len(self.store))

    @rule(creates=st.booleans())
    def work(self, creates):
        """Carry out what waits without faults; creates only if asked for."""
        for node, action in self.take("calls"):
            if isinstance(action, CreateTicket) and not creates:
                self.calls.append((node, action))
                continue
            event = self.outcome(action, self.store, "none")
            self.feed(node, event, floor=len(self.store))
        for sender, to, message in self.take("mail"):
            self.hand_over(sender, to, message)

    def outcome(self, action, shown, fault):
        match action:
            case CreateTicket(ticket=ticket):
                return CreateDone(ticket, self.create(ticket, fault))
            case ReadHead():
                return HeadRead(self.head if fault == "none" else DOWN)
            case ReadRecord(number=number, ask=ask):
                found = shown[number - 1] if number <= len(shown) else ABSENT
                return RecordRead(
                    number, ask, found if fault == "none" else DOWN
                )
            case ReadNext(after=after, digest=digest, for_submit=submits):
                own = None
                if submits and after:
                    own = (
                        after <= len(shown)
                        and shown[after - 1].digest() == digest
                    )
                failure = None if fault == "none" else DOWN
                return NextRead(
                    tuple(shown[after:]),
                    self.now,
                    failure is None,
                    failure,
                    own,
                    submits,
                )

    def create(self, ticket, fault):
        match fault:
            case "down":
                return DOWN
            case "lost":
                self.late.append(ticket)
                return LOST
            case "effect":
                self.record(ticket)
                return LOST
        return self.record(ticket)

    def record(self, ticket):
        if ticket.number <= len(self.store):
            return CreateOutcome.EXISTS
        assert ticket.number == len(self.store) + 1
        self.store.append(ticket)
        self.views.append(apply_tickets(self.views[-1], (ticket,)))
        return CreateOutcome.CREATED

    @precondition(lambda self: self.late)
    @rule(data=st.data(), arrives=st.booleans())
    def late_create(self, data, arrives):
        index = data.draw(st.integers(0, len(self.late) - 1))
        ticket = self.late.pop(index)
        if arrives:
            self.record(ticket)

    @precondition(lambda self: self.mail)
    @rule(data=st.data(), lost=st.booleans(), twice=st.booleans())
    def deliver(self, data, lost, twice):
        index = data.draw(st.integers(0, len(self.mail) - 1))
        sender, to, message = self.mail.pop(index)
        for _ in range(0 if lost else 1 + twice):
            self.hand_over(sender, to, message)

    def hand_over(self, sender, to, message):
        if isinstance(message, View):
            self.feed(to, ViewFetched(sender, message))
        else:
            self.feed(to, PeerSaid(sender, message))

    @rule(node=nodes, other=nodes, up=st.booleans())
    def change_link(self, node, other, up):
        if node == other:
            return
        if up:
            self.link(node, other)
        else:
            self.feed(node, PeerDown(other))

    @rule(node=nodes, other=nodes)
    def confirm(self, node, other):
        view = self.logs[other].view
        if node != other:
            self.feed(node, PeerHasTicket(other, view.number, view.digest))

    @precondition(lambda self: self.store)
    @rule(node=nodes, data=st.data())
    def watch(self, node, data):
        ticket = data.draw(st.sampled_from(self.store))
        self.feed(node, TicketSeen(ticket))

    @rule(node=nodes, sure=st.sampled_from((False, False, False, True)))
    def restart(self, node, sure):
        if sure:
            self.boot(node)

    @rule(node=nodes)
    def compact(self, node):
        view = self.logs[node].view
        if view.number > (self.head.number if self.head else 0):
            self.head = view

    @rule(seconds=st.sampled_from((0.3, 1.0, 3.0, 6.0)))
    def wait(self, seconds):
        self.now += seconds
        for node in NODES:
            self.feed(node, Tick())

    @invariant()
    def every_view_is_a_state_of_the_store(self):
        for log in self.logs.values():
            assert log.view == self.views[log.view.number]
            assert log.view.names == self.views[log.view.number].names

    @invariant()
    def not_run_is_true_and_nothing_is_recorded_twice(self):
        authors = [ticket.author for ticket in self.store]
        assert len(set(authors)) == len(authors)
        for author, not_run in self.refused.items():
            assert not (not_run and author in authors)

    def teardown(self):
        """Without further faults every question is answered, all agree."""
        if not hasattr(self, "logs"):
            return
        self.late.clear()
        for node in NODES:
            for other in NODES:
                if node < other:
                    self.link(node, other)
        for _ in range(40):
            self.now += 0.5
            for node in NODES:
                self.feed(node, Tick())
            self.work(creates=True)
        assert not self.asks
        for log in self.logs.values():
            assert log.view == self.views[-1]
        self.not_run_is_true_and_nothing_is_recorded_twice()

    def take(self, name):
        taken, empty = getattr(self, name), []
        setattr(self, name, empty)
        return taken


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
