"""Replication of recorded tickets: waits until enough members hold them.

The fault matrix names this step ``ticket: spread``.
"""

from dataclasses import replace

from kumquatchuted.tickets.actions import LogLevel
from kumquatchuted.tickets.actions import LogLine
from kumquatchuted.tickets.actions import Reply
from kumquatchuted.tickets.actions import SendPeer
from kumquatchuted.tickets.messages import TicketAccepted
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.refusals import replication_timeout
from kumquatchuted.tickets.state import find_recent
from kumquatchuted.tickets.state import holders
from kumquatchuted.tickets.state import is_accepted
from kumquatchuted.tickets.state import PendingReplication
from kumquatchuted.tickets.state import reachable_peers
from kumquatchuted.tickets.state import Step
from kumquatchuted.tickets.state import TicketLog

REPLICATION_TIMEOUT_S = 3.0
RESEND_INTERVAL_S = 0.5


def start_replication(
    log: TicketLog, request_id: int, number: int, digest: str, now: float
) -> Step:
    """Add a recorded ticket to those that wait for enough holders."""
    replication = PendingReplication(
        request_id,
        number,
        digest,
        now + REPLICATION_TIMEOUT_S,
        now + RESEND_INTERVAL_S,
    )
    return Step(replace(log, replications=(*log.replications, replication)))


def answer_replicated(log: TicketLog) -> Step:
    """Answer the submissions whose tickets are held by enough members."""
    replicated = tuple(
        r for r in log.replications if is_accepted(log, r.number)
    )
    if not replicated:
        return Step(log)
    remaining = tuple(r for r in log.replications if r not in replicated)
    step = Step(replace(log, replications=remaining))
    for replication in replicated:
        held_by = ",".join(holders(log, replication.number))
        text = f"ticket accepted number={replication.number} held_by={held_by}"
        reply = Reply(
            replication.request_id,
            TicketAccepted(replication.number, replication.digest),
        )
        step = step.add_actions(reply, LogLine(LogLevel.INFO, text))
    return step


def update_replications(log: TicketLog, now: float) -> Step:
    """Send due notices again, and answer submissions that timed out."""
    actions, remaining = [], []
    for replication in log.replications:
        if now >= replication.deadline:
            failure = replication_timeout(log, replication.number)
            actions.append(Reply(replication.request_id, failure))
            actions.append(
                LogLine(
                    LogLevel.WARNING,
                    f"ticket not confirmed number={replication.number} "
                    f"cause={failure.reason}",
                )
            )
            continue
        if now >= replication.resend_at:
            actions.extend(_missing_notices(log, replication.number))
            replication = replace(
                replication, resend_at=now + RESEND_INTERVAL_S
            )
        remaining.append(replication)
    return Step(replace(log, replications=tuple(remaining)), tuple(actions))


def _missing_notices(log: TicketLog, number: int) -> tuple[SendPeer, ...]:
    """Return notices for the reachable nodes that did not confirm a ticket."""
    recent = find_recent(log, number)
    if recent is None:
        return ()
    confirmed = holders(log, number)
    return tuple(
        SendPeer(node, TicketNotice(recent.ticket))
        for node in reachable_peers(log)
        if node not in confirmed
    )
