"""Confirmations: currency through a majority of peers, and replies to them."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from kumquatchuted.placement.lease import NEVER
from kumquatchuted.placement.messages import Confirmed
from kumquatchuted.placement.messages import ConfirmRequest
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership

CONFIRM_DURATION_S = 4.0
CONFIRM_INTERVAL_S = 1.0
# Rounds older than the duration cannot make the node current.
MAX_ROUNDS = 8


@dataclass(frozen=True)
class ConfirmRound:
    """Requests sent to all peers at the same time."""

    seq: int
    epoch: int
    sent_at: float


@dataclass(frozen=True)
class ConfirmState:
    """Rounds sent and what was granted to this node.

    :param granted: incarnation to the time at which the newest request that
        it granted was sent
    """

    seq: int = 0
    rounds: tuple[ConfirmRound, ...] = ()
    granted: Mapping[str, float] = field(default_factory=dict)


def majority_size(members: tuple[Member, ...]) -> int:
    """Return how many members are a majority."""
    return len(members) // 2 + 1


def begin_round(state: ConfirmState, epoch: int, now: float) -> ConfirmState:
    """Return the state with a new round; its number is ``seq``."""
    seq = state.seq + 1
    rounds = (state.rounds + (ConfirmRound(seq, epoch, now),))[-MAX_ROUNDS:]
    return replace(state, seq=seq, rounds=rounds)


def clear_granted(state: ConfirmState) -> ConfirmState:
    """Forget what was granted to an incarnation that was given up."""
    return replace(state, granted={}, rounds=())


def record_confirmation(
    state: ConfirmState, reply: Confirmed, epoch: int, ticket: int
) -> ConfirmState:
    """Record a reply.

    What was granted in an older epoch counts in a newer one: it says that
    the sender knew nothing newer than the older epoch. A reply that names a
    newer ticket does not count: that ticket may have taken a data centre
    out, and the next round is asked with it.

    :param epoch: epoch of this node
    :param ticket: newest ticket of this node
    """
    request_round = next((r for r in state.rounds if r.seq == reply.seq), None)
    if request_round is None or request_round.epoch > epoch:
        return state
    if not reply.granted or reply.ticket > ticket:
        return state
    previous = state.granted.get(reply.incarnation, NEVER)
    granted = {
        **state.granted,
        reply.incarnation: max(previous, request_round.sent_at),
    }
    return replace(state, granted=granted)


def confirmed_until(
    state: ConfirmState, membership: Membership, incarnation: str, now: float
) -> float:
    """Return until when the node is current through its peers.

    :param incarnation: of this node, which confirms itself if it is a member
    """
    members = membership.members
    if not members:
        return NEVER
    times = sorted(
        (
            now
            if m.incarnation == incarnation
            else state.granted.get(m.incarnation, NEVER)
            for m in members
        ),
        reverse=True,
    )
    return times[majority_size(members) - 1] + CONFIRM_DURATION_S


def should_grant(
    request: ConfirmRequest, membership: Membership, removed: frozenset[str]
) -> bool:
    """Tell whether this node knows nothing newer than the asker.

    :param removed: incarnations that were members in an older epoch only
    """
    return (
        0 < membership.epoch <= request.epoch
        and request.incarnation not in removed
    )
