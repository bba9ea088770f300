"""When a node writes a compacted view."""

from dataclasses import replace

from kumquatchuted.tickets.actions import WriteCompactedView
from kumquatchuted.tickets.state import Step
from kumquatchuted.tickets.state import TicketLog

TICKETS_PER_COMPACTION = 50
# Another node steps in only once the creator of the 50th ticket had time.
COMPACTION_GRACE_TICKETS = 10


def schedule_compaction(log: TicketLog) -> Step:
    """Write a compacted view every ``TICKETS_PER_COMPACTION`` tickets.

    If the creator of the 50th ticket failed before it wrote the view, the
    creator of a ticket ``COMPACTION_GRACE_TICKETS`` later writes one.
    """
    number = log.view.number
    overdue = TICKETS_PER_COMPACTION + COMPACTION_GRACE_TICKETS
    if (
        number % TICKETS_PER_COMPACTION
        and number - log.compacted_number < overdue
    ):
        return Step(log)
    log = replace(log, compacted_number=number)
    return Step(log, (WriteCompactedView(log.view),))


def mark_compaction_overdue(log: TicketLog, number: int) -> TicketLog:
    """Return the log whose next ticket of its own starts a compaction."""
    overdue = TICKETS_PER_COMPACTION + COMPACTION_GRACE_TICKETS
    compacted_number = min(log.compacted_number, number - overdue)
    return replace(log, compacted_number=max(0, compacted_number))
