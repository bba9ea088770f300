"""State machine of the ticket log: an event in, the new state and actions out.

The log grows from the poll of the store, from its watch, and from peers. The
submission protocol is in ``submit``.
"""

from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import Ticket
from kumquatchuted.tickets.actions import Level
from kumquatchuted.tickets.actions import LogLine
from kumquatchuted.tickets.actions import Publish
from kumquatchuted.tickets.actions import ReadHead
from kumquatchuted.tickets.actions import ReadNext
from kumquatchuted.tickets.actions import ReadRecord
from kumquatchuted.tickets.actions import ReadRecords
from kumquatchuted.tickets.actions import Reply
from kumquatchuted.tickets.actions import Tell
from kumquatchuted.tickets.actions import TellView
from kumquatchuted.tickets.actions import WatchTickets
from kumquatchuted.tickets.chain import adopt
from kumquatchuted.tickets.chain import extend
from kumquatchuted.tickets.chain import joined
from kumquatchuted.tickets.events import Asked
from kumquatchuted.tickets.events import CompactionFailed
from kumquatchuted.tickets.events import CreateDone
from kumquatchuted.tickets.events import Event
from kumquatchuted.tickets.events import HeadRead
from kumquatchuted.tickets.events import MembersKnown
from kumquatchuted.tickets.events import NextRead
from kumquatchuted.tickets.events import PeerDown
from kumquatchuted.tickets.events import PeerSaid
from kumquatchuted.tickets.events import PeerUp
from kumquatchuted.tickets.events import RecordRead
from kumquatchuted.tickets.events import RecordsRead
from kumquatchuted.tickets.events import Tick
from kumquatchuted.tickets.events import TicketSeen
from kumquatchuted.tickets.events import ViewFetched
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
from kumquatchuted.tickets.schedule import compaction_failed
from kumquatchuted.tickets.spreading import settle
from kumquatchuted.tickets.state import ahead
from kumquatchuted.tickets.state import find
from kumquatchuted.tickets.state import holders
from kumquatchuted.tickets.state import is_accepted
from kumquatchuted.tickets.state import known_digest
from kumquatchuted.tickets.state import Log
from kumquatchuted.tickets.state import Peer
from kumquatchuted.tickets.state import set_peer
from kumquatchuted.tickets.state import Step
from kumquatchuted.tickets.submit import checked
from kumquatchuted.tickets.submit import create_done
from kumquatchuted.tickets.submit import record_read
from kumquatchuted.tickets.submit import submit
from kumquatchuted.tickets.submit import tick

POLL_S = 2.0
WATCH_AGAIN_S = 1.0
# In a cell with more members, two of them watch and the others learn from
# them, because the store counts each pending watch as a call.
ALL_WATCH_NODES = 4
WATCHERS = 2
# A lost request to a peer is repeated after this time.
FETCH_AGAIN_S = 1.0
MAX_LISTED = 100
LIST_BYTES = 4_000_000
# Peer messages hold at most 1 MiB.
BATCH_BYTES = 600_000


def step(log: Log, event: Event, now: float) -> Step:
    """Return the new state and the actions that an event causes.

    :param now: monotonic time in seconds
    """
    return _react(log, event, now).then(settle)


def _react(log: Log, event: Event, now: float) -> Step:
    match event:
        case Tick():
            return tick(log, now).then(_poll, now).then(_watch, now)
        case Asked(ask=ask, request=SubmitTicket() as request):
            return submit(log, ask, request, now)
        case Asked(ask=ask, request=ShowTicket(number=number)):
            return _show(log, ask, number)
        case Asked(ask=ask, request=ListTickets() as request):
            return _list(log, ask, request)
        case MembersKnown(nodes=nodes, older=older):
            return Step(replace(log, members=nodes, older=older))
        case PeerUp() | PeerDown():
            return _link(log, event, now)
        case PeerSaid(node=node, message=message):
            return _heard(log, node, message, now)
        case PeerHasTicket(node=node, number=number, digest=digest):
            return _reported(log, node, number, digest, now)
        case ViewFetched(node=node, view=view):
            return adopt(log, view, f"node {node}").then(_catch_up, now)
        case HeadRead(result=result):
            return _head_read(log, result, now)
        case NextRead(for_submit=True):
            return checked(log, event, now)
        case NextRead():
            return _polled(log, event, now)
        case TicketSeen(ticket=ticket):
            return _seen(log, ticket, now)
        case WatchEnded():
            log = replace(log, watching=False, watch_at=now + WATCH_AGAIN_S)
            return Step(log)
        case CompactionFailed(number=number):
            return Step(compaction_failed(log, number))
        case CreateDone():
            return create_done(log, event, now)
        case RecordRead(ask=None):
            return record_read(log, event, now)
        case RecordRead(ask=ask, number=number, result=result):
            shown = _shown(log, ask, number, result)
            if isinstance(result, Ticket) and number > log.view.number:
                return shown.then(_poll_soon, now)
            return shown
        case RecordsRead(ask=ask, result=result):
            return Step(log, (Reply(ask, result),))


