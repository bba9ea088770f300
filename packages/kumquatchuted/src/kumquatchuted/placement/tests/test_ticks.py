"""Guards against ticks without effect and against overdue ticks."""

from dataclasses import replace

from kumquatchuted.placement.confirm import clear_granted
from kumquatchuted.placement.confirm import CONFIRM_INTERVAL_S
from kumquatchuted.placement.lease import LeaseState
from kumquatchuted.placement.lease import RENEWAL_INTERVAL_S
from kumquatchuted.placement.messages import Tick
from kumquatchuted.placement.protocol import step
from kumquatchuted.placement.protocol import tick_due
from kumquatchuted.placement.tests.simulation import started_cluster
from kumquatchuted.placement.tests.simulation import TICK_INTERVAL_S

SETTLE_S = 20.0


def test_settled_nodes_need_no_tick_between_their_intervals():
    """Guards against an idle node that handles ticks without end.

    A due time in the past makes the task handle a tick every 0.1 s.
    """
    cluster = started_cluster(4)
    cluster.run(SETTLE_S)
    for process in cluster.processes:
        local_time = process.clock(cluster.now)
        state, _ = step(process.state, Tick(), local_time, cluster.rng)
        due = tick_due(state)
        assert due == min(state.store_due, state.confirm_due)
        assert (
            local_time
            < due
            <= local_time + CONFIRM_INTERVAL_S
            < (local_time + RENEWAL_INTERVAL_S)
        )


def test_tick_between_the_intervals_of_a_settled_node_has_no_effect():
    """Guards against work that is done late.

    No tick is posted before the due time of the next one, so work that is due
    earlier would wait for it.
    """
    cluster = started_cluster(4)
    cluster.run(SETTLE_S)
    for process in cluster.processes:
        local_time = process.clock(cluster.now)
        state, _ = step(process.state, Tick(), local_time, cluster.rng)
        later = (local_time + tick_due(state)) / 2
        assert step(state, Tick(), later, cluster.rng) == (state, ())


def test_tick_is_due_when_the_node_stops_being_current():
    """Guards against a node that is logged as current when it no longer is.

    Its lease and its confirmations end without an event.
    """
    cluster = started_cluster(4)
    cluster.run(SETTLE_S)
    process = cluster.processes[0]
    until = process.state.published.until
    state = replace(
        process.state, store_due=until + 1.0, confirm_due=until + 1.0
    )
    assert tick_due(state) == until
    cut_off = replace(state, lease=LeaseState(state.lease.lease))
    cut_off = replace(cut_off, confirm=clear_granted(state.confirm))
    ended, _ = step(cut_off, Tick(), tick_due(state), cluster.rng)
    assert not ended.published.current


def test_every_tick_is_due_while_an_epoch_is_guarded():
    """Guards against searchers that stay without an owner for too long.

    A guard ends as time passes, without an event, and the new owner of the
    searchers may send only from then on.
    """
    cluster = started_cluster(4)
    cluster.run(SETTLE_S)
    cluster.kill(cluster.processes[0])
    process = cluster.processes[1]
    while not process.state.guards:
        cluster.run(TICK_INTERVAL_S)
    local_time = process.clock(cluster.now)
    state = replace(
        process.state, store_due=local_time + 1.0, confirm_due=local_time + 1.0
    )
    assert tick_due(state) <= local_time
