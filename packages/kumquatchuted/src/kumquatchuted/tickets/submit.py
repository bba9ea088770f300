"""State machine of a submission, from the operator's request to the answer.

One submission at a time is recorded; the others wait in the queue. The create
of the record is the commit. Once it is recorded, the next one starts, and the
answer waits until enough members hold the ticket.
"""

from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import check_entries
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import entry_key
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket import TicketEntry
from kumquatchuted.tickets.actions import CreateTicket
from kumquatchuted.tickets.actions import Level
from kumquatchuted.tickets.actions import LogLine
from kumquatchuted.tickets.actions import ReadNext
from kumquatchuted.tickets.actions import ReadRecord
from kumquatchuted.tickets.actions import Reply
from kumquatchuted.tickets.actions import Tell
from kumquatchuted.tickets.chain import extend
from kumquatchuted.tickets.chain import joined
from kumquatchuted.tickets.events import CreateDone
from kumquatchuted.tickets.events import CreateOutcome
from kumquatchuted.tickets.events import NextRead
from kumquatchuted.tickets.events import RecordRead
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.refusals import expired
from kumquatchuted.tickets.refusals import RECORD_LIMIT_S
from kumquatchuted.tickets.refusals import refusal
from kumquatchuted.tickets.refusals import taken
from kumquatchuted.tickets.refusals import too_slow
from kumquatchuted.tickets.schedule import compact
from kumquatchuted.tickets.spreading import begin_spread
from kumquatchuted.tickets.spreading import tick_spreading
from kumquatchuted.tickets.state import Checking
from kumquatchuted.tickets.state import Comparing
from kumquatchuted.tickets.state import Creating
from kumquatchuted.tickets.state import find
from kumquatchuted.tickets.state import Log
from kumquatchuted.tickets.state import needed
from kumquatchuted.tickets.state import Pausing
from kumquatchuted.tickets.state import peers_up
from kumquatchuted.tickets.state import reachable
from kumquatchuted.tickets.state import ReadingBack
from kumquatchuted.tickets.state import Step
from kumquatchuted.tickets.state import too_few_reachable
from kumquatchuted.tickets.state import Waiting

RETRY_S = 0.25
MAX_WAITING = 64
MAX_NUMBER = 9_999_999_999


def submit(log: Log, ask: int, request: SubmitTicket, now: float) -> Step:
    """Take a submission in, or refuse it at once."""
    if fault := _check(log, request):
        return Step(log, (Reply(ask, fault),))
    waiting = Waiting(ask, request, now + RECORD_LIMIT_S)
    return start_next(replace(log, queue=(*log.queue, waiting)), now)


def start_next(log: Log, now: float) -> Step:
    """Start on the first submission of the queue if none is active."""
    if log.active is not None or not log.queue:
        return Step(log)
    waiting, *rest = log.queue
    log = replace(log, queue=tuple(rest))
    number = waiting.request.number
    if number is not None and number <= log.view.number:
        return _decide(log, waiting, now)
    read = ReadNext(log.view.number, log.view.digest, for_submit=True)
    return Step(replace(log, active=Checking(waiting)), (read,))


def checked(log: Log, event: NextRead, now: float) -> Step:
    """Continue after the store was read for newer tickets."""
    match log.active:
        case Checking(waiting=waiting):
            pass
        case _:
            return extend(log, event.tickets, "the store")
    view = joined(log, event.tickets)
    if isinstance(view, Failure):
        return _end(log, waiting, view, now)
    if event.failure is not None:
        fault = replace(event.failure, not_run=True)
        return extend(log, event.tickets, "the store").then(
            _end, waiting, fault, now
        )
    if event.own is False:
        stale = refusal(
            ErrorKind.UNAVAILABLE,
            f"the store answers with a state older than ticket "
            f"{log.view.number}",
        )
        return _end(log, waiting, stale, now)
    step = extend(log, event.tickets, "the store")
    if not event.complete:
        read = ReadNext(view.number, view.digest, for_submit=True)
        return step.do(read)
    return step.then(_decide, waiting, now)


