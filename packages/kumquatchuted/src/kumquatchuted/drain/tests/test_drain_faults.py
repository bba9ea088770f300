"""Tests of a planned stop with a fault in each of its phases.

The drain decisions and the placement protocol of one node run together with
the virtual clock of the placement simulation.
"""

from itertools import pairwise

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import DrainSettings
from kumquatchute_model.settings import NodeSettings
from kumquatchuted.drain.decide import decide
from kumquatchuted.drain.decide import DrainState
from kumquatchuted.drain.messages import Close
from kumquatchuted.drain.messages import ReadyChanged
from kumquatchuted.drain.messages import RunStep
from kumquatchuted.drain.messages import Step
from kumquatchuted.drain.messages import StepDone
from kumquatchuted.drain.messages import StopRequested
from kumquatchuted.drain.messages import TimerFired
from kumquatchuted.placement.messages import AnswerLeave
from kumquatchuted.placement.messages import AnswerRelease
from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.placement.messages import TicketStatus
from kumquatchuted.placement.tests.simulation import SEARCHERS
from kumquatchuted.placement.tests.simulation import started_cluster
from kumquatchuted.placement.tests.simulation import StoreMode
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

ALL_SEARCHERS = frozenset(SEARCHERS)
SETTINGS = DrainSettings()
SEED = 3
DRAIN = "start and stop: drain"
REQUESTS_S = 2.0
ATTEMPTS_S = 1.0
STEP_S = 0.1
# Seconds after the request to stop: at once and in each of the phases.
FAULT_DELAYS_S = (0.0, 1.0, 4.0, 5.0, 5.3, 6.0, 6.3)


class StoppingNode:
    """A node of the simulation that is asked to stop."""

    def __init__(self, cluster, process):
        self.cluster, self.process = cluster, process
        node = NodeSettings(process.name, "h", process.state.local.dc, "atl")
        self.state = DrainState(SETTINGS, node, starting=None)
        self.actions_done, self.scheduled = [], []
        self.elapsed_s, self.leave_index = None, None
        self.started_at = process.clock(cluster.now)
        self.handle(StopRequested())

    def now(self):
        return self.process.clock(self.cluster.now)

    def handle(self, event):
        self.state, actions = decide(self.state, event, self.now())
        for action in actions:
            self.actions_done.append(action)
            self.perform(action)

    def perform(self, action):
        match action:
            case RunStep(Step.SEARCHES):
                self.schedule_end(Step.SEARCHES, REQUESTS_S)
            case RunStep(Step.SUBMISSIONS):
                self.schedule_end(Step.SUBMISSIONS, 0.0)
            case RunStep(Step.TARGETS):
                self.schedule_end(Step.TARGETS, ATTEMPTS_S)
            case RunStep(Step.MEMBERSHIP):
                self.leave_index = len(self.cluster.store.states) - 1
                self.cluster.post_event(self.process, LeaveMembership())
            case RunStep(Step.LEASE):
                self.cluster.post_event(self.process, ReleaseLease())
            case Close():
                self.elapsed_s = self.now() - self.started_at
                self.cluster.kill(self.process)

    def schedule_end(self, step, delay_s):
        self.scheduled.append((self.now() + delay_s, StepDone(step)))

    def run(self, duration_s):
        """Let time pass for all nodes and for the shutdown."""
        end = self.cluster.now + duration_s
        while self.cluster.now < end:
            self.cluster.run(STEP_S)
            if self.process.alive and not self.process.paused:
                self.handle_due_events()

    def run_to_end(self):
        """Let time pass until the process has ended."""
        end = self.cluster.now + 2 * SETTINGS.limit_s
        while self.process.alive and self.cluster.now < end:
            self.run(STEP_S)

    def handle_due_events(self):
        due_events = [
            event for at, event in self.scheduled if at <= self.now()
        ]
        self.scheduled = [
            entry for entry in self.scheduled if entry[0] > self.now()
        ]
        for answer in self.process.answers:
            match answer:
                case AnswerLeave(reason):
                    due_events.append(
                        StepDone(Step.MEMBERSHIP, to_failure(reason))
                    )
                case AnswerRelease(reason):
                    due_events.append(StepDone(Step.LEASE, to_failure(reason)))
        self.process.answers.clear()
        for event in (*due_events, TimerFired()):
            self.handle(event)


