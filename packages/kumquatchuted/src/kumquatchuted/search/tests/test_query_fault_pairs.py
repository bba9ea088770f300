"""Tests one query under single faults and pairs of faults in any order."""

from dataclasses import replace

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import Hit
from kumquatchute_model.query import SearchAnswer
from kumquatchuted.search.query_events import ExtrasGranted
from kumquatchuted.search.query_events import OutcomeArrived
from kumquatchuted.search.query_events import Replanned
from kumquatchuted.search.query_events import RequestPlan
from kumquatchuted.search.query_events import TimerFired
from kumquatchuted.search.routing import RoutingChanged
from kumquatchuted.search.tests.test_query import DOCUMENTS_PER_SHARD
from kumquatchuted.search.tests.test_query import make_plan
from kumquatchuted.search.tests.test_query import QueryDriver
from kumquatchuted.search.tests.test_query import routing
from kumquatchuted.search.tests.test_query import SHARD_COUNT
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchResult

REPLICAS = [f"{letter}{i}" for letter in "ab" for i in range(SHARD_COUNT)]


class FaultDriver(QueryDriver):
    """Drives a query while searchers go out of service and return."""

    def __init__(self):
        self.out = frozenset()
        self.sent_to_out = []
        self.plan_requested = False
        self.ran = set()
        self.answered = {}
        super().__init__(soft=0.6)

    def handle(self, event, now):
        before = len(self.sent) if hasattr(self, "sent") else 0
        actions = super().handle(event, now)
        new = self.sent[before:]
        self.sent_to_out += [a for a in new if a.searcher in self.out]
        self.plan_requested |= RequestPlan() in actions
        return actions

    def set_out(self, out):
        self.out = frozenset(out)
        self.handle(RoutingChanged(routing(*self.out)), self.now)

    def respond(self, attempt, version, documents):
        self.ran.add(attempt.attempt)
        hits = (Hit(f"v{version}-{attempt.shard}", "Nguyen", 1.0),)
        result = SearchResult(
            attempt.attempt, attempt.searcher, version, 1, documents, hits
        )
        pending = self.query.is_pending(attempt.attempt)
        if pending and version == attempt.index_version:
            self.answered[version, attempt.shard] = documents
        self.handle(OutcomeArrived(result), self.now)

    def reject(self, attempt, kind, not_run, newer=0):
        if not not_run:
            self.ran.add(attempt.attempt)
        failure = AttemptFailed(attempt.attempt, kind, "test", not_run, newer)
        self.handle(OutcomeArrived(failure), self.now)

    def replan(self, version):
        if self.plan_requested:
            self.plan_requested = False
            self.handle(Replanned(make_plan(version)), self.now)

    def run_steps(self, steps):
        self.now = 0.0
        for kind, index, elapsed in steps:
            if self.finish:
                return
            self.now = min(self.now + elapsed, 0.99)
            self.run_step(kind, index, self.sent[index % len(self.sent)])

    def run_step(self, kind, index, attempt):
        version = attempt.index_version
        match kind:
            case "answer":
                self.respond(attempt, version, DOCUMENTS_PER_SHARD)
            case "partial":
                self.respond(attempt, version, index % DOCUMENTS_PER_SHARD)
            case "newer answer":
                self.respond(attempt, version + 1, DOCUMENTS_PER_SHARD)
            case "wrong version":
                self.reject(attempt, ErrorKind.WRONG_VERSION, True, 2)
            case "refuse":
                self.reject(attempt, ErrorKind.NOT_OWNER, True)
            case "fail":
                self.reject(attempt, ErrorKind.TARGET_FAILED, False)
            case "out":
                self.set_out(r for r in REPLICAS if r[0] == "ab"[index % 2])
            case "in":
                self.set_out(())
            case "replan":
                self.replan(2 + index % 2)
            case "time":
                self.handle(TimerFired(), self.now)
            case "extra":
                self.handle(ExtrasGranted(index % 4), self.now)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "answer",
                "partial",
                "newer answer",
                "wrong version",
                "refuse",
                "fail",
                "out",
                "in",
                "replan",
                "time",
                "extra",
            ]
        ),
        st.integers(0, 30),
        st.floats(0.0, 0.1),
    ),
    max_size=60,
)

RESTART = [
    ("wrong version", 1, 0.0),
    ("wrong version", 2, 0.0),
    ("wrong version", 3, 0.0),
    ("replan", 0, 0.0),
]
# One shard answers on the first snapshot and two others on the second.
RESTART_AFTER_ANSWER = [
    ("answer", 0, 0.0),
    *RESTART,
    ("answer", 7, 0.0),
    ("answer", 8, 0.0),
]
# No attempt on the second snapshot runs, but one on the first did.
RESTART_THEN_REFUSALS = [
    ("fail", 0, 0.0),
    *RESTART,
    *[("refuse", i, 0.0) for i in range(4, 31)],
]

