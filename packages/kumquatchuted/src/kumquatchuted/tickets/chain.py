"""How the log grows by tickets from the store or from a peer."""

from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import Entry
from kumquatchute_model.ticket import HostState
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import SettingState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.tickets.actions import LogLevel
from kumquatchuted.tickets.actions import LogLine
from kumquatchuted.tickets.actions import Publish
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged
from kumquatchuted.tickets.state import known_digest
from kumquatchuted.tickets.state import RecentTicket
from kumquatchuted.tickets.state import Step
from kumquatchuted.tickets.state import TicketLog
from kumquatchuted.tickets.state import trim_recent
from kumquatchuted.tickets.view import apply_tickets

ENTRY_OVERHEAD_BYTES = 60


def extended_view(
    log: TicketLog, tickets: tuple[Ticket, ...]
) -> View | Failure:
    """Return the view after tickets, or why they cannot extend the log.

    A different ticket with a known number is a conflict.
    """
    for ticket in tickets:
        digest = known_digest(log, ticket.number)
        if digest is not None and digest != ticket.digest():
            return Failure(
                ErrorKind.TICKET_CONFLICT,
                f"another ticket {ticket.number} is in force: digest "
                f"{ticket.digest()} instead of {digest}",
                not_run=True,
            )
    return apply_tickets(log.view, tickets)


def append_tickets(
    log: TicketLog, tickets: tuple[Ticket, ...], source: str
) -> Step:
    """Apply tickets that follow the newest one; ignore older ones.

    :param source: where the tickets come from, for the log line
    """
    view = extended_view(log, tickets)
    if isinstance(view, Failure):
        return Step(log, (_rejection_line(view, source),))
    new = tuple(t for t in tickets if t.number > log.view.number)
    if not new:
        return Step(log)
    added = tuple(RecentTicket(t, t.digest(), estimate_size(t)) for t in new)
    log = replace(log, view=view, recent=trim_recent(log.recent + added))
    line = LogLine(
        LogLevel.INFO,
        f"applied tickets {new[0].number} to {view.number} from {source}, "
        f"digest {view.digest}",
    )
    return Step(log, (Publish(ViewChanged(view)), line))


def adopt_view(log: TicketLog, view: View, source: str) -> Step:
    """Replace the view by a whole newer one; ignore an older one."""
    if view.number <= log.view.number:
        return Step(log)
    log = replace(log, view=view, recent=())
    line = LogLine(
        LogLevel.INFO,
        f"adopted the view of ticket {view.number} from {source}, "
        f"digest {view.digest}",
    )
    return Step(log, (Publish(ViewChanged(view)), line))


def estimate_size(ticket: Ticket) -> int:
    """Return the approximate encoded size of a ticket in bytes."""
    return ENTRY_OVERHEAD_BYTES + sum(map(_entry_size, ticket.entries))


def _entry_size(entry: Entry) -> int:
    match entry:
        case NameState(name=name, aliases=aliases):
            texts = (name, *aliases)
        case DcState(dc=text) | HostState(host=text):
            texts = (text,)
        case SettingState(service=service, key=key, value=value):
            texts = (service, key, value)
    # Three bytes for the quotes and the comma of each text.
    return ENTRY_OVERHEAD_BYTES + sum(len(t.encode()) + 3 for t in texts)


def _rejection_line(fault: Failure, source: str) -> LogLine:
    level = (
        LogLevel.ERROR
        if fault.kind is ErrorKind.TICKET_CONFLICT
        else LogLevel.WARNING
    )
    return LogLine(level, f"ignored tickets from {source}: {fault.reason}")
