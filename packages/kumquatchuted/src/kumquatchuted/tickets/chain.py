"""Extension of the log by tickets from the store or from peers."""

from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import HostState
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import SettingState
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket import TicketEntry
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
    """Return the view after tickets are applied, without changing the log.

    :returns: the view; ``TICKET_CONFLICT`` if a ticket differs from a known
        one with its number or does not continue the chain; ``TICKET_GAP`` if
        a ticket is missing
    """
    for ticket in tickets:
        digest = known_digest(log, ticket.number)
        if digest is not None and digest != ticket.digest():
            return Failure(
                ErrorKind.TICKET_CONFLICT,
                f"a different ticket {ticket.number} is already applied: got "
                f"digest {ticket.digest()}, expected {digest}",
                not_run=True,
            )
    return apply_tickets(log.view, tickets)


def append_tickets(
    log: TicketLog, tickets: tuple[Ticket, ...], source: str
) -> Step:
    """Apply tickets that follow the newest one; ignore older ones.

    Tickets that conflict or leave a gap are logged and not applied.

    :param source: origin of the tickets, for the log line
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
        f"tickets applied first={new[0].number} last={view.number} "
        f"source={source} digest={view.digest}",
    )
    return Step(log, (Publish(ViewChanged(view)), line))


def adopt_view(log: TicketLog, view: View, source: str) -> Step:
    """Replace the view with a newer one; ignore an older one.

    :param source: origin of the view, for the log line
    """
    if view.number <= log.view.number:
        return Step(log)
    log = replace(log, view=view, recent=())
    line = LogLine(
        LogLevel.INFO,
        f"view adopted number={view.number} source={source} "
        f"digest={view.digest}",
    )
    return Step(log, (Publish(ViewChanged(view)), line))


def estimate_size(ticket: Ticket) -> int:
    """Return the approximate encoded size of a ticket in bytes."""
    return ENTRY_OVERHEAD_BYTES + sum(map(_entry_size, ticket.entries))


def _entry_size(entry: TicketEntry) -> int:
    match entry:
        case NameState(name=name, aliases=aliases):
            texts = (name, *aliases)
        case DcState(dc=text) | HostState(host=text):
            texts = (text,)
        case SettingState(service=service, key=key, value=value):
            texts = (service, key, value)
    # Each text adds 3 bytes: two quotes and a comma.
    return ENTRY_OVERHEAD_BYTES + sum(len(t.encode()) + 3 for t in texts)


def _rejection_line(failure: Failure, source: str) -> LogLine:
    level = (
        LogLevel.ERROR
        if failure.kind is ErrorKind.TICKET_CONFLICT
        else LogLevel.WARNING
    )
    return LogLine(
        level, f"tickets rejected source={source} cause={failure.reason}"
    )