REPARTITION = "repartition during a query"
OPERATORS_RACING = "operators racing"


@pytest.mark.proves("search: merge", "straggler", REPARTITION)
@pytest.mark.proves("search: merge", "replica lost", REPARTITION)
@pytest.mark.proves("search: merge", REPARTITION, REPARTITION)
@pytest.mark.proves("search: wait", "straggler", OPERATORS_RACING)
@pytest.mark.proves("search: wait", REPARTITION, OPERATORS_RACING)
@pytest.mark.proves("search: wait", "replica lost", REPARTITION)
@pytest.mark.proves("search: wait", OPERATORS_RACING)
@pytest.mark.proves("search: send", OPERATORS_RACING)
@pytest.mark.proves("search: send", REPARTITION)
@pytest.mark.proves("search: send", "replica lost")
@pytest.mark.proves("out of service: apply", REPARTITION)
@pytest.mark.proves(
    "out of service: apply", OPERATORS_RACING, OPERATORS_RACING
)
@settings(derandomize=True, max_examples=400, deadline=None)
@example(RESTART_THEN_REFUSALS)
@example(RESTART_AFTER_ANSWER)
@given(STEPS)
def test_answer_is_consistent_under_pairs_of_faults(steps):
    """Guards against mixed snapshots, wrong coverage and wrong "not run".

    Attempts fail, the index changes, and data centres go out of service and
    return, in any order during one query.
    """
    driver = FaultDriver()
    driver.run_steps(steps)
    driver.handle(TimerFired(), 0.999)
    assert driver.sent_to_out == []
    match driver.finish.result:
        case SearchAnswer(hits=hits, snapshot=snapshot, coverage=coverage):
            version = snapshot.index_version
            of_version = {
                shard: documents
                for (at, shard), documents in driver.answered.items()
                if at == version
            }
            assert {h.doc for h in hits} == {
                f"v{version}-{shard}" for shard in of_version
            }
            assert coverage.documents == sum(of_version.values())
            whole = {
                s for s, d in of_version.items() if d == DOCUMENTS_PER_SHARD
            }
            everything = {f"s{i}" for i in range(SHARD_COUNT)}
            assert set(coverage.missing) == everything - whole
        case Failure(not_run=not_run):
            assert not (not_run and driver.ran), (
                "reported as not run, but an attempt ran"
            )


@pytest.mark.proves("search: plan", OPERATORS_RACING)
def test_names_and_ticket_stay_pinned_while_views_change():
    """Guards against an answer that mixes two ticket views.

    New views arrive between the first attempts and the hedges.
    """
    driver = QueryDriver()
    for number in range(8, 12):
        newer = routing()
        newer = replace(newer, view=replace(newer.view, number=number))
        driver.handle(RoutingChanged(newer), 0.01)
    driver.handle(TimerFired(), 0.06)
    driver.handle(ExtrasGranted(SHARD_COUNT), 0.06)
    assert len(driver.sent) == 2 * SHARD_COUNT
    assert {a.names for a in driver.sent} == {("Nguyen",)}
    for attempt in driver.sent[SHARD_COUNT:]:
        driver.answer(attempt, 0.07)
    assert driver.finish.result.snapshot.ticket == 7


def count_overloaded_shards(initial_routing, s0_failure=None):
    """Return the overloaded shards of a query that lacks only s0.

    :param s0_failure: kind of failure of each attempt on s0; without it they
        get no outcome
    """
    driver = QueryDriver(hedge_delay=None, initial_routing=initial_routing)
    now = 0.0
    while driver.finish is None:
        for attempt in [*driver.sent]:
            pending = driver.query.is_pending(attempt.attempt)
            if pending and attempt.shard != "s0":
                driver.answer(attempt, now)
            elif pending and s0_failure:
                driver.fail(attempt, s0_failure, now)
        now += 0.02
        driver.handle(TimerFired(), now)
    assert driver.finish.result.coverage.missing == ("s0",)
    return driver.finish.stats.overloaded


def test_shard_without_an_owner_does_not_count_as_overload():
    """Guards against shedding queries because a shard has no owner.

    While the store is down, searchers of a dead node have no owner.
    """
    assert count_overloaded_shards(routing("a0", "b0")) == 0
    for kind in (ErrorKind.NOT_OWNER, ErrorKind.UNAVAILABLE):
        assert count_overloaded_shards(routing(), kind) == 0


def test_shed_and_unanswered_shards_count_as_overload():
    """Guards against an admission limit that never decreases.

    Overloaded searchers shed attempts or do not answer before the deadline.
    The node would admit more queries than they can serve.
    """
    assert count_overloaded_shards(routing(), ErrorKind.TARGET_SHED) == 1
    assert count_overloaded_shards(routing()) == 1
