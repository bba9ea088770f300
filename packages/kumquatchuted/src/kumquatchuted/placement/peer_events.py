"""Sends confirmation requests and handles messages from other nodes."""

from dataclasses import replace
from typing import Any

from kumquatchuted.placement.confirm import begin_round
from kumquatchuted.placement.confirm import CONFIRM_INTERVAL_S
from kumquatchuted.placement.confirm import record_confirmation
from kumquatchuted.placement.confirm import should_grant
from kumquatchuted.placement.epochs import adopt_membership
from kumquatchuted.placement.guards import record_acked
from kumquatchuted.placement.messages import Confirmed
from kumquatchuted.placement.messages import ConfirmRequest
from kumquatchuted.placement.messages import EpochAcked
from kumquatchuted.placement.messages import EpochHeld
from kumquatchuted.placement.messages import EpochNotice
from kumquatchuted.placement.messages import Publish
from kumquatchuted.placement.messages import SendPeer
from kumquatchuted.placement.messages import SendReply
from kumquatchuted.placement.state import broadcast
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import record_peer_epoch
from kumquatchuted.placement.state import Step
from kumquatchuted.tickets.messages import PeerHasTicket


def request_confirmations(state: PlacementState, now: float) -> Step:
    """Begin a round of confirmation requests to all known nodes.

    :param now: monotonic time in seconds
    """
    epoch = state.membership.epoch
    confirm = begin_round(state.confirm, epoch, now)
    state = replace(
        state, confirm=confirm, confirm_due=now + CONFIRM_INTERVAL_S
    )
    request = ConfirmRequest(
        state.local.node, state.local.incarnation, epoch, confirm.seq
    )
    return state, broadcast(state, request)


def on_peer_message(
    state: PlacementState, node: str, message: Any, now: float
) -> Step:
    """Handle a message from another node; other types are ignored.

    :param node: name of the sender
    :param now: monotonic time in seconds
    """
    match message:
        case ConfirmRequest():
            return _on_confirm_request(state, node, message, now)
        case Confirmed(incarnation=sender, epoch=epoch):
            confirm = record_confirmation(
                state.confirm,
                message,
                state.membership.epoch,
                state.tickets.number,
            )
            state = record_peer_epoch(
                replace(state, confirm=confirm), sender, epoch, now
            )
            ticket = PeerHasTicket(node, message.ticket, message.ticket_digest)
            return state, (Publish(ticket),)
        case EpochNotice(membership):
            return adopt_membership(state, membership, now, f"node:{node}")
        case EpochHeld(sender, epoch):
            return record_peer_epoch(state, sender, epoch, now), ()
        case EpochAcked(sender, epoch):
            evidence = record_acked(state.evidence, sender, epoch, now)
            return replace(state, evidence=evidence), ()
        case _:
            return state, ()


def _on_confirm_request(
    state: PlacementState, node: str, request: ConfirmRequest, now: float
) -> Step:
    """Reply, and send this node's membership to a requester with an older one.

    A stopped node grants nothing: its released lease tells other nodes that
    it no longer confirms.
    """
    state = record_peer_epoch(state, request.incarnation, request.epoch, now)
    granted = not state.stopped and should_grant(
        request, state.membership, state.removed
    )
    reply = Confirmed(
        state.local.incarnation,
        request.seq,
        state.membership.epoch,
        state.tickets.number,
        state.tickets.digest,
        granted,
    )
    actions: tuple[Any, ...] = (SendReply(reply),)
    if request.epoch < state.membership.epoch:
        actions += (SendPeer(node, EpochNotice(state.membership)),)
    return state, actions