def create_done(log: Log, event: CreateDone, now: float) -> Step:
    """Continue after the create was answered, or its answer was lost."""
    match log.active:
        case Creating(waiting=waiting, ticket=ticket, lost=lost) if (
            ticket == event.ticket
        ):
            pass
        case _ if event.result is CreateOutcome.CREATED:
            # The operator was told that the outcome is unknown.
            return extend(log, (event.ticket,), "a late answer")
        case _:
            return Step(log)
    read_back = Step(
        replace(log, active=ReadingBack(waiting, ticket, lost)),
        (ReadRecord(ticket.number),),
    )
    match event.result:
        case CreateOutcome.CREATED:
            return _commit(log, waiting, ticket, now)
        case CreateOutcome.EXISTS:
            return read_back
        case Failure(not_run=True) as fault if not lost:
            return _end(log, waiting, fault, now)
        case Failure():
            phase = ReadingBack(waiting, ticket, lost=True)
            return Step(replace(log, active=phase), read_back.actions)


def record_read(log: Log, event: RecordRead, now: float) -> Step:
    """Continue after the record of a number was read."""
    match log.active:
        case ReadingBack(ticket=ticket) if ticket.number == event.number:
            return _read_back(log, log.active, event.result, now)
        case Comparing(waiting=waiting) if (
            waiting.request.number == event.number
        ):
            return _compared(log, waiting, event.result, now)
        case _:
            return Step(log)


def tick(log: Log, now: float) -> Step:
    """End what has waited too long, and repeat what is due."""
    step = Step(log)
    for waiting in log.queue:
        if now >= waiting.expires:
            queue = tuple(w for w in step.log.queue if w is not waiting)
            reply = Reply(waiting.ask, too_slow())
            step = Step(replace(step.log, queue=queue), step.actions)
            step = step.do(reply)
    return step.then(_tick_active, now).then(tick_spreading, now)


def _check(log: Log, request: SubmitTicket) -> Failure | None:
    if fault := check_entries(request.entries):
        return fault
    for entry in request.entries:
        if isinstance(entry, DcState) and entry.dc not in log.dcs:
            known = ", ".join(sorted(log.dcs))
            return refusal(
                ErrorKind.UNKNOWN_DC,
                f"no data centre {entry.dc}; there are: {known}",
            )
    if request.number is not None and not 1 <= request.number <= MAX_NUMBER:
        return refusal(
            ErrorKind.MALFORMED, f"tickets have numbers 1 to {MAX_NUMBER}"
        )
    if len(log.queue) >= MAX_WAITING:
        return refusal(
            ErrorKind.OVERLOADED, f"{MAX_WAITING} submissions are waiting"
        )
    return None


def _decide(log: Log, waiting: Waiting, now: float) -> Step:
    """Judge the number against the newest ticket, and create the record."""
    newest = log.view.number
    number = waiting.request.number or newest + 1
    if number <= newest:
        kept = find(log, number)
        if kept is not None:
            return _compared(log, waiting, kept.ticket, now)
        log = replace(log, active=Comparing(waiting))
        return Step(log, (ReadRecord(number),))
    if number > newest + 1:
        gap = refusal(
            ErrorKind.TICKET_GAP,
            f"ticket {number} would leave a gap: the newest ticket is "
            f"{newest}, the next number is {newest + 1}",
        )
        return _end(log, waiting, gap, now)
    if too_few_reachable(log):
        few = refusal(
            ErrorKind.TOO_FEW_NODES,
            f"{reachable(log)} of {len(log.members)} nodes can be reached, "
            f"{needed(log)} have to hold a ticket, and as large a share of "
            f"each of {len(log.older)} older epochs that are not over",
        )
        return _end(log, waiting, few, now)
    request = waiting.request
    ticket = Ticket(number, log.view.digest, request.author, request.entries)
    log = replace(log, active=Creating(waiting, ticket))
    return Step(log, (CreateTicket(ticket),))


