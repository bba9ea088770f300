"""The placement task: connects the protocol to the store and the peers."""

import asyncio
from collections.abc import Callable
import random
from typing import Any

import logbook

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import PeerSettings
from kumquatchuted.mailbox import answer
from kumquatchuted.mailbox import Ask
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.peers.messages import FromPeer
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.peers.messages import PeerIdentity
from kumquatchuted.peers.messages import PeersChanged
from kumquatchuted.peers.messages import ReplyToPeer
from kumquatchuted.peers.messages import ToPeer
from kumquatchuted.placement.messages import AnswerLeave
from kumquatchuted.placement.messages import AnswerRelease
from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import LogLine
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import PeerMessage
from kumquatchuted.placement.messages import PeerUp
from kumquatchuted.placement.messages import Publish
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.placement.messages import SendPeer
from kumquatchuted.placement.messages import SendReply
from kumquatchuted.placement.messages import Tick
from kumquatchuted.placement.messages import TicketStatus
from kumquatchuted.placement.protocol import step
from kumquatchuted.placement.protocol import tick_due
from kumquatchuted.placement.state import initial_state
from kumquatchuted.placement.state import known_members
from kumquatchuted.placement.storage import run_request
from kumquatchuted.platform.store import Store
from kumquatchuted.tickets.messages import ViewChanged

log = logbook.Logger("placement")

MIN_TICK_INTERVAL_S = 0.1
"""Shortest time between two ticks.

While an older epoch is guarded, the next tick is always due.
"""


class PlacementTask:
    """Owns the ``PlacementState`` of the node."""

    def __init__(
        self,
        member: Member,
        host: str,
        store: Store,
        send: Post,
        subscribers: tuple[Post, ...],
        seeds: tuple[PeerSettings, ...],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create the task; ``run`` starts it.

        :param member: this node
        :param host: host of this node, which operators can take out of
            service
        :param send: receives ``ToPeer`` and ``ReplyToPeer``
        :param subscribers: receive ``PlacementChanged``, ``CurrentUntil``,
            ``PeerHasTicket`` and ``PeersChanged``
        :param seeds: nodes to contact while the store is down
        :param clock: returns monotonic time in seconds
        :param rng: draws delays after conflicts, so that nodes differ
        """
        self.mailbox = Mailbox()
        self._state = initial_state(member, tuple(s.name for s in seeds))
        self._host = host
        self._seeds = seeds
        self._store = store
        self._send = send
        self._subscribers = subscribers
        self._clock = clock
        self._rng = rng
        self._pending_requests: dict[type, list[Ask]] = {}
        self._peers: PeersChanged | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0.0
        self._next_tick = clock()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                self._publish_peers()
                self._set_timer()
                while True:
                    self._handle(await self.mailbox.get(), group)
                    self._set_timer()
        finally:
            self._cancel_timer()

    def _set_timer(self) -> None:
        """Set the timer for the next tick; one that fires earlier is kept."""
        due = max(tick_due(self._state), self._next_tick)
        if self._timer is not None and self._timer_due <= due:
            return
        self._cancel_timer()
        self._timer_due = due
        self._timer = asyncio.get_running_loop().call_later(
            max(0.0, due - self._clock()), self.mailbox.post, Tick()
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle(self, message: Any, group: asyncio.TaskGroup) -> None:
        if isinstance(message, Tick):
            self._cancel_timer()
            self._next_tick = self._clock() + MIN_TICK_INTERVAL_S
        event = self._to_event(message)
        if event is None:
            return
        self._state, actions = step(
            self._state, event, self._clock(), self._rng
        )
        for action in actions:
            self._perform(action, message, group)
        self._publish_peers()

    def _to_event(self, message: Any) -> Any:
        """Return the protocol event for a message, None if there is none."""
        match message:
            case Ask(LeaveMembership() | ReleaseLease()):
                kind = type(message.request)
                self._pending_requests.setdefault(kind, []).append(message)
                return message.request
            case FromPeer(node, body):
                return PeerMessage(node, body)
            case LinkUp(node):
                return PeerUp(node)
            case LinkDown():
                return None
            case ViewChanged(view):
                out_of_service = (
                    self._state.local.dc in view.dcs_out
                    or self._host in view.hosts_out
                )
                return TicketStatus(view.number, view.digest, out_of_service)
            case _:
                return message

    def _perform(
        self, action: Any, message: Any, group: asyncio.TaskGroup
    ) -> None:
        match action:
            case SendReply(body):
                requester = PeerIdentity(message.node, message.incarnation)
                self._send(ReplyToPeer(requester, body))
            case Publish(body):
                self._publish(body)
            case SendPeer(node, body):
                self._send(ToPeer(node, body))
            case LogLine(text):
                log.info("{}", text)
            case AnswerLeave(reason):
                self._answer(LeaveMembership, reason)
            case AnswerRelease(reason):
                self._answer(ReleaseLease, reason)
            case _:
                group.create_task(self._run_store_request(action))

    async def _run_store_request(self, action: Any) -> None:
        """Run a store request and post its outcome.

        This runs in a task of its own: the mailbox must not wait for the
        store.
        """
        event = await run_request(self._store, action, self._clock)
        self.mailbox.post(event)

    def _answer(self, kind: type, reason: str | None) -> None:
        result = None
        if reason is not None:
            result = Failure(ErrorKind.UNAVAILABLE, reason)
        for message in self._pending_requests.pop(kind, []):
            answer(message, result)

    def _publish(self, message: Any) -> None:
        for post in self._subscribers:
            post(message)

    def _publish_peers(self) -> None:
        """Publish which nodes to keep links with, if that changed."""
        members = {m.node: m for m in known_members(self._state)}
        for seed in self._seeds:
            members.setdefault(
                seed.name, Member(seed.name, "", "", seed.address)
            )
        members.pop(self._state.local.node, None)
        peers = PeersChanged(tuple(members.values()))
        if peers != self._peers:
            self._peers = peers
            self._publish(peers)
