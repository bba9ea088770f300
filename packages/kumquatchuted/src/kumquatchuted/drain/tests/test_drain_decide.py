"""Tests of the decisions about readiness and shutdown.

They guard against a stop that interrupts requests or releases targets early.
"""

import random

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import DrainSettings
from kumquatchute_model.settings import NodeSettings
from kumquatchute_model.shards import ShardMap
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.drain.decide import decide
from kumquatchuted.drain.decide import DrainState
from kumquatchuted.drain.decide import next_wake
from kumquatchuted.drain.decide import START_LIMIT_S
from kumquatchuted.drain.messages import Close
from kumquatchuted.drain.messages import ReadyChanged
from kumquatchuted.drain.messages import RunStep
from kumquatchuted.drain.messages import Step
from kumquatchuted.drain.messages import StepDone
from kumquatchuted.drain.messages import StopRequested
from kumquatchuted.drain.messages import TimerFired
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

NODE = NodeSettings("n1", "h1", "atl-east", "atl")
STORE_DOWN = Failure(ErrorKind.UNAVAILABLE, "the store does not answer", True)
STOPPING = ReadyChanged(False, "stopping", stopping=True)
SEARCHES, SUBMISSIONS, MEMBERSHIP, TARGETS, LEASE = map(RunStep, Step)


def run_events(*events, settings=DrainSettings()):
    """Return the state and (time, action) pairs after (time, event) pairs."""
    state = DrainState(settings, NODE, starting=None)
    timed_actions = []
    for at, event in events:
        state, actions = decide(state, event, at)
        timed_actions.extend((at, action) for action in actions)
    return state, timed_actions


def steps_done(at, *steps, failure=None):
    return [(at, StepDone(step, failure)) for step in steps]


REQUESTS_DONE = steps_done(5, Step.SEARCHES, Step.SUBMISSIONS)


def test_steps_follow_each_other_and_the_lease_comes_last():
    """Guards against a lease that is released before the other steps.

    The new owners would send while attempts of this node still run.
    """
    _, timed_actions = run_events(
        (0, StopRequested()),
        (2.9, TimerFired()),
        (3, TimerFired()),
        *REQUESTS_DONE,
        *steps_done(6, Step.MEMBERSHIP),
        *steps_done(7, Step.TARGETS),
        *steps_done(8, Step.LEASE),
    )
    assert timed_actions == [
        (0, STOPPING),
        (3, SEARCHES),
        (3, SUBMISSIONS),
        (5, MEMBERSHIP),
        (6, TARGETS),
        (7, LEASE),
        (8, Close(True)),
    ]


def test_second_signal_ends_only_the_wait_for_the_load_balancer():
    """Guards against repeated signals that cut running requests short.

    An operator or a supervisor sends the signal several times.
    """
    _, timed_actions = run_events(
        (0, StopRequested()),
        (1, StopRequested()),
        (1.1, StopRequested()),
        *steps_done(5, Step.SEARCHES),
        (6, StopRequested()),
    )
    assert timed_actions == [(0, STOPPING), (1, SEARCHES), (1, SUBMISSIONS)]


@pytest.mark.proves("start and stop: drain", "straggler")
def test_running_request_keeps_its_whole_deadline():
    """Guards against leaving while a request may still be running.

    Its deadline is the longest allowed, 10 s, and it came just before the end
    of the notice period.
    """
    _, timed_actions = run_events(
        (0, StopRequested()), (3, TimerFired()), (13, TimerFired())
    )
    assert MEMBERSHIP not in [action for _, action in timed_actions]


@pytest.mark.proves("start and stop: drain", "store down")
def test_stop_with_the_store_down_ends_without_releasing_the_lease():
    """Guards against a stop that waits for an unavailable store.

    Leaving and releasing fail; attempts in flight must still finish.
    """
    _, timed_actions = run_events(
        (0, StopRequested()),
        (3, TimerFired()),
        *REQUESTS_DONE,
        *steps_done(6, Step.MEMBERSHIP, failure=STORE_DOWN),
        *steps_done(7, Step.TARGETS),
        *steps_done(8, Step.LEASE, failure=STORE_DOWN),
    )
    assert timed_actions[-3:-1] == [(6, TARGETS), (7, LEASE)]
    assert timed_actions[-1] == (
        8,
        Close(False, "not done: leave the membership, release the lease"),
    )


@pytest.mark.proves("start and stop: drain", "store slow")
def test_unresponsive_store_leaves_time_for_attempts_in_flight():
    """Guards against a store that uses up the time of attempts.

    The store does not answer when the node leaves the membership.
    """
    _, timed_actions = run_events(
        (0, StopRequested()),
        (3, TimerFired()),
        *REQUESTS_DONE,
        (7, TimerFired()),
    )
    assert timed_actions[-1] == (7, TARGETS)


@pytest.mark.proves("start and stop: hand over", "straggler")
def test_attempts_in_flight_at_the_limit_keep_the_lease():
    """Guards against new owners that send while old attempts run.

    Attempts take longer than the time limit. Without a release, the new owners
    wait until the lease has expired.
    """
    state, timed_actions = run_events(
        (0, StopRequested()),
        (3, TimerFired()),
        *REQUESTS_DONE,
        *steps_done(6, Step.MEMBERSHIP),
        (18, TimerFired()),
    )
    actions = [action for _, action in timed_actions]
    assert LEASE not in actions
    assert not actions[-1].complete
    # A step that ends after its phase starts nothing.
    assert decide(state, StepDone(Step.TARGETS), 18.5)[1] == ()


