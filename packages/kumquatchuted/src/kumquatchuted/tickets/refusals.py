"""Failures that are returned for a submission that is not accepted."""

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import entry_key
from kumquatchute_model.ticket import HostState
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import SettingState
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket import TicketEntry
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.state import AwaitingRetry
from kumquatchuted.tickets.state import Creating
from kumquatchuted.tickets.state import holders
from kumquatchuted.tickets.state import ReadingBack
from kumquatchuted.tickets.state import TicketLog
from kumquatchuted.tickets.view import find_state

RECORD_TIMEOUT_S = 5.0
# More keys and aliases would make the message hard to read.
MAX_KEYS_SHOWN = 10
MAX_ALIASES_SHOWN = 5


def refusal(kind: ErrorKind, reason: str) -> Failure:
    """Return the failure of a submission that was certainly not recorded."""
    return Failure(kind, reason, not_run=True)


def store_timeout() -> Failure:
    """Return the failure of a submission that timed out without a record."""
    return refusal(
        ErrorKind.UNAVAILABLE,
        f"the store did not answer within {RECORD_TIMEOUT_S:g} s",
    )


def submission_timeout(log: TicketLog) -> Failure:
    """Return the failure of the active submission at its deadline.

    :returns: ``OUTCOME_UNKNOWN`` if the create was sent, because the ticket
        may be recorded; otherwise ``UNAVAILABLE``
    """
    match log.active:
        case (
            ReadingBack(ticket=ticket, answer_lost=False)
            | AwaitingRetry(ticket=ticket, answer_lost=False)
        ):
            # The create found a record under that number. It can be that of
            # an earlier attempt of the same operator with the same content.
            return Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                f"ticket {ticket.number} exists, but its record cannot be "
                f"read at present; when the store answers again, run "
                f"`ticket show {ticket.number}` to see what it holds",
            )
        case (
            Creating(ticket=ticket)
            | ReadingBack(ticket=ticket)
            | AwaitingRetry(ticket=ticket)
        ):
            return Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                f"the store did not answer whether ticket {ticket.number} "
                f"is recorded; when the store answers again, run "
                f"`ticket show {ticket.number}` to check",
            )
        case _:
            return store_timeout()


def replication_timeout(log: TicketLog, number: int) -> Failure:
    """Return the failure of a submission that too few nodes confirmed."""
    return Failure(
        ErrorKind.OUTCOME_UNKNOWN,
        f"ticket {number} is recorded, but only {len(holders(log, number))} "
        f"of {len(log.members)} nodes confirm it; it takes effect on each "
        f"node that reads it; run `ticket show {number}` to see how many do",
    )


def number_taken(view: View, other: Ticket, request: SubmitTicket) -> Failure:
    """Return the failure of a submission whose number is taken.

    :param other: recorded ticket with that number
    """
    states = [
        _describe_state(view, entry)
        for entry in request.entries[:MAX_KEYS_SHOWN]
    ]
    if len(request.entries) > MAX_KEYS_SHOWN:
        states.append(f"{len(request.entries) - MAX_KEYS_SHOWN} more keys")
    return refusal(
        ErrorKind.TICKET_TAKEN,
        f"ticket {other.number} was submitted by {other.author}; the newest "
        f"ticket is {view.number}; current state: {'; '.join(states)}",
    )


def _describe_state(view: View, entry: TicketEntry) -> str:
    key = entry_key(entry)
    match find_state(view, entry):
        case None:
            return f"{key} is not set"
        case NameState(aliases=aliases):
            listed = ", ".join(aliases[:MAX_ALIASES_SHOWN]) or "no aliases"
            more = len(aliases) - MAX_ALIASES_SHOWN
            return f"{key} is {listed}" + (f" and {more} more" * (more > 0))
        case DcState(in_service=in_service):
            return f"{key} is {'in' if in_service else 'out'}"
        case HostState(in_service=in_service):
            return f"{key} is {'in' if in_service else 'out'}"
        case SettingState(value=value):
            return f"{key} is {value[:100]}"
