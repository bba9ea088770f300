"""State machine of an operator's submission, from the request to the answer.

A submission in this slice is a request to record a ticket. Non-idempotent
requests of callers have a slice of their own, ``kumquatchuted.submission``.

One submission at a time is recorded; the others wait in the queue. Creating
the record in the store commits the ticket. Then the next submission starts,
while the answer waits until enough members hold the ticket.
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
from kumquatchuted.tickets.actions import LogLevel
from kumquatchuted.tickets.actions import LogLine
from kumquatchuted.tickets.actions import ReadNewTickets
from kumquatchuted.tickets.actions import ReadRecord
from kumquatchuted.tickets.actions import Reply
from kumquatchuted.tickets.actions import SendPeer
from kumquatchuted.tickets.chain import append_tickets
from kumquatchuted.tickets.chain import extended_view
from kumquatchuted.tickets.compaction_schedule import schedule_compaction
from kumquatchuted.tickets.events import CreateDone
from kumquatchuted.tickets.events import CreateOutcome
from kumquatchuted.tickets.events import NewTicketsRead
from kumquatchuted.tickets.events import RecordRead
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.refusals import number_taken
from kumquatchuted.tickets.refusals import RECORD_TIMEOUT_S
from kumquatchuted.tickets.refusals import refusal
from kumquatchuted.tickets.refusals import store_timeout
from kumquatchuted.tickets.refusals import submission_timeout
from kumquatchuted.tickets.replication import start_replication
from kumquatchuted.tickets.replication import update_replications
from kumquatchuted.tickets.state import AwaitingRetry
from kumquatchuted.tickets.state import Checking
from kumquatchuted.tickets.state import Comparing
from kumquatchuted.tickets.state import count_reachable
from kumquatchuted.tickets.state import Creating
from kumquatchuted.tickets.state import find_recent
from kumquatchuted.tickets.state import PendingSubmission
from kumquatchuted.tickets.state import reachable_peers
from kumquatchuted.tickets.state import ReadingBack
from kumquatchuted.tickets.state import required_holders
from kumquatchuted.tickets.state import Step
from kumquatchuted.tickets.state import TicketLog
from kumquatchuted.tickets.state import too_few_reachable

RETRY_INTERVAL_S = 0.25
MAX_QUEUED = 64
MAX_TICKET_NUMBER = 9_999_999_999


def submit(
    log: TicketLog, request_id: int, request: SubmitTicket, now: float
) -> Step:
    """Queue a submission, or refuse it at once if it is not valid."""
    if failure := _validate(log, request):
        return Step(log, (Reply(request_id, failure),))
    submission = PendingSubmission(request_id, request, now + RECORD_TIMEOUT_S)
    return start_next(replace(log, queue=(*log.queue, submission)), now)


def start_next(log: TicketLog, now: float) -> Step:
    """Start the first submission of the queue if none is active."""
    if log.active is not None or not log.queue:
        return Step(log)
    submission, *rest = log.queue
    log = replace(log, queue=tuple(rest))
    number = submission.request.number
    if number is not None and number <= log.view.number:
        return _create_or_answer(log, submission, now)
    read = ReadNewTickets(log.view.number, log.view.digest, for_submit=True)
    return Step(replace(log, active=Checking(submission)), (read,))


def apply_store_check(
    log: TicketLog, event: NewTicketsRead, now: float
) -> Step:
    """Continue the active submission after newer tickets were read."""
    match log.active:
        case Checking(submission=submission):
            pass
        case _:
            return append_tickets(log, event.tickets, "store")
    view = extended_view(log, event.tickets)
    if isinstance(view, Failure):
        return _fail_active(log, submission, view, now)
    if event.failure is not None:
        failure = replace(event.failure, not_run=True)
        return append_tickets(log, event.tickets, "store").then(
            _fail_active, submission, failure, now
        )
    if event.holds_newest is False:
        stale = refusal(
            ErrorKind.UNAVAILABLE,
            f"the store returned state older than ticket {log.view.number}",
        )
        return _fail_active(log, submission, stale, now)
    step = append_tickets(log, event.tickets, "store")
    if not event.complete:
        read = ReadNewTickets(view.number, view.digest, for_submit=True)
        return step.add_actions(read)
    return step.then(_create_or_answer, submission, now)


def apply_create_result(log: TicketLog, event: CreateDone, now: float) -> Step:
    """Continue after the create was answered, failed or timed out."""
    match log.active:
        case Creating(
            submission=submission, ticket=ticket, answer_lost=answer_lost
        ) if ticket == event.ticket:
            pass
        case _ if event.result is CreateOutcome.CREATED:
            # The submission was answered before, as outcome unknown.
            return append_tickets(log, (event.ticket,), "late_answer")
        case _:
            return Step(log)
    read_back = Step(
        replace(log, active=ReadingBack(submission, ticket, answer_lost)),
        (ReadRecord(ticket.number),),
    )
    match event.result:
        case CreateOutcome.CREATED:
            return _commit(log, submission, ticket, now)
        case CreateOutcome.EXISTS:
            return read_back
        case Failure(not_run=True) as failure if not answer_lost:
            return _fail_active(log, submission, failure, now)
        case Failure():
            phase = ReadingBack(submission, ticket, answer_lost=True)
            return Step(replace(log, active=phase), read_back.actions)


def apply_record_read(log: TicketLog, event: RecordRead, now: float) -> Step:
    """Continue the active submission after a record was read."""
    match log.active:
        case ReadingBack(ticket=ticket) if ticket.number == event.number:
            return _apply_read_back(log, log.active, event.result, now)
        case Comparing(submission=submission) if (
            submission.request.number == event.number
        ):
            return _answer_existing(log, submission, event.result, now)
        case _:
            return Step(log)


def apply_tick(log: TicketLog, now: float) -> Step:
    """Answer submissions that timed out and start the retries that are due."""
    step = Step(log)
    for submission in log.queue:
        if now >= submission.deadline:
            queue = tuple(s for s in step.log.queue if s is not submission)
            reply = Reply(submission.request_id, store_timeout())
            step = Step(replace(step.log, queue=queue), step.actions)
            step = step.add_actions(reply)
    return step.then(_update_active, now).then(update_replications, now)


def _validate(log: TicketLog, request: SubmitTicket) -> Failure | None:
    if failure := check_entries(request.entries):
        return failure
    for entry in request.entries:
        if isinstance(entry, DcState) and entry.dc not in log.dcs:
            known = ", ".join(sorted(log.dcs))
            return refusal(
                ErrorKind.UNKNOWN_DC,
                f"unknown data centre {entry.dc}; known ones: {known}",
            )
    if (
        request.number is not None
        and not 1 <= request.number <= MAX_TICKET_NUMBER
    ):
        return refusal(
            ErrorKind.MALFORMED,
            f"a ticket number must be 1 to {MAX_TICKET_NUMBER}",
        )
    if len(log.queue) >= MAX_QUEUED:
        return refusal(
            ErrorKind.OVERLOADED,
            f"{MAX_QUEUED} submissions are queued already",
        )
    return None


def _create_or_answer(
    log: TicketLog, submission: PendingSubmission, now: float
) -> Step:
    """Create the record if its number is next and enough nodes are reachable.

    An older number is compared with its record. A number that would leave a
    gap is refused.
    """
    newest = log.view.number
    number = submission.request.number or newest + 1
    if number <= newest:
        recent = find_recent(log, number)
        if recent is not None:
            return _answer_existing(log, submission, recent.ticket, now)
        log = replace(log, active=Comparing(submission))
        return Step(log, (ReadRecord(number),))
    if number > newest + 1:
        gap = refusal(
            ErrorKind.TICKET_GAP,
            f"ticket {number} would leave a gap: the newest ticket is "
            f"{newest}, the next number is {newest + 1}",
        )
        return _fail_active(log, submission, gap, now)
    if too_few_reachable(log):
        too_few = refusal(
            ErrorKind.TOO_FEW_NODES,
            f"{count_reachable(log)} of {len(log.members)} nodes are "
            f"reachable; {required_holders(log)} must hold a ticket, and the "
            f"same share of each of {len(log.older_epochs)} older epochs "
            f"that may not have ended",
        )
        return _fail_active(log, submission, too_few, now)
    request = submission.request
    ticket = Ticket(number, log.view.digest, request.author, request.entries)
    log = replace(log, active=Creating(submission, ticket))
    return Step(log, (CreateTicket(ticket),))


def _answer_existing(
    log: TicketLog,
    submission: PendingSubmission,
    found: Ticket | Failure,
    now: float,
) -> Step:
    """Answer a submission whose number is already recorded.

    It is a retry if author and entries are equal, otherwise the number is
    taken.
    """
    request = submission.request
    if isinstance(found, Failure):
        failure = refusal(
            ErrorKind.UNAVAILABLE,
            f"ticket {request.number} exists, but its record cannot be read: "
            f"{found.reason}",
        )
        return _fail_active(log, submission, failure, now)
    same = Ticket(found.number, found.prev, request.author, request.entries)
    if same != found:
        return _fail_active(
            log, submission, number_taken(log.view, found, request), now
        )
    return _await_replication(
        log, submission, found.number, found.digest(), now
    )


def _apply_read_back(
    log: TicketLog, phase: ReadingBack, found: Ticket | Failure, now: float
) -> Step:
    submission, ticket = phase.submission, phase.ticket
    match found:
        case Ticket() if found == ticket:
            return _commit(log, submission, ticket, now)
        case Ticket():
            view = extended_view(log, (found,))
            if isinstance(view, Failure):
                return _fail_active(log, submission, view, now)
            step = append_tickets(log, (found,), "store")
            return step.then(_apply_lost_race, submission, found, now)
        case Failure(kind=ErrorKind.TICKET_CONFLICT):
            return _fail_active(log, submission, found, now)
        case Failure(kind=kind):
            # The create whose answer was lost may still take effect. Creating
            # the record again is safe, because its name is unique.
            create_again = kind is ErrorKind.NOT_FOUND and phase.answer_lost
            retry = AwaitingRetry(
                submission,
                ticket,
                phase.answer_lost,
                now + RETRY_INTERVAL_S,
                create_again,
            )
            return Step(replace(log, active=retry))


def _apply_lost_race(
    log: TicketLog, submission: PendingSubmission, other: Ticket, now: float
) -> Step:
    """Continue after another operator's ticket got the number.

    A submission without a number is tried with the next number if the two
    tickets have no key in common. With a common key it would overwrite a
    change that its operator has not seen.
    """
    request = submission.request
    shared = _entry_keys(other.entries) & _entry_keys(request.entries)
    if request.number is not None or shared:
        return _fail_active(
            log, submission, number_taken(log.view, other, request), now
        )
    if now >= submission.deadline:
        return _fail_active(log, submission, store_timeout(), now)
    return _create_or_answer(log, submission, now)


def _commit(
    log: TicketLog, submission: PendingSubmission, ticket: Ticket, now: float
) -> Step:
    """Apply the recorded ticket and send it to the peers."""
    view = extended_view(log, (ticket,))
    if isinstance(view, Failure):
        return _fail_active(log, submission, view, now)
    step = append_tickets(log, (ticket,), f"operator:{ticket.author}")
    notices = (
        SendPeer(n, TicketNotice(ticket)) for n in reachable_peers(step.log)
    )
    step = step.add_actions(*notices).then(schedule_compaction)
    return step.then(
        _await_replication, submission, ticket.number, ticket.digest(), now
    )


def _fail_active(
    log: TicketLog, submission: PendingSubmission, failure: Failure, now: float
) -> Step:
    """Answer the active submission with a failure and start the next one."""
    text = (
        f"submission failed author={submission.request.author} "
        f"kind={failure.kind.value} cause={failure.reason}"
    )
    log = replace(log, active=None)
    step = Step(
        log,
        (Reply(submission.request_id, failure), LogLine(LogLevel.INFO, text)),
    )
    return step.then(start_next, now)


def _update_active(log: TicketLog, now: float) -> Step:
    if log.active is None:
        return start_next(log, now)
    if now >= log.active.submission.deadline:
        return _fail_active(
            log, log.active.submission, submission_timeout(log), now
        )
    match log.active:
        case AwaitingRetry(retry_at=retry_at) if now < retry_at:
            return Step(log)
        case AwaitingRetry(
            submission=submission,
            ticket=ticket,
            answer_lost=answer_lost,
            create_again=True,
        ):
            log = replace(
                log, active=Creating(submission, ticket, answer_lost)
            )
            return Step(log, (CreateTicket(ticket),))
        case AwaitingRetry(
            submission=submission, ticket=ticket, answer_lost=answer_lost
        ):
            log = replace(
                log, active=ReadingBack(submission, ticket, answer_lost)
            )
            return Step(log, (ReadRecord(ticket.number),))
        case _:
            return Step(log)


def _entry_keys(entries: tuple[TicketEntry, ...]) -> frozenset[str]:
    return frozenset(map(entry_key, entries))


def _await_replication(
    log: TicketLog,
    submission: PendingSubmission,
    number: int,
    digest: str,
    now: float,
) -> Step:
    step = start_replication(log, submission.request_id, number, digest, now)
    return Step(replace(step.log, active=None)).then(start_next, now)
