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
# Older rounds were sent longer ago than CONFIRM_DURATION_S and cannot count.
MAX_ROUNDS = 8


@dataclass(frozen=True)
class ConfirmRound:
    """Confirmation requests sent to all peers at the same time.

    :param sent_at: monotonic time in seconds
    """

    seq: int
    epoch: int
    sent_at: float


@dataclass(frozen=True)
class ConfirmState:
    """Rounds sent and confirmations received.

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
    """Return the state with a new round, numbered by its new ``seq``."""
    seq = state.seq + 1
    rounds = (state.rounds + (ConfirmRound(seq, epoch, now),))[-MAX_ROUNDS:]
    return replace(state, seq=seq, rounds=rounds)


def clear_granted(state: ConfirmState) -> ConfirmState:
    """Return the state without confirmations of a retired incarnation."""
    return replace(state, granted={}, rounds=())


def record_confirmation(
    state: ConfirmState, reply: Confirmed, epoch: int, ticket: int
) -> ConfirmState:
    """Record a reply to a confirmation request.

    A confirmation of a request from an older epoch also counts in a newer
    one: when it was sent, the peer had no epoch newer than the older one. A
    reply that names a newer ticket than this node has does not count:
    that ticket may have taken a data centre out of service. Once this node
    has the ticket, the replies of the next round count again.

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

    :param incarnation: of this node, which confirms itself if it is a member
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
    """Return True if the requester is up to date and may be confirmed.

    :param removed: incarnations that were members in older epochs only
    """
    return (
        0 < membership.epoch <= request.epoch
        and request.incarnation not in removed
    )
