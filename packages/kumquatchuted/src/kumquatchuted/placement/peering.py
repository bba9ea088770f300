"""Requests for confirmation and messages from other nodes."""

from dataclasses import replace
from typing import Any

from kumquatchuted.placement.confirm import begin_round
from kumquatchuted.placement.confirm import CONFIRM_INTERVAL_S
from kumquatchuted.placement.confirm import grants
from kumquatchuted.placement.confirm import on_confirmed
from kumquatchuted.placement.epochs import adopt
from kumquatchuted.placement.guards import acknowledge
from kumquatchuted.placement.messages import Announce
from kumquatchuted.placement.messages import AnswerPeer
from kumquatchuted.placement.messages import Confirmed
from kumquatchuted.placement.messages import ConfirmRequest
from kumquatchuted.placement.messages import EpochAcked
from kumquatchuted.placement.messages import EpochHeld
from kumquatchuted.placement.messages import EpochNotice
from kumquatchuted.placement.messages import SendPeer
from kumquatchuted.placement.state import heard
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import Step
from kumquatchuted.placement.state import to_all
from kumquatchuted.tickets.messages import PeerHasTicket


def ask_peers(state: PlacementState, now: float) -> Step:
    """Begin a round of requests for confirmation."""
    epoch = state.membership.epoch
    confirm = begin_round(state.confirm, epoch, now)
    state = replace(
        state, confirm=confirm, confirm_due=now + CONFIRM_INTERVAL_S
    )
    request = ConfirmRequest(
        state.local.node, state.local.incarnation, epoch, confirm.seq
    )
    return state, to_all(state, request)


def on_peer(
    state: PlacementState, node: str, message: Any, now: float
) -> Step:
    """Take a message from another node."""
    match message:
        case ConfirmRequest():
            return _on_confirm_request(state, node, message, now)
        case Confirmed(incarnation=sender, epoch=epoch):
            confirm = on_confirmed(
                state.confirm,
                message,
                state.membership.epoch,
                state.tickets.number,
            )
            state = heard(replace(state, confirm=confirm), sender, epoch, now)
            ticket = PeerHasTicket(node, message.ticket, message.ticket_digest)
            return state, (Announce(ticket),)
        case EpochNotice(membership):
            return adopt(state, membership, now, f"told by {node}")
        case EpochHeld(sender, epoch):
            return heard(state, sender, epoch, now), ()
        case EpochAcked(sender, epoch):
            evidence = acknowledge(state.evidence, sender, epoch, now)
            return replace(state, evidence=evidence), ()
        case _:
            return state, ()


def _on_confirm_request(
    state: PlacementState, node: str, request: ConfirmRequest, now: float
) -> Step:
    state = heard(state, request.incarnation, request.epoch, now)
    granted = not state.stopped and grants(
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
    actions: tuple[Any, ...] = (AnswerPeer(reply),)
    if request.epoch < state.membership.epoch:
        actions += (SendPeer(node, EpochNotice(state.membership)),)
    return state, actions
