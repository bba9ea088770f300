"""Guards a planned stop against a fault at any moment of it.

The drain decisions and the placement protocol of one node run together under
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
from kumquatchuted.drain.messages import Woken
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

ALL = frozenset(SEARCHERS)
BOUNDS = DrainSettings()
SEED = 3
DRAIN = "start and stop: drain"
REQUESTS_S = 2.0
ATTEMPTS_S = 1.0
TURN_S = 0.1
# Before the stop, and in each of its phases.
MOMENTS = (0.0, 1.0, 4.0, 5.0, 5.3, 6.0, 6.3)


class Stopping:
    """A node of the simulation that is asked to stop."""

    def __init__(self, cluster, process):
        self.cluster, self.process = cluster, process
        node = NodeSettings(process.name, "h", process.state.local.dc, "atl")
        self.state = DrainState(BOUNDS, node, starting=None)
        self.done, self.waiting = [], []
        self.closed_s, self.left_at = None, None
        self.began = process.clock(cluster.now)
        self.feed(StopRequested())

    def now(self):
        return self.process.clock(self.cluster.now)

    def feed(self, event):
        self.state, actions = decide(self.state, event, self.now())
        for action in actions:
            self.done.append(action)
            self.act(action)

    def act(self, action):
        match action:
            case RunStep(Step.SEARCHES):
                self.end_later(Step.SEARCHES, REQUESTS_S)
            case RunStep(Step.SUBMISSIONS):
                self.end_later(Step.SUBMISSIONS, 0.0)
            case RunStep(Step.TARGETS):
                self.end_later(Step.TARGETS, ATTEMPTS_S)
            case RunStep(Step.MEMBERSHIP):
                self.left_at = len(self.cluster.store.states) - 1
                self.cluster.post_request(self.process, LeaveMembership())
            case RunStep(Step.LEASE):
                self.cluster.post_request(self.process, ReleaseLease())
            case Close():
                self.closed_s = self.now() - self.began
                self.cluster.kill(self.process)

    def end_later(self, step, seconds):
        self.waiting.append((self.now() + seconds, StepDone(step)))

    def run(self, seconds):
        """Let time pass for all nodes and for the stop."""
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.run(TURN_S)
            if self.process.alive and not self.process.paused:
                self.turn()

    def run_to_end(self):
        """Let time pass until the process has ended."""
        end = self.cluster.now + 2 * BOUNDS.limit_s
        while self.process.alive and self.cluster.now < end:
            self.run(TURN_S)

    def turn(self):
        due = [event for at, event in self.waiting if at <= self.now()]
        self.waiting = [w for w in self.waiting if w[0] > self.now()]
        for answer in self.process.answers:
            match answer:
                case AnswerLeave(reason):
                    due.append(StepDone(Step.MEMBERSHIP, failure(reason)))
                case AnswerRelease(reason):
                    due.append(StepDone(Step.LEASE, failure(reason)))
        self.process.answers.clear()
        for event in (*due, Woken()):
            self.feed(event)


def failure(reason):
    return reason and Failure(ErrorKind.UNAVAILABLE, reason)


def store(mode):
    def strike(stop, other):
        stop.cluster.store.mode = mode

    return strike


def pause(seconds):
    def strike(stop, other):
        stop.cluster.pause(stop.process)
        stop.run(seconds)
        if stop.process.alive:
            stop.cluster.resume(stop.process)

    return strike


def silence(stop, other):
    for peer in stop.cluster.alive():
        if peer is not stop.process:
            stop.cluster.partition(stop.process.name, peer.name)


def kill_other(stop, other):
    stop.cluster.kill(other)


def kill(stop, other):
    stop.cluster.kill(stop.process)


def contradict(stop, other):
    """Operators take the data centre out, in, out and in."""
    for number in range(1, 5):
        out = number % 2 == 1
        dc = stop.process.state.local.dc
        for process in stop.cluster.alive():
            mine = out and process.state.local.dc == dc
            stop.cluster.post_request(process, TicketStatus(number, "d", mine))
        if stop.process.alive:
            dcs = frozenset({dc}) if out else frozenset()
            stop.feed(ViewChanged(View(number, dcs_out=dcs)))
        stop.run(0.7)


# A stop that loses no authority completes, and its searchers are served.
HANDED_OVER_S = 5.0
# Others wait for the end of a lease, then for the end of confirmations.
TAKEN_OVER_S = 40.0
FAULTS = [
    ("store answer lost after the write", store(StoreMode.LOSSY), True),
    ("store answers older state", store(StoreMode.STALE), True),
    ("lease expired while its holder was paused", pause(9.0), False),
    ("operators racing", contradict, True),
    ("connection silent for good", silence, True),
    ("node killed", kill_other, False),
    ("node killed", kill, False),
    ("node paused and resumed", pause(3.0), True),
]


def cases():
    """Return each fault at each moment."""
    return [
        pytest.param(
            strike,
            moment,
            handed_over,
            id=f"{name} at {moment}",
            marks=pytest.mark.proves(DRAIN, name),
        )
        for name, strike, handed_over in FAULTS
        for moment in MOMENTS
    ]


def owners_since(states, node):
    """Return whether a node was an owner, for each state of the store."""
    for state in states:
        membership, _ = state["membership"]
        yield any(m.node == node and not m.leaving for m in membership.members)


@pytest.mark.parametrize("strike, moment, handed_over", cases())
def test_planned_stop_ends_in_time_and_hands_over(strike, moment, handed_over):
    """Guards against a stop that hangs, returns, or strands searchers."""
    cluster = started_cluster(4, SEED)
    stopped, other = cluster.processes[:2]
    stop = Stopping(cluster, stopped)
    stop.run(moment)
    strike(stop, other)
    stop.run_to_end()
    told = [one for one in stop.done if isinstance(one, ReadyChanged)]
    assert told == [ReadyChanged(False, "stopping", stopping=True)]
    steps = [one.step for one in stop.done if isinstance(one, RunStep)]
    assert steps == list(Step)[: len(steps)]
    assert (stop.closed_s or 0.0) <= BOUNDS.limit_s
    cluster.run(HANDED_OVER_S if handed_over else TAKEN_OVER_S)
    assert cluster.serving() == ALL
    states = cluster.store.states[stop.left_at or -1 :]
    owned = owners_since(states, stopped.name)
    assert (False, True) not in pairwise(owned)
    if handed_over:
        lease, _ = cluster.store.states[-1][stopped.name]
        assert lease.released
        assert Step.LEASE not in stop.state.skipped
