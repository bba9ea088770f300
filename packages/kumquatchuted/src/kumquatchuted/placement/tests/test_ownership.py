"""Tests which node owns a searcher and may send to it."""

from dataclasses import replace

from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import OwnerGuard
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.ownership import may_send_to
from kumquatchuted.placement.ownership import owner
from kumquatchuted.placement.ownership import successor

SEARCHERS = tuple(f"console-{i}" for i in range(200))
MEMBERS = tuple(
    Member(f"n{i}", f"n{i}.0", f"dc{i % 3}", f"10.0.0.{i}:1") for i in range(4)
)


def make_placement(members=MEMBERS, node="n0", incarnation="n0.0", guards=()):
    return Placement(node, incarnation, Membership(2, members), guards)


def test_removal_moves_only_searchers_of_the_removed_node():
    """Guards against a hash that moves warm searchers between live nodes."""
    before, after = make_placement(), make_placement(MEMBERS[:3])
    for name in SEARCHERS:
        if owner(before, name).node != "n3":
            assert owner(after, name) == owner(before, name)


def test_leaving_member_owns_nothing():
    """Guards against new work for a node that is shutting down."""
    leaving = (replace(MEMBERS[0], leaving=True),) + MEMBERS[1:]
    assert "n0" not in {
        owner(make_placement(leaving), s).node for s in SEARCHERS
    }


def test_successor_is_in_another_data_centre():
    """Guards against losing owner and successor with one data centre."""
    for name in SEARCHERS:
        assert (
            successor(make_placement(), name).dc
            != owner(make_placement(), name).dc
        )
    assert successor(make_placement(MEMBERS[:1]), "console-1") is None


def test_replaced_incarnation_may_not_send():
    """Guards against two senders that share the node name of an owner."""
    owned = [s for s in SEARCHERS if may_send_to(make_placement(), s)]
    assert owned
    replaced = make_placement(incarnation="n0.older")
    assert not any(may_send_to(replaced, s) for s in owned)


def test_guard_blocks_only_searchers_of_the_blocked_owner():
    """Guards against sending while the owner in an older epoch still does."""
    guard = OwnerGuard(1, MEMBERS, frozenset({"n3.0"}))
    after = make_placement(MEMBERS[:3], guards=(guard,))
    before = make_placement()
    for name in SEARCHERS:
        if owner(after, name).node != "n0":
            continue
        assert may_send_to(after, name) == (owner(before, name).node != "n3")
