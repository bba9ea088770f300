"""Ownership of searchers and permission to send to them."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import OwnerGuard
from kumquatchuted.placement.messages import Placement

MAX_CACHED_WEIGHTS = 65536


@lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def _weight(node: str, searcher: str) -> int:
    """Return the rendezvous hash weight of a node for a searcher.

    It depends on the node name, not on the incarnation, so that a restart of
    the node moves no searchers.
    """
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
    """Return the node that takes the searcher over if its owner fails.

    It has the next highest weight among the nodes of other data centres, so
    that owner and successor are not lost with one data centre. If there is
    no other data centre, it has the next highest weight of all.
    """
    match ranked(placement.membership.members, searcher):
        case () | (_,):
            return None
        case (first, *others):
            elsewhere = (m for m in others if m.dc != first.dc)
            return next(elsewhere, others[0])


def may_send_to(placement: Placement, searcher: str) -> bool:
    """Return True if this node may send to a searcher while it is current.

    The incarnation has to match: a process that was replaced under the same
    node name is not the owner.
    """
    current_owner = owner(placement, searcher)
    if (
        current_owner is None
        or current_owner.incarnation != placement.incarnation
    ):
        return False
    return not any(_blocks(g, searcher) for g in placement.guards)


def _blocks(guard: OwnerGuard, searcher: str) -> bool:
    """Return True if the owner in the older epoch may still send to it."""
    if not guard.blocking:
        return False
    former_owner = owner_among(guard.members, searcher)
    return (
        former_owner is not None and former_owner.incarnation in guard.blocking
    )