def _poll(log: Log, now: float) -> Step:
    """Read from the store if it is time."""
    if log.reading or now < log.poll_at:
        return Step(log)
    log = replace(log, reading=True, poll_at=now + POLL_S)
    if not log.loaded:
        return Step(log, (ReadHead(),))
    return Step(log, (ReadNext(log.view.number, log.view.digest),))


def _poll_soon(log: Log, now: float) -> Step:
    return _poll(replace(log, poll_at=now), now)


def _watch(log: Log, now: float) -> Step:
    """Open a watch if this node should have one."""
    if log.watching or not log.loaded or now < log.watch_at:
        return Step(log)
    watchers = sorted(log.members)
    if len(watchers) > ALL_WATCH_NODES:
        watchers = watchers[:WATCHERS]
    if log.node not in watchers:
        return Step(log)
    log = replace(log, watching=True)
    return Step(log, (WatchTickets(log.view.number),))


def _head_read(log: Log, result: View | None | Failure, now: float) -> Step:
    log = replace(log, reading=False)
    match result:
        case View():
            log = replace(log, loaded=True, compacted=result.number)
            return adopt(log, result, "the store").then(_poll_soon, now)
        case None:
            return _poll_soon(replace(log, loaded=True), now)
        case Failure(kind=ErrorKind.UNAVAILABLE):
            return _note_fault(log, result)
        case Failure(reason=reason):
            text = f"the compacted view is not usable: {reason}"
            line = LogLine(Level.ERROR, text)
            log = replace(log, loaded=True)
            return Step(log, (line,)).then(_poll_soon, now)


def _polled(log: Log, event: NextRead, now: float) -> Step:
    log = replace(log, reading=False)
    view = joined(log, event.tickets)
    grown = extend(log, event.tickets, "the store")
    if isinstance(view, Failure):
        return grown
    grown = grown.then(_note_fault, event.failure)
    if event.failure is not None:
        return grown
    if not event.complete:
        return grown.then(_poll_soon, now)
    if newer := ahead(grown.log):
        # The log ends at our ticket according to the store, but a peer holds
        # a later one: the answer was older state and proves nothing.
        text = (
            f"the store shows no ticket after {grown.log.view.number}, "
            f"but node {newer[0]} reports a newer one"
        )
        return grown.do(LogLine(Level.WARNING, text))
    return grown.do(Publish(TicketsUpToDate(event.at)))


def _note_fault(log: Log, fault: Failure | None) -> Step:
    """Log a line if the store starts to fail, or answers again."""
    reason = fault.reason if fault else ""
    if reason == log.store_fault:
        return Step(log)
    log = replace(log, store_fault=reason)
    match fault:
        case None:
            line = LogLine(Level.INFO, "the store answers again")
        case Failure(kind=ErrorKind.TICKET_CONFLICT):
            line = LogLine(Level.ERROR, reason)
        case Failure():
            text = f"tickets cannot be read from the store: {reason}"
            line = LogLine(Level.WARNING, text)
    return Step(log, (line,))


def _seen(log: Log, ticket: Ticket, now: float) -> Step:
    """Use a ticket from the watch; read the store if others are missing."""
    if ticket.number > log.view.number + 1:
        return _poll_soon(log, now)
    return extend(log, (ticket,), "the watch")


def _link(log: Log, event: PeerUp | PeerDown, now: float) -> Step:
    peer = log.peers.get(event.node, Peer())
    match event:
        case PeerDown():
            return Step(set_peer(log, event.node, replace(peer, up=False)))
        case PeerUp(incarnation=incarnation):
            if incarnation != peer.incarnation:
                # A restarted node may hold less than it reported before.
                peer = Peer(incarnation)
            log = set_peer(log, event.node, replace(peer, up=True))
            if log.loaded:
                return Step(log)
            return Step(log, (_fetch_from(log, event.node),))


def _heard(
    log: Log,
    node: str,
    message: FetchTickets | TicketBatch | TicketNotice | TicketHeld,
    now: float,
) -> Step:
    match message:
        case FetchTickets(after=after):
            return _serve(log, node, after)
        case TicketBatch(tickets=tickets):
            before = log.view.number
            grown = extend(log, tickets, f"node {node}")
            if grown.log.view.number == before:
                return grown
            log = replace(grown.log, fetch_at=now)
            return Step(log, grown.actions).then(_catch_up, now)
        case TicketNotice(ticket=ticket):
            return _noticed(log, node, ticket, now)
        case TicketHeld(number=number, digest=digest):
            return _reported(log, node, number, digest, now)


