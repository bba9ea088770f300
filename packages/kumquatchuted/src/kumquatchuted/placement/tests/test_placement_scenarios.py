"""Tests single faults, as the design page names them."""

from dataclasses import replace
from itertools import pairwise

import pytest

from kumquatchuted.placement.confirm import confirmed_until
from kumquatchuted.placement.confirm import ConfirmState
from kumquatchuted.placement.guards import blocking_incarnations
from kumquatchuted.placement.guards import Evidence
from kumquatchuted.placement.guards import Guard
from kumquatchuted.placement.lease import INFINITE_PAST
from kumquatchuted.placement.lease import LEASE_DURATION_S
from kumquatchuted.placement.membership_events import finished_epochs
from kumquatchuted.placement.messages import AnswerLeave
from kumquatchuted.placement.messages import AnswerRelease
from kumquatchuted.placement.messages import FormerEpoch
from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.placement.state import initial_state
from kumquatchuted.placement.tests.simulation import Cluster
from kumquatchuted.placement.tests.simulation import SEARCHERS
from kumquatchuted.placement.tests.simulation import started_cluster
from kumquatchuted.placement.tests.simulation import StoreMode

ALL_SEARCHERS = frozenset(SEARCHERS)
MEMBERS = tuple(
    Member(f"n{i}", f"n{i}#1", "dc", f"10.0.0.{i}:1") for i in range(4)
)


def stored_memberships(cluster):
    """Return every membership that the store has held, oldest first."""
    states = cluster.store.states
    found = (s["membership"][0] for s in states if "membership" in s)
    return list(dict.fromkeys(found))


def current_nodes(cluster):
    return [p.name for p in cluster.alive() if p.is_current(cluster.now)]


def test_store_outage_with_one_dead_node_keeps_the_others_current():
    """Guards against a store outage that stops the service.

    No lease can be renewed, but three of four nodes confirm each other.
    """
    cluster = started_cluster(4)
    cluster.store.mode = StoreMode.DOWN
    cluster.kill(cluster.processes[3])
    for _ in range(60):
        cluster.run(1.0)
        assert current_nodes(cluster) == ["n0", "n1", "n2"]


def test_store_outage_with_two_dead_nodes_stops_the_others():
    """Guards against nodes that stay current without a majority.

    The nodes that they cannot reach may have a newer epoch with other owners.
    """
    cluster = started_cluster(4)
    cluster.store.mode = StoreMode.DOWN
    cluster.kill(cluster.processes[3])
    cluster.kill(cluster.processes[2])
    cluster.run(7.0)
    assert current_nodes(cluster) == []


def test_node_cut_off_from_everything_stops_within_the_lease():
    """Guards against new work from a node whose searchers have new owners."""
    cluster = started_cluster(4)
    node = cluster.processes[0]
    node.store_disconnected = True
    for other in cluster.processes[1:]:
        cluster.partition(node.name, other.name)
    cluster.run(LEASE_DURATION_S * 1.02)
    assert not node.is_current(cluster.now)
    cluster.run(30.0)
    assert cluster.serving() == ALL_SEARCHERS


@pytest.mark.proves("start and stop: join", "node paused and resumed")
@pytest.mark.proves(
    "start and stop: join", "lease expired while its holder was paused"
)
@pytest.mark.proves(
    "start and stop: hand over", "lease expired while its holder was paused"
)
def test_paused_node_is_not_current_when_it_resumes_and_joins_again():
    """Guards against a paused owner that sends when it resumes."""
    cluster = started_cluster(4)
    node = cluster.processes[0]
    old = node.state.local.incarnation
    cluster.pause(node)
    cluster.run(20.0)
    assert cluster.serving() == ALL_SEARCHERS
    cluster.resume(node)
    assert not node.is_current(cluster.now)
    cluster.run(20.0)
    assert node.is_current(cluster.now) and node.sendable
    assert node.state.local.incarnation != old


def test_rolling_replacement_serves_everything_at_each_step():
    """Guards against searchers without an owner after a hand-over."""
    cluster = started_cluster(4)
    for node in cluster.processes[:4]:
        cluster.post_event(node, LeaveMembership())
        cluster.run(3.0)
        cluster.post_event(node, ReleaseLease())
        cluster.run(1.0)
        assert node.answers == [AnswerLeave(None), AnswerRelease(None)]
        assert cluster.serving() == ALL_SEARCHERS
        cluster.kill(node)
        cluster.start(node.name, node.state.local.dc)
        cluster.run(15.0)
        assert (
            cluster.serving() == ALL_SEARCHERS
            and len(current_nodes(cluster)) == 4
        )


