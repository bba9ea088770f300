"""Decides when a node writes the compacted view."""

from dataclasses import replace

from kumquatchuted.tickets.actions import WriteCompactedView
from kumquatchuted.tickets.state import Step
from kumquatchuted.tickets.state import TicketLog

TICKETS_PER_COMPACTION = 50
# Leaves the creator of the 50th ticket time to write the view itself.
COMPACTION_GRACE_TICKETS = 10


def schedule_compaction(log: TicketLog) -> Step:
    """Write the compacted view if a ticket of this node makes it due.

    The node that creates a ticket whose number is a multiple of
    ``TICKETS_PER_COMPACTION`` writes the view. If it fails before that, a node
    that creates a ticket at least ``COMPACTION_GRACE_TICKETS`` later does.
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
    """Return the log after a failed compaction, so that a retry follows.

    The next ticket that this node creates starts the retry, but none with a
    number below ``TICKETS_PER_COMPACTION + COMPACTION_GRACE_TICKETS`` does.

    :param number: newest ticket in the view that was not written
    """
    overdue = TICKETS_PER_COMPACTION + COMPACTION_GRACE_TICKETS
    compacted_number = min(log.compacted_number, number - overdue)
    return replace(log, compacted_number=max(0, compacted_number))
