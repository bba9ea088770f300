"""State machine of the ticket log: maps an event to a new state and actions.

Tickets reach the log by polling the store, by a watch on the store and from
peers. The submission protocol is in ``submit``.
"""

from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import Ticket
from kumquatchuted.tickets.actions import LogLevel
from kumquatchuted.tickets.actions import LogLine
from kumquatchuted.tickets.actions import Publish
from kumquatchuted.tickets.actions import ReadCompactedView
from kumquatchuted.tickets.actions import ReadNewTickets
from kumquatchuted.tickets.actions import ReadRecord
from kumquatchuted.tickets.actions import ReadTicketList
from kumquatchuted.tickets.actions import Reply
from kumquatchuted.tickets.actions import SendPeer
from kumquatchuted.tickets.actions import SendView
from kumquatchuted.tickets.actions import WatchTickets
from kumquatchuted.tickets.chain import adopt_view
from kumquatchuted.tickets.chain import append_tickets
from kumquatchuted.tickets.chain import extended_view
from kumquatchuted.tickets.compaction_schedule import mark_compaction_overdue
from kumquatchuted.tickets.events import CompactedViewRead
from kumquatchuted.tickets.events import CompactionFailed
from kumquatchuted.tickets.events import CreateDone
from kumquatchuted.tickets.events import Event
from kumquatchuted.tickets.events import MembershipChanged
from kumquatchuted.tickets.events import NewTicketsRead
from kumquatchuted.tickets.events import PeerDown
from kumquatchuted.tickets.events import PeerMessage
from kumquatchuted.tickets.events import PeerUp
from kumquatchuted.tickets.events import RecordRead
from kumquatchuted.tickets.events import RequestReceived
from kumquatchuted.tickets.events import Tick
from kumquatchuted.tickets.events import TicketDelivered
from kumquatchuted.tickets.events import TicketListRead
from kumquatchuted.tickets.events import ViewReceived
from kumquatchuted.tickets.events import WatchEnded
from kumquatchuted.tickets.messages import FetchTickets
from kumquatchuted.tickets.messages import ListTickets
from kumquatchuted.tickets.messages import PeerHasTicket
from kumquatchuted.tickets.messages import ShowTicket
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketBatch
from kumquatchuted.tickets.messages import TicketHeld
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.messages import TicketShown
from kumquatchuted.tickets.messages import TicketsUpToDate
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.replication import answer_replicated
from kumquatchuted.tickets.state import find_recent
from kumquatchuted.tickets.state import holders
from kumquatchuted.tickets.state import is_accepted
from kumquatchuted.tickets.state import known_digest
from kumquatchuted.tickets.state import peers_ahead
from kumquatchuted.tickets.state import PeerState
from kumquatchuted.tickets.state import set_peer
from kumquatchuted.tickets.state import Step
from kumquatchuted.tickets.state import TicketLog
from kumquatchuted.tickets.submit import apply_create_result
from kumquatchuted.tickets.submit import apply_record_read
from kumquatchuted.tickets.submit import apply_store_check
from kumquatchuted.tickets.submit import apply_tick
from kumquatchuted.tickets.submit import submit

POLL_INTERVAL_S = 2.0
WATCH_RETRY_S = 1.0
# In a larger membership, only WATCHING_MEMBERS nodes watch the store and the
# others get tickets from them: the store counts each pending watch as a call.
MAX_MEMBERS_ALL_WATCH = 4
WATCHING_MEMBERS = 2
# A request to a peer is assumed lost and sent again after this time.
FETCH_RETRY_S = 1.0
MAX_TICKETS_PER_MESSAGE = 100
MAX_LIST_BYTES = 4_000_000
# Keeps a batch below the limit of peer messages, 1 MiB.
MAX_BATCH_BYTES = 600_000


def step(log: TicketLog, event: Event, now: float) -> Step:
    """Return the new state and the actions that follow from an event.

    :param now: monotonic time in seconds
    """
    return _handle_event(log, event, now).then(answer_replicated)


