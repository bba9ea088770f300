"""Confirmations: a node stays current while a majority of peers grants it."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from kumquatchuted.placement.lease import INFINITE_PAST
from kumquatchuted.placement.messages import Confirmed
from kumquatchuted.placement.messages import ConfirmRequest
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership

CONFIRM_DURATION_S = 4.0
CONFIRM_INTERVAL_S = 1.0
# At one round per CONFIRM_INTERVAL_S, older rounds were sent longer ago than
# CONFIRM_DURATION_S, so they can no longer keep the node current.
MAX_ROUNDS = 8


@dataclass(frozen=True)
class ConfirmRound:
    """Confirmation requests sent to all peers at the same time.

    :param seq: number of the round, sent in its requests
    :param epoch: epoch of this node when they were sent
    :param sent_at: monotonic time in seconds
    """

    seq: int
    epoch: int
    sent_at: float


@dataclass(frozen=True)
class ConfirmState:
    """Rounds sent and confirmations received.

    :param seq: number of the newest round
    :param rounds: newest rounds, at most ``MAX_ROUNDS``, oldest first
    :param granted: for each incarnation, when the newest request that it
        granted was sent (monotonic time in seconds)
    """

    seq: int = 0
    rounds: tuple[ConfirmRound, ...] = ()
    granted: Mapping[str, float] = field(default_factory=dict)


def majority_size(members: tuple[Member, ...]) -> int:
    """Return the smallest number of members that is a majority."""
    return len(members) // 2 + 1


def begin_round(state: ConfirmState, epoch: int, now: float) -> ConfirmState:
    """Return the state with a new round; ``seq`` is the number of the round.

    :param epoch: epoch of this node
    :param now: monotonic time in seconds
    """
    seq = state.seq + 1
    rounds = (state.rounds + (ConfirmRound(seq, epoch, now),))[-MAX_ROUNDS:]
    return replace(state, seq=seq, rounds=rounds)


def clear_granted(state: ConfirmState) -> ConfirmState:
    """Return the state without rounds and confirmations.

    They belong to an incarnation of this node that is retired; its successor
    must not stay current through them.
    """
    return replace(state, granted={}, rounds=())


def record_confirmation(
    state: ConfirmState, reply: Confirmed, epoch: int, ticket: int
) -> ConfirmState:
    """Record a reply to a confirmation request.

    A confirmation of a request that was sent in an older epoch still counts
    after this node has adopted a newer one: the peer had no epoch newer than
    that of the request. A reply that names a newer ticket than this node has
    does not count: that ticket may have taken a data centre out of service.
    Once this node has the ticket, the replies to the next round count again.

    :param epoch: epoch of this node
    :param ticket: number of the newest ticket of this node
    """
    request_round = next((r for r in state.rounds if r.seq == reply.seq), None)
    if request_round is None or request_round.epoch > epoch:
        return state
    if not reply.granted or reply.ticket > ticket:
        return state
    previous = state.granted.get(reply.incarnation, INFINITE_PAST)
    granted = {
        **state.granted,
        reply.incarnation: max(previous, request_round.sent_at),
    }
    return replace(state, granted=granted)


def confirmed_until(
    state: ConfirmState, membership: Membership, incarnation: str, now: float
) -> float:
    """Return until when confirmations of peers keep the node current.

    Even a node that is not a member needs a majority of the members.

    :param incarnation: of this node, which confirms itself if it is a member
    :param now: monotonic time in seconds
    :returns: monotonic time in seconds
    """
    members = membership.members
    if not members:
        return INFINITE_PAST
    times = sorted(
        (
            now
            if m.incarnation == incarnation
            else state.granted.get(m.incarnation, INFINITE_PAST)
            for m in members
        ),
        reverse=True,
    )
    return times[majority_size(members) - 1] + CONFIRM_DURATION_S


def should_grant(
    request: ConfirmRequest, membership: Membership, removed: frozenset[str]
) -> bool:
    """Return True if this node knows nothing newer than the requester.

    A node that has no membership yet (epoch 0) cannot tell and grants nothing.

    :param membership: of this node
    :param removed: incarnations that are members of older epochs only
    """
    return (
        0 < membership.epoch <= request.epoch
        and request.incarnation not in removed
    )
