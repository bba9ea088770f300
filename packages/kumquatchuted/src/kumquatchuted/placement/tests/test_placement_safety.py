"""State machine test: no two nodes may send to the same searcher."""

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from hypothesis import strategies as st
import pytest

from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.placement.tests.simulation import Cluster
from kumquatchuted.placement.tests.simulation import StoreMode

MAX_PROCESSES = 6
SETTINGS = settings(
    max_examples=40,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)

indexes = st.integers(0, 99)
durations = st.sampled_from((0.05, 0.3, 1.0, 2.5, 4.5, 7.5, 12.0))


class PlacementMachine(RuleBasedStateMachine):
    """Injects faults in any order; the cluster checks every event."""

    @initialize(seed=st.integers(0, 9999), nodes=st.integers(1, 5))
    def start_cluster(self, seed, nodes):
        self.cluster = Cluster(seed, release_s=3.0)
        for i in range(nodes):
            self.cluster.start(f"n{i}", dc=f"dc{i % 3}")
        self.cluster.run(15.0)

    def choose_process(self, number):
        if not self.cluster.alive():
            self.cluster.start(f"n{self.cluster.started_count}")
        alive = self.cluster.alive()
        return alive[number % len(alive)]

    @rule(seconds=durations)
    def wait(self, seconds):
        self.cluster.run(seconds)

    @rule(mode=st.sampled_from(StoreMode), seconds=durations)
    def set_store_mode(self, mode, seconds):
        self.cluster.store.mode = mode
        self.cluster.run(seconds)

    @rule(number=indexes, seconds=durations)
    def pause(self, number, seconds):
        process = self.choose_process(number)
        self.cluster.pause(process)
        self.cluster.run(seconds)

    @rule(number=indexes, seconds=durations)
    def resume(self, number, seconds):
        process = self.choose_process(number)
        self.cluster.resume(process)
        self.cluster.run(seconds)

    @rule(number=indexes, restart=st.booleans(), seconds=durations)
    def kill(self, number, restart, seconds):
        process = self.choose_process(number)
        self.cluster.kill(process)
        if restart:
            member = process.state.local
            self.cluster.start(process.name, member.dc, member.address)
        self.cluster.run(seconds)

    @rule(number=indexes, seconds=durations)
    def replace_while_running(self, number, seconds):
        """The platform starts a node anew while its old process is paused."""
        process = self.choose_process(number)
        if len(self.cluster.alive()) >= MAX_PROCESSES:
            return
        self.cluster.pause(process)
        self.cluster.start(process.name, process.state.local.dc)
        self.cluster.run(seconds)

    @rule(seconds=durations)
    def join(self, seconds):
        if len(self.cluster.alive()) < MAX_PROCESSES:
            self.cluster.start(f"n{self.cluster.started_count}")
            self.cluster.run(seconds)

    @rule(number=indexes, seconds=durations)
    def leave(self, number, seconds):
        process = self.choose_process(number)
        self.cluster.post_event(process, LeaveMembership())
        self.cluster.run(seconds)

    @rule(number=indexes, seconds=durations)
    def release(self, number, seconds):
        process = self.choose_process(number)
        if process.state.leaving:
            self.cluster.run(seconds)
            self.cluster.post_event(process, ReleaseLease())

    @rule(number=indexes, seconds=durations)
    def disconnect_store(self, number, seconds):
        process = self.choose_process(number)
        process.store_disconnected = True
        self.cluster.run(seconds)

    @rule(number=indexes, other=indexes, seconds=durations)
    def partition_nodes(self, number, other, seconds):
        a, b = self.choose_process(number), self.choose_process(other)
        if a.name != b.name:
            self.cluster.partition(a.name, b.name)
            self.cluster.run(seconds)

    @rule(
        loss=st.sampled_from((0.0, 0.2, 0.6)),
        delay=st.sampled_from((0.01, 3.0)),
    )
    def set_network_faults(self, loss, delay):
        self.cluster.loss_rate = loss
        self.cluster.delay_s = delay

    @rule(seconds=durations)
    def heal(self, seconds):
        self.cluster.heal()
        self.cluster.store.mode = StoreMode.UP
        self.cluster.run(seconds)


@pytest.mark.proves("start and stop: hand over", "store down")
@pytest.mark.proves("start and stop: hand over", "store slow")
@pytest.mark.proves(
    "start and stop: hand over", "store answer lost after the write"
)
@pytest.mark.proves("start and stop: hand over", "store answers older state")
@pytest.mark.proves(
    "start and stop: hand over", "lease expired while its holder was paused"
)
@pytest.mark.proves("start and stop: hand over", "connection silent for good")
@pytest.mark.proves("start and stop: hand over", "node killed")
@pytest.mark.proves("start and stop: hand over", "node paused and resumed")
@pytest.mark.proves(
    "start and stop: hand over", "store down", "node paused and resumed"
)
@pytest.mark.proves("start and stop: hand over", "node killed", "node killed")
@pytest.mark.proves("start and stop: join", "store down")
@pytest.mark.proves("start and stop: join", "store slow")
@pytest.mark.proves(
    "start and stop: join", "store answer lost after the write"
)
@pytest.mark.proves("start and stop: join", "store answers older state")
@pytest.mark.proves("start and stop: restart", "store down")
@pytest.mark.proves("start and stop: restart", "node killed")
@pytest.mark.proves("start and stop: restart", "node paused and resumed")
def test_no_two_nodes_may_send_to_a_searcher():
    """Guards against two owners, also under rare sequences of faults.

    The cluster also raises if a node goes back to an older epoch, or if an
    incarnation is current after its removal.
    """
    run_state_machine_as_test(PlacementMachine, settings=SETTINGS)