def to_failure(reason):
    return reason and Failure(ErrorKind.UNAVAILABLE, reason)


def set_store_mode(mode):
    def inject(stopping, other):
        stopping.cluster.store.mode = mode

    return inject


def pause_process(duration_s):
    def inject(stopping, other):
        stopping.cluster.pause(stopping.process)
        stopping.run(duration_s)
        if stopping.process.alive:
            stopping.cluster.resume(stopping.process)

    return inject


def cut_connections(stopping, other):
    for peer in stopping.cluster.alive():
        if peer is not stopping.process:
            stopping.cluster.partition(stopping.process.name, peer.name)


def kill_other(stopping, other):
    stopping.cluster.kill(other)


def kill_stopping(stopping, other):
    stopping.cluster.kill(stopping.process)


def submit_conflicting_tickets(stopping, other):
    """Take the data centre out of service and return it, twice."""
    for number in range(1, 5):
        out = number % 2 == 1
        dc = stopping.process.state.local.dc
        for process in stopping.cluster.alive():
            is_out = out and process.state.local.dc == dc
            stopping.cluster.post_event(
                process, TicketStatus(number, "d", is_out)
            )
        if stopping.process.alive:
            dcs = frozenset({dc}) if out else frozenset()
            stopping.handle(ViewChanged(View(number, dcs_out=dcs)))
        stopping.run(0.7)


# Time until all searchers are served after a complete handover.
HAND_OVER_LIMIT_S = 5.0
# Otherwise the lease has to expire first, and then the confirmations.
TAKE_OVER_LIMIT_S = 40.0
FAULTS = [
    (
        "store answer lost after the write",
        set_store_mode(StoreMode.LOSSY),
        True,
    ),
    ("store answers older state", set_store_mode(StoreMode.STALE), True),
    ("lease expired while its holder was paused", pause_process(9.0), False),
    ("operators racing", submit_conflicting_tickets, True),
    ("connection silent for good", cut_connections, True),
    ("node killed", kill_other, False),
    ("node killed", kill_stopping, False),
    ("node paused and resumed", pause_process(3.0), True),
]


def cases():
    """Return a test case for each fault at each moment."""
    return [
        pytest.param(
            inject,
            delay_s,
            hands_over,
            id=f"{name} at {delay_s}",
            marks=pytest.mark.proves(DRAIN, name),
        )
        for name, inject, hands_over in FAULTS
        for delay_s in FAULT_DELAYS_S
    ]


def ownership_history(states, node):
    """Yield for each state of the store whether a node was an owner."""
    for state in states:
        membership, _ = state["membership"]
        yield any(m.node == node and not m.leaving for m in membership.members)


@pytest.mark.parametrize("inject, delay_s, hands_over", cases())
def test_planned_stop_ends_in_time_and_hands_over(inject, delay_s, hands_over):
    """Guards against a stop that hangs, is undone or leaves no owner.

    The store, the connections, the node itself or another one fails, or
    tickets conflict, in each phase of the stop.
    """
    cluster = started_cluster(4, SEED)
    process, other = cluster.processes[:2]
    stopping = StoppingNode(cluster, process)
    stopping.run(delay_s)
    inject(stopping, other)
    stopping.run_to_end()
    announced = [
        action
        for action in stopping.actions_done
        if isinstance(action, ReadyChanged)
    ]
    assert announced == [ReadyChanged(False, "stopping", stopping=True)]
    steps = [
        action.step
        for action in stopping.actions_done
        if isinstance(action, RunStep)
    ]
    assert steps == list(Step)[: len(steps)]
    assert (stopping.elapsed_s or 0.0) <= SETTINGS.limit_s
    cluster.run(HAND_OVER_LIMIT_S if hands_over else TAKE_OVER_LIMIT_S)
    assert cluster.serving() == ALL_SEARCHERS
    states = cluster.store.states[stopping.leave_index or -1 :]
    history = ownership_history(states, process.name)
    assert (False, True) not in pairwise(history)
    if hands_over:
        lease, _ = cluster.store.states[-1][process.name]
        assert lease.released
        assert Step.LEASE not in stopping.state.skipped