def test_two_nodes_that_revoke_each_other_both_return():
    """Guards against endless mutual removals and a lasting loss of nodes."""
    cluster = started_cluster(4)
    first, second = cluster.processes[:2]
    cluster.pause(first)
    cluster.pause(second)
    cluster.run(7.5)
    cluster.resume(first)
    cluster.resume(second)
    cluster.run(40.0)
    assert (
        len(current_nodes(cluster)) == 4 and cluster.serving() == ALL_SEARCHERS
    )
    epoch = stored_memberships(cluster)[-1].epoch
    cluster.run(60.0)
    assert stored_memberships(cluster)[-1].epoch == epoch


@pytest.mark.parametrize("count", [4, 8])
@pytest.mark.proves("start and stop: hand over", "node killed", "node killed")
def test_loss_of_many_nodes_removes_at_most_a_minority_in_one_epoch(count):
    """Guards against a membership that is emptied at once.

    A node that reads wrong leases could otherwise remove all other nodes.
    """
    cluster = started_cluster(count)
    for node in cluster.processes[: count // 2]:
        cluster.kill(node)
    cluster.run(60.0)
    assert cluster.serving() == ALL_SEARCHERS
    for before, after in pairwise(stored_memberships(cluster)):
        removed = {m.node for m in before.members}
        removed -= {m.node for m in after.members}
        assert len(removed) <= (len(before.members) - 1) // 2


@pytest.mark.proves("start and stop: hand over", "store down")
def test_long_store_outage_removes_no_node_when_it_ends():
    """Guards against removal of nodes that could not renew in the outage."""
    cluster = started_cluster(4)
    members = stored_memberships(cluster)[-1].members
    cluster.store.mode = StoreMode.DOWN
    cluster.run(120.0)
    cluster.store.mode = StoreMode.UP
    cluster.run(30.0)
    assert stored_memberships(cluster)[-1].members == members


@pytest.mark.proves("start and stop: join", "store down")
def test_node_started_in_an_outage_is_current_but_owns_nothing():
    """Guards against a new node that cannot serve until the store is back."""
    cluster = started_cluster(4)
    cluster.store.mode = StoreMode.DOWN
    node = cluster.start("n9")
    cluster.run(10.0)
    assert node.is_current(cluster.now) and not node.sendable
    cluster.store.mode = StoreMode.UP
    cluster.run(10.0)
    assert any(m.node == "n9" for m in stored_memberships(cluster)[-1].members)


@pytest.mark.parametrize("count", [1, 4])
@pytest.mark.proves("start and stop: restart", "node killed")
@pytest.mark.proves("start and stop: restart", "node killed", "node killed")
def test_restart_of_all_nodes_at_their_addresses_serves_again(count):
    """Guards against endless waiting for owners that have all ended.

    No old process acknowledges an epoch. That a new process has bound the
    address of an old one shows that the old one has ended.
    """
    cluster = started_cluster(count)
    for node in cluster.alive():
        cluster.kill(node)
        member = node.state.local
        cluster.start(node.name, member.dc, member.address)
    cluster.run(40.0)
    assert cluster.serving() == ALL_SEARCHERS


def test_partition_hands_over_only_after_the_majority_side_stops():
    """Guards against two owners while peers still confirm the old owners.

    One node can reach the store and removes others, which stay current
    through each other's confirmations.
    """
    cluster = started_cluster(4)
    for node in cluster.processes[1:]:
        node.store_disconnected = True
        cluster.partition(cluster.processes[0].name, node.name)
    cluster.run(60.0)
    assert current_nodes(cluster) == ["n0", "n1", "n2", "n3"]
    assert cluster.serving() == ALL_SEARCHERS
    cluster.heal()
    cluster.run(60.0)
    assert cluster.serving() == ALL_SEARCHERS


def test_restarted_peer_does_not_confirm_as_its_predecessor():
    """Guards against a majority of processes that lost a newer epoch.

    A process that restarts no longer knows the epochs of its predecessor and
    could confirm a node that was removed in one of them.
    """
    membership = Membership(3, MEMBERS)
    fresh = ConfirmState(granted={"n1#2": 100.0, "n2#1": 100.0})
    assert confirmed_until(fresh, membership, "n0#1", 100.0) == INFINITE_PAST
    full = ConfirmState(granted={"n1#1": 100.0, "n2#1": 99.0})
    assert confirmed_until(full, membership, "n0#1", 100.0) == 103.0


def test_owner_blocks_until_neither_store_nor_peers_can_make_it_current():
    """Guards against two owners because a guard ends too early.

    An owner whose lease cannot be renewed may still be confirmed by peers,
    and an owner that peers no longer confirm may still renew its lease.
    """
    former = FormerEpoch(3, MEMBERS)
    reports = {"n1#1": 10.0, "n2#1": 20.0}
    fenced = Evidence(fenced=frozenset({"n0#1"}))

    def is_cleared(evidence, reported, now=25.0):
        guard = Guard(former, reported)
        return "n0#1" not in blocking_incarnations(
            guard, evidence, "n1#1", now
        )

    assert is_cleared(fenced, reports)
    assert not is_cleared(fenced, reports, now=24.9)
    assert not is_cleared(fenced, {"n1#1": 10.0})
    assert not is_cleared(Evidence(), reports)
    assert is_cleared(Evidence(acked={"n0#1": 4}), {})
    assert not is_cleared(Evidence(acked={"n0#1": 3}), {})


def test_leases_read_before_an_outage_are_read_again_before_removal():
    """Guards against a removal due to the first read after a long gap.

    The node that reads was cut off from the store itself, so it cannot tell
    leases that expired from a store outage.
    """
    cluster = Cluster()
    cluster.start("n0")
    cluster.start("n1")
    cluster.start("n2")
    cluster.run(20.0)
    for node in cluster.processes[1:]:
        cluster.pause(node)
    cluster.processes[0].store_disconnected = True
    cluster.run(30.0)
    cluster.heal()
    for node in cluster.processes[1:]:
        cluster.resume(node)
    cluster.run(5.0)
    assert not any("revoking" in text for _, _, text in cluster.log)


def test_lease_of_a_node_that_never_returns_is_deleted():
    """Guards against a list of leases that grows with each replaced node."""
    cluster = started_cluster(3)
    cluster.kill(cluster.processes[0])
    cluster.run(660.0)
    assert set(cluster.store.states[-1]) == {"membership", "n1", "n2"}


@pytest.mark.proves("start and stop: hand over", "node killed", "node killed")
def test_operator_can_end_the_wait_for_lost_processes():
    """Guards against an outage that operators cannot end.

    Searchers of lost processes have no owner until an operator marks the
    leases of these processes as released.
    """
    cluster = started_cluster(4)
    lost = cluster.processes[1:]
    for node in lost:
        cluster.kill(node)
    cluster.start("n7")
    cluster.start("n8")
    cluster.run(90.0)
    assert cluster.serving() != ALL_SEARCHERS
    for node in lost:
        lease, version = cluster.store.states[-1][node.name]
        ended = replace(lease, released=True)
        cluster.store.write(node.name, ended, version)
    cluster.run(30.0)
    assert cluster.serving() == ALL_SEARCHERS


def test_older_epoch_is_kept_until_the_writer_acknowledges_too():
    """Guards against an older epoch that is removed from the store too early.

    The node that removes it may itself still send as an owner in that epoch;
    a node that joins would then not wait for it.
    """
    former = FormerEpoch(3, MEMBERS[:1])
    guard = Guard(former)
    own = MEMBERS[0].incarnation
    assert not blocking_incarnations(guard, Evidence(), own, 0.0)
    state = replace(initial_state(MEMBERS[0], ()), guards=(guard,))
    assert finished_epochs(state, 0.0) == frozenset()
    evidence = Evidence(acked={own: 4})
    assert finished_epochs(replace(state, evidence=evidence), 0.0) == {3}


@pytest.mark.proves(
    "start and stop: hand over",
    "store answers older state",
    "lease expired while its holder was paused",
)
def test_removed_node_that_reads_stale_answers_cannot_renew():
    """Guards against two owners after a revocation that reads alone decide.

    A removed node that reads an older state finds its lease there unrevoked
    and could become current through it again.
    """
    for seed in range(10):
        cluster = started_cluster(4, seed)
        node = cluster.processes[0]
        old = node.state.local.incarnation
        for other in cluster.processes[1:]:
            cluster.partition(node.name, other.name)
        cluster.pause(node)
        cluster.run(16.0)
        cluster.store.mode = StoreMode.STALE
        cluster.resume(node)
        for _ in range(60):
            cluster.run(0.1)
            revived = node.state.local.incarnation == old
            assert not (revived and node.is_current(cluster.now))