def _compared(
    log: Log, waiting: Waiting, found: Ticket | Failure, now: float
) -> Step:
    """Answer a submission whose number is not new."""
    request = waiting.request
    if isinstance(found, Failure):
        fault = refusal(
            ErrorKind.UNAVAILABLE,
            f"ticket {request.number} exists, but its record cannot be read: "
            f"{found.reason}",
        )
        return _end(log, waiting, fault, now)
    same = Ticket(found.number, found.prev, request.author, request.entries)
    if same != found:
        return _end(log, waiting, taken(log.view, found, request), now)
    return _spread(log, waiting, found.number, found.digest(), now)


def _read_back(
    log: Log, phase: ReadingBack, found: Ticket | Failure, now: float
) -> Step:
    waiting, ticket = phase.waiting, phase.ticket
    match found:
        case Ticket() if found == ticket:
            return _commit(log, waiting, ticket, now)
        case Ticket():
            view = joined(log, (found,))
            if isinstance(view, Failure):
                return _end(log, waiting, view, now)
            step = extend(log, (found,), "the store")
            return step.then(_overtaken, waiting, found, now)
        case Failure(kind=ErrorKind.TICKET_CONFLICT):
            return _end(log, waiting, found, now)
        case Failure(kind=kind):
            # A record that is absent after a lost answer may still be on its
            # way. Creating it again is safe, because the name is unique.
            again = kind is ErrorKind.NOT_FOUND and phase.lost
            pause = Pausing(waiting, ticket, phase.lost, now + RETRY_S, again)
            return Step(replace(log, active=pause))


def _overtaken(log: Log, waiting: Waiting, other: Ticket, now: float) -> Step:
    """Continue after another operator's ticket got the number.

    A submission without a number goes on with the next number if the other
    ticket left its keys alone.
    """
    request = waiting.request
    shared = _keys(other.entries) & _keys(request.entries)
    if request.number is not None or shared:
        return _end(log, waiting, taken(log.view, other, request), now)
    if now >= waiting.expires:
        return _end(log, waiting, too_slow(), now)
    return _decide(log, waiting, now)


def _commit(log: Log, waiting: Waiting, ticket: Ticket, now: float) -> Step:
    """Apply the recorded ticket and spread it."""
    view = joined(log, (ticket,))
    if isinstance(view, Failure):
        return _end(log, waiting, view, now)
    step = extend(log, (ticket,), f"operator {ticket.author}")
    notices = (Tell(n, TicketNotice(ticket)) for n in peers_up(step.log))
    step = step.do(*notices).then(compact)
    return step.then(_spread, waiting, ticket.number, ticket.digest(), now)


def _end(log: Log, waiting: Waiting, fault: Failure, now: float) -> Step:
    """Refuse the active submission and start on the next one."""
    text = (
        f"submission of {waiting.request.author} ended with "
        f"{fault.kind.value}: {fault.reason}"
    )
    log = replace(log, active=None)
    step = Step(log, (Reply(waiting.ask, fault), LogLine(Level.INFO, text)))
    return step.then(start_next, now)


def _tick_active(log: Log, now: float) -> Step:
    if log.active is None:
        return start_next(log, now)
    if now >= log.active.waiting.expires:
        return _end(log, log.active.waiting, expired(log), now)
    match log.active:
        case Pausing(at=at) if now < at:
            return Step(log)
        case Pausing(waiting=waiting, ticket=ticket, lost=lost, create=True):
            log = replace(log, active=Creating(waiting, ticket, lost))
            return Step(log, (CreateTicket(ticket),))
        case Pausing(waiting=waiting, ticket=ticket, lost=lost):
            log = replace(log, active=ReadingBack(waiting, ticket, lost))
            return Step(log, (ReadRecord(ticket.number),))
        case _:
            return Step(log)


def _keys(entries: tuple[TicketEntry, ...]) -> frozenset[str]:
    return frozenset(map(entry_key, entries))


def _spread(
    log: Log, waiting: Waiting, number: int, digest: str, now: float
) -> Step:
    step = begin_spread(log, waiting.ask, number, digest, now)
    return Step(replace(step.log, active=None)).then(start_next, now)