def _handle_event(log: TicketLog, event: Event, now: float) -> Step:
    match event:
        case Tick():
            return apply_tick(log, now).then(_poll, now).then(_watch, now)
        case RequestReceived(
            request_id=request_id, request=SubmitTicket() as request
        ):
            return submit(log, request_id, request, now)
        case RequestReceived(
            request_id=request_id, request=ShowTicket(number=number)
        ):
            return _show_ticket(log, request_id, number)
        case RequestReceived(
            request_id=request_id, request=ListTickets() as request
        ):
            return _list_tickets(log, request_id, request)
        case MembershipChanged(nodes=nodes, older_epochs=older_epochs):
            return Step(replace(log, members=nodes, older_epochs=older_epochs))
        case PeerUp() | PeerDown():
            return _apply_link_change(log, event, now)
        case PeerMessage(node=node, message=message):
            return _handle_peer_message(log, node, message, now)
        case PeerHasTicket(node=node, number=number, digest=digest):
            return _record_report(log, node, number, digest, now)
        case ViewReceived(node=node, view=view):
            return adopt_view(log, view, f"node:{node}").then(
                _fetch_missing, now
            )
        case CompactedViewRead(result=result):
            return _apply_compacted_view(log, result, now)
        case NewTicketsRead(for_submit=True):
            return apply_store_check(log, event, now)
        case NewTicketsRead():
            return _apply_poll(log, event, now)
        case TicketDelivered(ticket=ticket):
            return _apply_delivered(log, ticket, now)
        case WatchEnded():
            log = replace(
                log, watch_open=False, next_watch_at=now + WATCH_RETRY_S
            )
            return Step(log)
        case CompactionFailed(number=number):
            return Step(mark_compaction_overdue(log, number))
        case CreateDone():
            return apply_create_result(log, event, now)
        case RecordRead(request_id=None):
            return apply_record_read(log, event, now)
        case RecordRead(request_id=request_id, number=number, result=result):
            shown = _reply_with_ticket(log, request_id, number, result)
            if isinstance(result, Ticket) and number > log.view.number:
                return shown.then(_poll_soon, now)
            return shown
        case TicketListRead(request_id=request_id, result=result):
            return Step(log, (Reply(request_id, result),))


def _poll(log: TicketLog, now: float) -> Step:
    """Start a poll of the store if one is due."""
    if log.poll_in_flight or now < log.next_poll_at:
        return Step(log)
    log = replace(log, poll_in_flight=True, next_poll_at=now + POLL_INTERVAL_S)
    if not log.loaded:
        return Step(log, (ReadCompactedView(),))
    return Step(log, (ReadNewTickets(log.view.number, log.view.digest),))


def _poll_soon(log: TicketLog, now: float) -> Step:
    return _poll(replace(log, next_poll_at=now), now)


def _watch(log: TicketLog, now: float) -> Step:
    """Open a watch if this node is one of the watchers and has none open."""
    if log.watch_open or not log.loaded or now < log.next_watch_at:
        return Step(log)
    watchers = sorted(log.members)
    if len(watchers) > MAX_MEMBERS_ALL_WATCH:
        watchers = watchers[:WATCHING_MEMBERS]
    if log.node not in watchers:
        return Step(log)
    log = replace(log, watch_open=True)
    return Step(log, (WatchTickets(log.view.number),))


def _apply_compacted_view(
    log: TicketLog, result: View | None | Failure, now: float
) -> Step:
    log = replace(log, poll_in_flight=False)
    match result:
        case View():
            log = replace(log, loaded=True, compacted_number=result.number)
            return adopt_view(log, result, "store").then(_poll_soon, now)
        case None:
            return _poll_soon(replace(log, loaded=True), now)
        case Failure(kind=ErrorKind.UNAVAILABLE):
            return _record_store_failure(log, result)
        case Failure(reason=reason):
            text = f"compacted view not usable cause={reason}"
            line = LogLine(LogLevel.ERROR, text)
            log = replace(log, loaded=True)
            return Step(log, (line,)).then(_poll_soon, now)


