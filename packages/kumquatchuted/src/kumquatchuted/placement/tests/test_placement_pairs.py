"""Tests hand-over, restart and join with a store fault and a node fault.

The simulation raises as soon as two nodes may send to one searcher. The
tests also check that every searcher has an owner once the faults have ended.
"""

from itertools import product

import pytest

from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.placement.tests.simulation import SEARCHERS
from kumquatchuted.placement.tests.simulation import started_cluster
from kumquatchuted.placement.tests.simulation import StoreMode

ALL_SEARCHERS = frozenset(SEARCHERS)
SEED = 1
RECOVERY_S = 40.0

STORE_FAULTS = {
    "store down": StoreMode.DOWN,
    "store slow": StoreMode.SLOW,
    "store answer lost after the write": StoreMode.LOSSY,
    "store answers older state": StoreMode.STALE,
}


def kill(cluster, node):
    cluster.kill(node)
    cluster.run(12.0)


def pause(cluster, node):
    cluster.pause(node)
    cluster.run(3.0)
    cluster.resume(node)
    cluster.run(9.0)


def pause_beyond_lease(cluster, node):
    cluster.pause(node)
    cluster.run(12.0)
    cluster.resume(node)


def isolate(cluster, node):
    for other in cluster.alive():
        if other.name != node.name:
            cluster.partition(node.name, other.name)
    cluster.run(12.0)


NODE_FAULTS = {
    "node killed": kill,
    "node paused and resumed": pause,
    "lease expired while its holder was paused": pause_beyond_lease,
    "connection silent for good": isolate,
}


def fault_cases(step):
    """Return all store faults and node faults, alone and in pairs."""
    names = [(name, None) for name in STORE_FAULTS]
    names += [(None, name) for name in NODE_FAULTS]
    names += product(STORE_FAULTS, NODE_FAULTS)
    return [
        pytest.param(
            *pair, marks=pytest.mark.proves(step, *filter(None, pair))
        )
        for pair in names
    ]


def inject_faults(cluster, store, fault, node):
    if store:
        cluster.store.mode = STORE_FAULTS[store]
    if fault:
        NODE_FAULTS[fault](cluster, node)
    else:
        cluster.run(12.0)


def recover(cluster):
    cluster.heal()
    cluster.store.mode = StoreMode.UP
    cluster.run(RECOVERY_S)
    assert cluster.serving() == ALL_SEARCHERS


@pytest.mark.parametrize(
    "store, fault", fault_cases("start and stop: hand over")
)
def test_searchers_of_a_leaving_node_are_handed_over_once(store, fault):
    """Guards against two owners or none after a stop during faults."""
    cluster = started_cluster(4, SEED)
    leaving, other = cluster.processes[:2]
    if store:
        cluster.store.mode = STORE_FAULTS[store]
    cluster.post_event(leaving, LeaveMembership())
    cluster.run(3.0)
    cluster.post_event(leaving, ReleaseLease())
    cluster.run(0.5)
    cluster.kill(leaving)
    inject_faults(cluster, store, fault, other)
    recover(cluster)


@pytest.mark.parametrize(
    "store, fault", fault_cases("start and stop: restart")
)
def test_restarted_node_owns_again_after_the_faults(store, fault):
    """Guards against two owners after a restart, and a node that stays out."""
    cluster = started_cluster(4, SEED)
    node, other = cluster.processes[:2]
    member = node.state.local
    if store:
        cluster.store.mode = STORE_FAULTS[store]
    cluster.kill(node)
    restarted = cluster.start(node.name, member.dc, member.address)
    inject_faults(cluster, store, fault, other)
    recover(cluster)
    assert restarted.is_current(cluster.now) and restarted.sendable


@pytest.mark.parametrize("store, fault", fault_cases("start and stop: join"))
def test_new_node_joins_after_the_faults(store, fault):
    """Guards against a node that never joins after faults during its join."""
    cluster = started_cluster(4, SEED)
    other = cluster.processes[0]
    if store:
        cluster.store.mode = STORE_FAULTS[store]
    joining = cluster.start("n9", "dc0")
    inject_faults(cluster, store, fault, other)
    recover(cluster)
    assert joining.is_current(cluster.now) and joining.sendable