@pytest.mark.parametrize("step_count", range(5))
def test_process_ends_at_the_limit_whichever_step_is_missing(step_count):
    """Guards against a process that outlives its time limit.

    The task that performs one of the steps never reports its end.
    """
    events = [(0, StopRequested()), (3, TimerFired())]
    for step in list(Step)[:step_count]:
        events += steps_done(4, step)
    events += [(t / 2, TimerFired()) for t in range(8, 41)]
    _, timed_actions = run_events(*events)
    close_actions = [
        (at, action)
        for at, action in timed_actions
        if isinstance(action, Close)
    ]
    assert len(close_actions) == 1
    assert close_actions[0][0] <= 20
    assert not close_actions[0][1].complete


def test_next_wake_is_set_until_the_process_ends():
    """Guards against a shutdown that stalls when no message arrives.

    No step ends, so each phase must end by its time limit.
    """
    state, _ = run_events((0, StopRequested()))
    now, wakes = 0, 0
    while (now := next_wake(state, now)) is not None:
        state, actions = decide(state, TimerFired(), now)
        wakes += 1
        assert wakes < 10
    assert isinstance(actions[-1], Close)


def test_node_is_ready_only_while_current():
    """Guards against callers at a node that is not current.

    It stops being current without any message, so a timer must notice.
    """
    state, timed_actions = run_events(
        (0, TimerFired()),
        (1, CurrentUntil(5)),
        (2, CurrentUntil(6)),
        (5, TimerFired()),
        (6, TimerFired()),
        (7, CurrentUntil(9)),
    )
    assert timed_actions == [
        (0, ReadyChanged(False, "not current")),
        (1, ReadyChanged(True)),
        (6, ReadyChanged(False, "not current")),
        (7, ReadyChanged(True)),
    ]
    assert next_wake(state, 7) == 9


@pytest.mark.parametrize(
    "view",
    [
        View(1, dcs_out=frozenset({"atl-east"})),
        View(1, hosts_out=frozenset({"h1"})),
    ],
)
def test_node_out_of_service_is_not_ready_until_it_returns(view):
    """Guards against callers at a node that is out of service.

    A ticket takes its host or its data centre out; another data centre that is
    out must not matter.
    """
    _, timed_actions = run_events(
        (0, CurrentUntil(99)),
        (1, ViewChanged(View(1, dcs_out=frozenset({"atl-south"})))),
        (2, ViewChanged(view)),
        (3, ViewChanged(View(3))),
    )
    assert [(at, action.ready) for at, action in timed_actions] == [
        (0, True),
        (2, False),
        (3, True),
    ]


@pytest.mark.parametrize("seed", range(200))
def test_any_order_of_events_ends_once_and_never_releases_targets_early(seed):
    """Guards against a shutdown that an unexpected order of events breaks.

    Steps end late, twice or with a failure, beside signals and timers. The
    process must end once, and no lease be released before the targets.
    """
    rng = random.Random(seed)
    state, now, performed = DrainState(DrainSettings(), NODE), 0.0, []
    events = [StopRequested(), TimerFired(), CurrentUntil(rng.uniform(0, 30))]
    events += [StepDone(step, rng.choice([None, STORE_DOWN])) for step in Step]
    state, _ = decide(state, StopRequested(), now)
    while now < 25:
        event = rng.choice(events)
        if event == StepDone(Step.TARGETS) and TARGETS not in performed:
            continue
        state, actions = decide(state, event, now)
        performed.extend(actions)
        wake = next_wake(state, now)
        now = min(now + rng.uniform(0, 3), wake or 25)
    assert (
        len([action for action in performed if isinstance(action, Close)]) == 1
    )
    assert isinstance(performed[-1], Close)
    if LEASE in performed:
        assert performed.index(TARGETS) < performed.index(LEASE)
    assert len(set(performed)) == len(performed)


MEMBERS = tuple(
    Member(name, "i", "atl-east", "127.0.0.1:1") for name in ("n1", "n2")
)
MAPS = CatalogChanged(Catalog({"console": ShardMap("console", 1, 1, ())}))
JOINED = PlacementChanged(Placement("n1", "i", Membership(2, MEMBERS)))


def readiness_after(*events):
    """Return the last action of a starting node after events."""
    state, last = DrainState(DrainSettings(), NODE), None
    for now, event in events:
        state, actions = decide(state, event, now)
        for action in actions:
            last = action
    return last


def test_starting_node_is_ready_only_with_maps_membership_and_links():
    """Guards against partial answers to the first callers.

    A node that lacks one of these cannot reach the owners of all shards.
    """
    events = [
        (0, CurrentUntil(60)),
        (1, MAPS),
        (1, JOINED),
        (1, LinkUp("n2", "i")),
    ]
    assert readiness_after(*events).ready
    for i in range(len(events)):
        remaining = [event for j, event in enumerate(events) if j != i]
        assert not readiness_after(*remaining).ready


def test_dead_member_does_not_hold_a_starting_node_back():
    """Guards against a node that waits for a dead member for ever.

    The membership still lists a node whose link never comes up.
    """
    events = [(0, CurrentUntil(60)), (1, MAPS), (1, JOINED)]
    state = DrainState(DrainSettings(), NODE)
    for now, event in events:
        state, _ = decide(state, event, now)
    assert next_wake(state, 1) == START_LIMIT_S
    assert readiness_after(*events, (START_LIMIT_S, TimerFired())).ready


def test_lost_link_does_not_make_a_serving_node_unready():
    """Guards against a lost link that makes a serving node unready.

    When one node dies, all others lose their link to it at once. The load
    balancer would be left without a ready node.
    """
    events = [
        (0, CurrentUntil(60)),
        (1, MAPS),
        (1, JOINED),
        (1, LinkUp("n2", "i")),
        (9, LinkDown("n2")),
    ]
    assert readiness_after(*events).ready
