"""What an operator is told when a submission is not accepted."""

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
from kumquatchuted.tickets.state import Creating
from kumquatchuted.tickets.state import holders
from kumquatchuted.tickets.state import Log
from kumquatchuted.tickets.state import Pausing
from kumquatchuted.tickets.state import ReadingBack
from kumquatchuted.tickets.view import state_of

RECORD_LIMIT_S = 5.0
# A refusal names what stands for so many keys, to stay readable.
KEYS_SHOWN = 10
ALIASES_SHOWN = 5


def refusal(kind: ErrorKind, reason: str) -> Failure:
    """Return a failure of a submission that was not recorded."""
    return Failure(kind, reason, not_run=True)


def too_slow() -> Failure:
    """Return the refusal of a submission that waited too long."""
    return refusal(
        ErrorKind.UNAVAILABLE,
        f"the store did not answer within {RECORD_LIMIT_S:g} s",
    )


def expired(log: Log) -> Failure:
    """Return what is certain about the active submission at its deadline."""
    match log.active:
        case (
            ReadingBack(ticket=ticket, lost=False)
            | Pausing(ticket=ticket, lost=False)
        ):
            # The record may be of an earlier try with the same content.
            return Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                f"ticket {ticket.number} exists, but its record cannot be "
                f"read at the moment; `ticket show {ticket.number}` tells "
                f"what it holds once the store answers again",
            )
        case (
            Creating(ticket=ticket)
            | ReadingBack(ticket=ticket)
            | Pausing(ticket=ticket)
        ):
            return Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                f"the store did not answer whether ticket {ticket.number} "
                f"is recorded; `ticket show {ticket.number}` tells once the "
                f"store answers again",
            )
        case _:
            return too_slow()


def unconfirmed(log: Log, number: int) -> Failure:
    """Return what is certain when too few nodes confirm a ticket."""
    return Failure(
        ErrorKind.OUTCOME_UNKNOWN,
        f"ticket {number} is recorded, but only {len(holders(log, number))} "
        f"of {len(log.members)} nodes confirm it; it takes effect as nodes "
        f"read it, `ticket show {number}` tells how many do",
    )


def taken(view: View, other: Ticket, request: SubmitTicket) -> Failure:
    """Return the refusal of a number that another ticket has."""
    lines = [_stands(view, entry) for entry in request.entries[:KEYS_SHOWN]]
    if len(request.entries) > KEYS_SHOWN:
        lines.append(f"{len(request.entries) - KEYS_SHOWN} more keys")
    return refusal(
        ErrorKind.TICKET_TAKEN,
        f"ticket {other.number} was submitted by {other.author}; the newest "
        f"ticket is {view.number}; what stands now: {'; '.join(lines)}",
    )


def _stands(view: View, entry: TicketEntry) -> str:
    key = entry_key(entry)
    match state_of(view, entry):
        case None:
            return f"{key} not set"
        case NameState(aliases=aliases):
            shown = ", ".join(aliases[:ALIASES_SHOWN]) or "no aliases"
            more = len(aliases) - ALIASES_SHOWN
            return f"{key} is {shown}" + (f" and {more} more" * (more > 0))
        case DcState(in_service=in_service):
            return f"{key} is {'in' if in_service else 'out'}"
        case HostState(in_service=in_service):
            return f"{key} is {'in' if in_service else 'out'}"
        case SettingState(value=value):
            return f"{key} is {value[:100]}"
