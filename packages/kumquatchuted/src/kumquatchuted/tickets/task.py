"""The ticket task: owns the log, calls the store and messages peers."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import logbook

from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket_codec import encode_ticket
from kumquatchuted.mailbox import answer
from kumquatchuted.mailbox import Ask
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.peers.messages import FromPeer
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.peers.messages import ToPeer
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.platform.store import Store
from kumquatchuted.tickets.actions import Action
from kumquatchuted.tickets.actions import CreateTicket
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
from kumquatchuted.tickets.actions import WriteCompactedView
from kumquatchuted.tickets.codec import add_chunk
from kumquatchuted.tickets.codec import assemble_view
from kumquatchuted.tickets.codec import ChunkAssembly
from kumquatchuted.tickets.codec import split_view
from kumquatchuted.tickets.compaction import read_compacted_view
from kumquatchuted.tickets.compaction import write_compacted_view
from kumquatchuted.tickets.events import CompactedViewRead
from kumquatchuted.tickets.events import CompactionFailed
from kumquatchuted.tickets.events import Event
from kumquatchuted.tickets.events import MembershipChanged
from kumquatchuted.tickets.events import PeerDown
from kumquatchuted.tickets.events import PeerMessage
from kumquatchuted.tickets.events import PeerUp
from kumquatchuted.tickets.events import RequestReceived
from kumquatchuted.tickets.events import Tick
from kumquatchuted.tickets.events import ViewReceived
from kumquatchuted.tickets.events import WatchEnded
from kumquatchuted.tickets.log import step
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChunk
from kumquatchuted.tickets.state import TicketLog
from kumquatchuted.tickets.store_calls import create_record
from kumquatchuted.tickets.store_calls import read_new_tickets
from kumquatchuted.tickets.store_calls import read_record
from kumquatchuted.tickets.store_calls import read_ticket_list
from kumquatchuted.tickets.store_calls import watch_tickets
from kumquatchuted.tickets.submit import MAX_TICKET_NUMBER

TICK_INTERVAL_S = 0.25
DIGEST_CHARS = 32

log = logbook.Logger("tickets")


class TicketTask:
    """Feeds the log with events and runs the actions that it returns."""

    def __init__(
        self,
        node: str,
        store: Store,
        dcs: frozenset[str],
        send: Post,
        subscribers: tuple[Post, ...],
        clock: Callable[[], float],
    ) -> None:
        """Create the task; ``run`` starts it.

        :param node: name of this node
        :param store: store that holds tickets and the compacted view
        :param dcs: data centres that exist
        :param send: receives ``ToPeer``
        :param subscribers: receive ``ViewChanged`` and ``TicketsUpToDate``
        :param clock: monotonic time in seconds
        """
        self.mailbox = Mailbox()
        self._store = store
        self._send = send
        self._subscribers = subscribers
        self._clock = clock
        self._log = TicketLog(node, dcs)
        self._requests: dict[int, Ask] = {}
        self._next_request_id = 1
        self._assemblies: dict[str, ChunkAssembly] = {}

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async with asyncio.TaskGroup() as children:
            children.create_task(self._post_ticks())
            while True:
                event = self._to_event(await self.mailbox.get())
                if event is None:
                    continue
                result = step(self._log, event, self._clock())
                self._log = result.log
                for action in result.actions:
                    self._perform(action, children)

    async def _post_ticks(self) -> None:
        while True:
            self.mailbox.post(Tick())
            await asyncio.sleep(TICK_INTERVAL_S)

    def _to_event(self, message: Any) -> Event | None:
        """Return the event of a message, or None if the log gets none."""
        match message:
            case Ask(request=request):
                return self._register_request(message, request)
            case FromPeer(node=node, message=ViewChunk() as chunk):
                return self._add_chunk(node, chunk)
            case FromPeer(node=node, message=sent):
                return PeerMessage(node, sent)
            case PlacementChanged(placement=placement):
                membership = placement.membership
                older_epochs = (former.members for former in membership.former)
                return MembershipChanged(
                    _node_names(membership.members),
                    tuple(map(_node_names, older_epochs)),
                )
            case LinkUp(node=node, incarnation=incarnation):
                return PeerUp(node, incarnation)
            case LinkDown(node=node):
                self._assemblies.pop(node, None)
                return PeerDown(node)
            case _:
                return message

    def _register_request(
        self, message: Ask, request: Any
    ) -> RequestReceived | None:
        if isinstance(request, SubmitTicket):
            if failure := _check_size(request):
                answer(message, failure)
                return None
        number = self._next_request_id
        self._next_request_id += 1
        self._requests[number] = message
        return RequestReceived(number, request)

    def _add_chunk(self, node: str, chunk: ViewChunk) -> ViewReceived | None:
        if chunk.number <= self._log.view.number:
            return None
        assembly = add_chunk(self._assemblies.pop(node, None), chunk)
        if not assembly.is_complete:
            self._assemblies[node] = assembly
            return None
        view = assemble_view(assembly)
        if isinstance(view, Failure):
            log.error("view rejected node={} cause={}", node, view.reason)
            return None
        return ViewReceived(node, view)

    def _perform(self, action: Action, children: asyncio.TaskGroup) -> None:
        match action:
            case Publish(message=message):
                for post in self._subscribers:
                    post(message)
            case Reply(request_id=request_id, result=result):
                answer(self._requests.pop(request_id), result)
            case SendPeer(node=node, message=message):
                self._send(ToPeer(node, message))
            case SendView(node=node, view=view):
                children.create_task(self._send_view(node, view))
            case LogLine(level=level, text=text):
                _write_line(level, text)
            case _:
                children.create_task(self._run_store_call(action))

    async def _send_view(self, node: str, view: View) -> None:
        for chunk in await asyncio.to_thread(split_view, view):
            self._send(ToPeer(node, chunk))

    async def _run_store_call(self, action: Action) -> None:
        """Run the store call of an action and post its result."""
        event = await self._store_call(action)
        if event is not None:
            self.mailbox.post(event)

    def _store_call(self, action: Action) -> Coroutine[Any, Any, Event | None]:
        match action:
            case ReadCompactedView():
                return self._read_compacted_view()
            case ReadNewTickets():
                return read_new_tickets(self._store, action, self._clock)
            case CreateTicket(ticket=ticket):
                return create_record(self._store, ticket)
            case ReadRecord():
                return read_record(self._store, action)
            case ReadTicketList():
                return read_ticket_list(self._store, action)
            case WatchTickets():
                return self._watch(action)
            case WriteCompactedView(view=view):
                return self._write_compacted_view(view)

    async def _read_compacted_view(self) -> CompactedViewRead:
        return CompactedViewRead(await read_compacted_view(self._store))

    async def _watch(self, action: WatchTickets) -> WatchEnded:
        await watch_tickets(self._store, action, self.mailbox.post)
        return WatchEnded()

    async def _write_compacted_view(self, view: View) -> Event | None:
        failure = await write_compacted_view(self._store, view)
        if failure is None:
            return None
        log.warning(
            "compaction failed number={} cause={}",
            view.number,
            failure.reason,
        )
        return CompactionFailed(view.number)


def _node_names(members: tuple[Member, ...]) -> frozenset[str]:
    """Return the node names of members."""
    return frozenset(member.node for member in members)


def _check_size(request: SubmitTicket) -> Failure | None:
    """Check the encoded size of the ticket.

    Its number and the digest of the previous ticket are not known yet, so the
    longest ones are assumed.

    :returns: the failure, None if the ticket is not too large
    """
    longest = Ticket(
        MAX_TICKET_NUMBER, "f" * DIGEST_CHARS, request.author, request.entries
    )
    body = encode_ticket(longest)
    return body if isinstance(body, Failure) else None


def _write_line(level: LogLevel, text: str) -> None:
    match level:
        case LogLevel.INFO:
            log.info("{}", text)
        case LogLevel.WARNING:
            log.warning("{}", text)
        case LogLevel.ERROR:
            log.error("{}", text)