def _serve(log: Log, node: str, after: int) -> Step:
    """Send tickets after a number, or the view if they are not kept."""
    if after >= log.view.number:
        return Step(log)
    if find(log, after + 1) is None:
        return Step(log, (TellView(node, log.view),))
    tickets = _bounded(log, after, MAX_LISTED, BATCH_BYTES)
    return Step(log, (Tell(node, TicketBatch(tickets)),))


def _noticed(log: Log, node: str, ticket: Ticket, now: float) -> Step:
    """Apply a ticket that a node recorded, and confirm it."""
    digest = ticket.digest()
    grown = Step(log)
    if ticket.number <= log.view.number + 1:
        grown = extend(log, (ticket,), f"node {node}")
    grown = grown.then(_reported, node, ticket.number, digest, now)
    if known_digest(grown.log, ticket.number) != digest:
        return grown
    return grown.do(Tell(node, TicketHeld(ticket.number, digest)))


def _reported(
    log: Log, node: str, number: int, digest: str, now: float
) -> Step:
    """Note the newest ticket of a peer, and fetch what we lack."""
    peer = log.peers.get(node, Peer())
    if number < peer.number or (number, digest) == (peer.number, peer.digest):
        return _catch_up(log, now)
    log = set_peer(log, node, replace(peer, number=number, digest=digest))
    known = known_digest(log, number)
    if known is not None and known != digest:
        text = (
            f"node {node} holds another ticket {number}: digest {digest} "
            f"instead of {known}"
        )
        return Step(log, (LogLine(Level.ERROR, text),))
    return _catch_up(log, now)


def _catch_up(log: Log, now: float) -> Step:
    """Request missing tickets from a peer, if none is on its way."""
    if now < log.fetch_at:
        return Step(log)
    up = tuple(node for node in ahead(log) if log.peers[node].up)
    if not up:
        return Step(log)
    # The peers take turns, so that one that does not answer delays nothing.
    node = up[int(now / FETCH_AGAIN_S) % len(up)]
    log = replace(log, fetch_at=now + FETCH_AGAIN_S)
    return Step(log, (_fetch_from(log, node),))


def _fetch_from(log: Log, node: str) -> Tell:
    return Tell(node, FetchTickets(log.view.number))


def _show(log: Log, ask: int, number: int) -> Step:
    if number < 1:
        fault = Failure(ErrorKind.MALFORMED, "tickets start at 1", True)
        return Step(log, (Reply(ask, fault),))
    kept = find(log, number)
    if kept is None:
        return Step(log, (ReadRecord(number, ask),))
    return _shown(log, ask, number, kept.ticket)


def _shown(log: Log, ask: int, number: int, result: Ticket | Failure) -> Step:
    match result:
        case Ticket():
            held = holders(log, number)
            shown = TicketShown(result, held, is_accepted(log, number))
            return Step(log, (Reply(ask, shown),))
        case Failure(kind=ErrorKind.NOT_FOUND) if number <= log.view.number:
            fault = Failure(
                ErrorKind.UNAVAILABLE,
                f"ticket {number} exists, but the store answers with older "
                f"state",
            )
        case Failure(kind=ErrorKind.NOT_FOUND):
            fault = Failure(
                ErrorKind.NOT_FOUND,
                f"ticket {number} is not recorded; the newest ticket is "
                f"{log.view.number}",
            )
        case Failure():
            fault = result
    return Step(log, (Reply(ask, fault),))


def _list(log: Log, ask: int, request: ListTickets) -> Step:
    after = max(0, request.after)
    limit = max(1, min(request.limit, MAX_LISTED))
    if after >= log.view.number or find(log, after + 1):
        tickets = _bounded(log, after, limit, LIST_BYTES)
        return Step(log, (Reply(ask, tickets),))
    limit = min(limit, log.view.number - after)
    return Step(log, (ReadRecords(ask, after, limit),))


def _bounded(
    log: Log, after: int, limit: int, limit_bytes: int
) -> tuple[Ticket, ...]:
    """Return recent tickets after a number, at least one if there is one."""
    chosen, total = [], 0
    for kept in log.recent:
        if kept.number <= after:
            continue
        total += kept.size
        if len(chosen) == limit or (chosen and total > limit_bytes):
            break
        chosen.append(kept.ticket)
    return tuple(chosen)
