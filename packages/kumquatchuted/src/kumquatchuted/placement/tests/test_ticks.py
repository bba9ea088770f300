"""Guards against ticks without effect, and against ticks that come late."""

from dataclasses import replace

from kumquatchuted.placement.confirm import CONFIRM_INTERVAL_S
from kumquatchuted.placement.confirm import forget_granted
from kumquatchuted.placement.lease import LeaseState
from kumquatchuted.placement.lease import RENEWAL_INTERVAL_S
from kumquatchuted.placement.messages import Tick
from kumquatchuted.placement.protocol import step
from kumquatchuted.placement.protocol import tick_due
from kumquatchuted.placement.tests.simulation import started_cluster
from kumquatchuted.placement.tests.simulation import TICK_S

SETTLE_S = 20.0


def test_settled_nodes_need_no_tick_between_their_intervals():
    cluster = started_cluster(4)
    cluster.run(SETTLE_S)
    for process in cluster.processes:
        local = process.clock(cluster.now)
        state, _ = step(process.state, Tick(), local, cluster.rng)
        due = tick_due(state)
        assert due == min(state.store_due, state.confirm_due)
        assert (
            local
            < due
            <= local + CONFIRM_INTERVAL_S
            < (local + RENEWAL_INTERVAL_S)
        )


def test_tick_between_the_intervals_of_a_settled_node_has_no_effect():
    cluster = started_cluster(4)
    cluster.run(SETTLE_S)
    for process in cluster.processes:
        local = process.clock(cluster.now)
        state, _ = step(process.state, Tick(), local, cluster.rng)
        later = (local + tick_due(state)) / 2
        assert step(state, Tick(), later, cluster.rng) == (state, ())


def test_tick_is_due_when_the_authority_ends_before_the_intervals():
    cluster = started_cluster(4)
    cluster.run(SETTLE_S)
    process = cluster.processes[0]
    until = process.state.shown.until
    state = replace(
        process.state, store_due=until + 1.0, confirm_due=until + 1.0
    )
    assert tick_due(state) == until
    cut_off = replace(state, lease=LeaseState(state.lease.lease))
    cut_off = replace(cut_off, confirm=forget_granted(state.confirm))
    ended, _ = step(cut_off, Tick(), tick_due(state), cluster.rng)
    assert not ended.shown.current


def test_guarded_node_takes_every_tick():
    cluster = started_cluster(4)
    cluster.run(SETTLE_S)
    cluster.kill(cluster.processes[0])
    process = cluster.processes[1]
    while not process.state.guards:
        cluster.run(TICK_S)
    local = process.clock(cluster.now)
    state = replace(
        process.state, store_due=local + 1.0, confirm_due=local + 1.0
    )
    assert tick_due(state) <= local