def _apply_poll(log: TicketLog, event: NewTicketsRead, now: float) -> Step:
    log = replace(log, poll_in_flight=False)
    view = extended_view(log, event.tickets)
    extended = append_tickets(log, event.tickets, "store")
    if isinstance(view, Failure):
        return extended
    extended = extended.then(_record_store_failure, event.failure)
    if event.failure is not None:
        return extended
    if not event.complete:
        return extended.then(_poll_soon, now)
    if newer := peers_ahead(extended.log):
        # The store reported no ticket after this node's newest one, but a
        # peer holds a newer one. The read returned older state, so it does
        # not show that the log is up to date.
        text = (
            f"store answered older state newest={extended.log.view.number} "
            f"newer_node={newer[0]}"
        )
        return extended.add_actions(LogLine(LogLevel.WARNING, text))
    return extended.add_actions(Publish(TicketsUpToDate(event.checked_at)))


def _record_store_failure(log: TicketLog, failure: Failure | None) -> Step:
    """Log a line when reads of the store start to fail or recover."""
    reason = failure.reason if failure else ""
    if reason == log.store_failure:
        return Step(log)
    log = replace(log, store_failure=reason)
    match failure:
        case None:
            line = LogLine(LogLevel.INFO, "ticket reads recovered")
        case Failure(kind=ErrorKind.TICKET_CONFLICT):
            line = LogLine(
                LogLevel.ERROR, f"ticket record rejected cause={reason}"
            )
        case Failure():
            text = f"ticket reads failed cause={reason}"
            line = LogLine(LogLevel.WARNING, text)
    return Step(log, (line,))


def _apply_delivered(log: TicketLog, ticket: Ticket, now: float) -> Step:
    """Apply a ticket from the watch, or poll if earlier ones are missing."""
    if ticket.number > log.view.number + 1:
        return _poll_soon(log, now)
    return append_tickets(log, (ticket,), "watch")


def _apply_link_change(
    log: TicketLog, event: PeerUp | PeerDown, now: float
) -> Step:
    peer = log.peers.get(event.node, PeerState())
    match event:
        case PeerDown():
            return Step(set_peer(log, event.node, replace(peer, is_up=False)))
        case PeerUp(incarnation=incarnation):
            if incarnation != peer.incarnation:
                # A restarted node may hold fewer tickets than it
                # reported before.
                peer = PeerState(incarnation)
            log = set_peer(log, event.node, replace(peer, is_up=True))
            if log.loaded:
                return Step(log)
            return Step(log, (_fetch_from(log, event.node),))


def _handle_peer_message(
    log: TicketLog,
    node: str,
    message: FetchTickets | TicketBatch | TicketNotice | TicketHeld,
    now: float,
) -> Step:
    match message:
        case FetchTickets(after=after):
            return _send_tickets(log, node, after)
        case TicketBatch(tickets=tickets):
            previous = log.view.number
            extended = append_tickets(log, tickets, f"node:{node}")
            if extended.log.view.number == previous:
                return extended
            # A batch can be only a part of the missing tickets, so the next
            # one is requested without the wait for a lost request.
            log = replace(extended.log, next_fetch_at=now)
            return Step(log, extended.actions).then(_fetch_missing, now)
        case TicketNotice(ticket=ticket):
            return _apply_notice(log, node, ticket, now)
        case TicketHeld(number=number, digest=digest):
            return _record_report(log, node, number, digest, now)


def _send_tickets(log: TicketLog, node: str, after: int) -> Step:
    """Send the tickets after a number, or the view if they are too old."""
    if after >= log.view.number:
        return Step(log)
    if find_recent(log, after + 1) is None:
        return Step(log, (SendView(node, log.view),))
    tickets = _select_recent(
        log, after, MAX_TICKETS_PER_MESSAGE, MAX_BATCH_BYTES
    )
    return Step(log, (SendPeer(node, TicketBatch(tickets)),))


