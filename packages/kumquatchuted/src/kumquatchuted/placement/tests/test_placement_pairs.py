"""Guards hand-over, restart and join against the store and a second fault.

The simulation raises as soon as two nodes may send to one searcher; the
tests add that every searcher has an owner again once the faults have ended.
"""

from itertools import product

import pytest

from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.placement.tests.simulation import SEARCHERS
from kumquatchuted.placement.tests.simulation import started_cluster
from kumquatchuted.placement.tests.simulation import StoreMode

ALL = frozenset(SEARCHERS)
SEED = 1
RECOVERY_S = 40.0

STORE = {
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


def silence(cluster, node):
    for other in cluster.alive():
        if other.name != node.name:
            cluster.partition(node.name, other.name)
    cluster.run(12.0)


NODE = {
    "node killed": kill,
    "node paused and resumed": pause,
    "lease expired while its holder was paused": pause_beyond_lease,
    "connection silent for good": silence,
}


def cases(step):
    """Return store faults and node faults, single and in pairs."""
    names = [(name, None) for name in STORE]
    names += [(None, name) for name in NODE]
    names += product(STORE, NODE)
    return [
        pytest.param(
            *pair, marks=pytest.mark.proves(step, *filter(None, pair))
        )
        for pair in names
    ]


def strike(cluster, store, fault, node):
    if store:
        cluster.store.mode = STORE[store]
    if fault:
        NODE[fault](cluster, node)
    else:
        cluster.run(12.0)


def recover(cluster):
    cluster.heal()
    cluster.store.mode = StoreMode.UP
    cluster.run(RECOVERY_S)
    assert cluster.serving() == ALL


@pytest.mark.parametrize("store, fault", cases("start and stop: hand over"))
def test_searchers_of_a_leaving_node_are_handed_over_once(store, fault):
    """Guards against two owners, and none, after a stop under faults."""
    cluster = started_cluster(4, SEED)
    leaving, other = cluster.processes[:2]
    if store:
        cluster.store.mode = STORE[store]
    cluster.post_request(leaving, LeaveMembership())
    cluster.run(3.0)
    cluster.post_request(leaving, ReleaseLease())
    cluster.run(0.5)
    cluster.kill(leaving)
    strike(cluster, store, fault, other)
    recover(cluster)


@pytest.mark.parametrize("store, fault", cases("start and stop: restart"))
def test_restarted_node_owns_again_after_the_faults(store, fault):
    """Guards against a restart beside the process before, and a lost node."""
    cluster = started_cluster(4, SEED)
    node, other = cluster.processes[:2]
    me = node.state.local
    if store:
        cluster.store.mode = STORE[store]
    cluster.kill(node)
    again = cluster.start(node.name, me.dc, me.address)
    strike(cluster, store, fault, other)
    recover(cluster)
    assert again.current(cluster.now) and again.startable


@pytest.mark.parametrize("store, fault", cases("start and stop: join"))
def test_new_node_joins_in_the_end_whatever_happens_meanwhile(store, fault):
    """Guards against a node that waits for ever to become a member."""
    cluster = started_cluster(4, SEED)
    other = cluster.processes[0]
    if store:
        cluster.store.mode = STORE[store]
    new = cluster.start("n9", "dc0")
    strike(cluster, store, fault, other)
    recover(cluster)
    assert new.current(cluster.now) and new.startable
