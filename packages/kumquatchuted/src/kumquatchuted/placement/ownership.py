"""Which node owns a searcher, and whether this node may send to it."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import OwnerGuard
from kumquatchuted.placement.messages import Placement

MAX_CACHED_WEIGHTS = 65536


@lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def _weight(node: str, searcher: str) -> int:
    """Return the rendezvous weight; it outlives a restart of the node."""
    return xxhash.xxh3_64_intdigest(f"{node}\0{searcher}".encode())


def ranked(members: Iterable[Member], searcher: str) -> tuple[Member, ...]:
    """Return the members that are not leaving, highest weight first."""
    return tuple(
        sorted(
            (m for m in members if not m.leaving),
            key=lambda m: (_weight(m.node, searcher), m.node),
            reverse=True,
        )
    )


def owner_among(members: Iterable[Member], searcher: str) -> Member | None:
    """Return the member with the highest weight that is not leaving."""
    return max(
        (m for m in members if not m.leaving),
        key=lambda m: (_weight(m.node, searcher), m.node),
        default=None,
    )


def owner(placement: Placement, searcher: str) -> Member | None:
    """Return the owner of a searcher in the newest epoch known."""
    return owner_among(placement.membership.members, searcher)


def successor(placement: Placement, searcher: str) -> Member | None:
    """Return the node that owns the searcher once its owner is gone.

    It is the next weight in another data centre, so that the loss of a
    data centre leaves one of the two, or the next weight if there is none.
    """
    match ranked(placement.membership.members, searcher):
        case () | (_,):
            return None
        case (first, *others):
            elsewhere = (m for m in others if m.dc != first.dc)
            return next(elsewhere, others[0])


def may_send_to(placement: Placement, searcher: str) -> bool:
    """Tell whether this node may send to a searcher while it is current.

    The incarnation counts, because a process that was replaced under the
    same name is no owner.
    """
    current_owner = owner(placement, searcher)
    if (
        current_owner is None
        or current_owner.incarnation != placement.incarnation
    ):
        return False
    return not any(_blocks(g, searcher) for g in placement.guards)


def _blocks(guard: OwnerGuard, searcher: str) -> bool:
    """Tell whether the owner in an older epoch may still be sending."""
    if not guard.blocking:
        return False
    former_owner = owner_among(guard.members, searcher)
    return (
        former_owner is not None and former_owner.incarnation in guard.blocking
    )