def _apply_notice(
    log: TicketLog, node: str, ticket: Ticket, now: float
) -> Step:
    """Apply a ticket that a peer recorded, and confirm it if applied."""
    digest = ticket.digest()
    extended = Step(log)
    if ticket.number <= log.view.number + 1:
        extended = append_tickets(log, (ticket,), f"node:{node}")
    extended = extended.then(_record_report, node, ticket.number, digest, now)
    if known_digest(extended.log, ticket.number) != digest:
        return extended
    return extended.add_actions(
        SendPeer(node, TicketHeld(ticket.number, digest))
    )


def _record_report(
    log: TicketLog, node: str, number: int, digest: str, now: float
) -> Step:
    """Record the newest ticket of a peer, and fetch missing tickets."""
    peer = log.peers.get(node, PeerState())
    if number < peer.number or (number, digest) == (peer.number, peer.digest):
        return _fetch_missing(log, now)
    log = set_peer(log, node, replace(peer, number=number, digest=digest))
    known = known_digest(log, number)
    if known is not None and known != digest:
        text = (
            f"ticket conflict node={node} number={number} digest={digest} "
            f"expected={known}"
        )
        return Step(log, (LogLine(LogLevel.ERROR, text),))
    return _fetch_missing(log, now)


def _fetch_missing(log: TicketLog, now: float) -> Step:
    """Request missing tickets from a peer unless a request is pending."""
    if now < log.next_fetch_at:
        return Step(log)
    reachable = tuple(
        node for node in peers_ahead(log) if log.peers[node].is_up
    )
    if not reachable:
        return Step(log)
    # Peers are asked in turn, so that an unresponsive one does not keep this
    # node behind.
    node = reachable[int(now / FETCH_RETRY_S) % len(reachable)]
    log = replace(log, next_fetch_at=now + FETCH_RETRY_S)
    return Step(log, (_fetch_from(log, node),))


def _fetch_from(log: TicketLog, node: str) -> SendPeer:
    return SendPeer(node, FetchTickets(log.view.number))


def _show_ticket(log: TicketLog, request_id: int, number: int) -> Step:
    if number < 1:
        failure = Failure(
            ErrorKind.MALFORMED, "ticket numbers start at 1", True
        )
        return Step(log, (Reply(request_id, failure),))
    recent = find_recent(log, number)
    if recent is None:
        return Step(log, (ReadRecord(number, request_id),))
    return _reply_with_ticket(log, request_id, number, recent.ticket)


def _reply_with_ticket(
    log: TicketLog, request_id: int, number: int, result: Ticket | Failure
) -> Step:
    match result:
        case Ticket():
            held = holders(log, number)
            shown = TicketShown(result, held, is_accepted(log, number))
            return Step(log, (Reply(request_id, shown),))
        case Failure(kind=ErrorKind.NOT_FOUND) if number <= log.view.number:
            failure = Failure(
                ErrorKind.UNAVAILABLE,
                f"ticket {number} exists, but the store returned older state",
            )
        case Failure(kind=ErrorKind.NOT_FOUND):
            failure = Failure(
                ErrorKind.NOT_FOUND,
                f"ticket {number} is not recorded; the newest ticket is "
                f"{log.view.number}",
            )
        case Failure():
            failure = result
    return Step(log, (Reply(request_id, failure),))


def _list_tickets(
    log: TicketLog, request_id: int, request: ListTickets
) -> Step:
    after = max(0, request.after)
    limit = max(1, min(request.limit, MAX_TICKETS_PER_MESSAGE))
    if after >= log.view.number or find_recent(log, after + 1):
        tickets = _select_recent(log, after, limit, MAX_LIST_BYTES)
        return Step(log, (Reply(request_id, tickets),))
    limit = min(limit, log.view.number - after)
    return Step(log, (ReadTicketList(request_id, after, limit),))


def _select_recent(
    log: TicketLog, after: int, limit: int, max_bytes: int
) -> tuple[Ticket, ...]:
    """Return recent tickets after a number, within the limits.

    The first one is returned even if it is larger than ``max_bytes``.
    """
    selected, total = [], 0
    for recent in log.recent:
        if recent.number <= after:
            continue
        total += recent.size_bytes
        if len(selected) == limit or (selected and total > max_bytes):
            break
        selected.append(recent.ticket)
    return tuple(selected)
