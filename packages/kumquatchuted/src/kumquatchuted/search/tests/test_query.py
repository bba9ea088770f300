"""Tests the decisions of a query: snapshot, coverage, retries and hedges."""

import random
from types import MappingProxyType

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import Hit
from kumquatchute_model.query import SearchAnswer
from kumquatchute_model.query import Snapshot
from kumquatchute_model.shards import Shard
from kumquatchute_model.shards import ShardMap
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.search.deadlines import ANSWER_MARGIN_S
from kumquatchuted.search.plan import Plan
from kumquatchuted.search.query import Query
from kumquatchuted.search.query_events import CallerGone
from kumquatchuted.search.query_events import ExtrasGranted
from kumquatchuted.search.query_events import Finish
from kumquatchuted.search.query_events import OutcomeArrived
from kumquatchuted.search.query_events import QueryTiming
from kumquatchuted.search.query_events import Replanned
from kumquatchuted.search.query_events import RequestExtras
from kumquatchuted.search.query_events import RequestPlan
from kumquatchuted.search.query_events import Send
from kumquatchuted.search.query_events import Started
from kumquatchuted.search.query_events import TimerFired
from kumquatchuted.search.query_events import WakeAt
from kumquatchuted.search.query_events import Withdraw
from kumquatchuted.search.routing import Routing
from kumquatchuted.search.routing import RoutingChanged
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.tickets.messages import View

SHARD_COUNT = 4
DOCUMENTS_PER_SHARD = 10
HEDGE_DELAY_S = 0.05


def shard_map(version: int = 1) -> ShardMap:
    shards = tuple(
        Shard(f"s{i}", DOCUMENTS_PER_SHARD, (f"a{i}", f"b{i}"))
        for i in range(SHARD_COUNT)
    )
    return ShardMap("console", version, 1, shards)


def make_plan(version: int = 1) -> Plan:
    pinned_map = shard_map(version)
    return Plan(
        "console", Snapshot(version, 1, 7), pinned_map, ("Nguyen",), 10
    )


def routing(*without: str) -> Routing:
    owners = {
        replica: "node-" + replica[0]
        for shard in shard_map().shards
        for replica in shard.replicas
        if replica not in without
    }
    return Routing(View(), Catalog(), MappingProxyType(owners))


class QueryDriver:
    """Feeds events to a query and records its actions."""

    def __init__(
        self,
        soft=None,
        hedge_delay=HEDGE_DELAY_S,
        initial_routing=None,
        expected_s=0.0,
    ):
        timing = QueryTiming(0.0, 1.0, soft, hedge_delay, expected_s)
        self.query = Query(
            "q",
            make_plan(),
            initial_routing or routing(),
            timing,
            random.Random(1),
        )
        self.sent = []
        self.actions = []
        self.finish = None
        self.handle(Started(), 0.0)

    def handle(self, event, now):
        actions = self.query.handle(event, now)
        self.actions.extend(actions)
        for action in actions:
            match action:
                case Send(attempt=attempt):
                    self.sent.append(attempt)
                case Finish():
                    assert self.finish is None
                    self.finish = action
        return actions

    def answer(
        self, attempt, now=0.01, documents=DOCUMENTS_PER_SHARD, version=None
    ):
        version = version or attempt.index_version
        hits = (Hit(f"{attempt.shard}-d", "Nguyen", 1.0),)
        result = SearchResult(
            attempt.attempt, attempt.searcher, version, 1, documents, hits
        )
        return self.handle(OutcomeArrived(result), now)

    def fail(self, attempt, kind, now=0.01, not_run=True, newer=0):
        failure = AttemptFailed(attempt.attempt, kind, "test", not_run, newer)
        return self.handle(OutcomeArrived(failure), now)


def test_one_attempt_per_shard_and_full_coverage():
    """Guards against duplicate first attempts and lost shards.

    Even without any fault, searchers would do the same work twice, or the
    caller would miss hits.
    """
    driver = QueryDriver()
    assert sorted(a.shard for a in driver.sent) == ["s0", "s1", "s2", "s3"]
    for attempt in list(driver.sent):
        driver.answer(attempt)
    answer = driver.finish.result
    assert answer.coverage.fraction == 1.0
    assert answer.coverage.missing == ()
    assert len(answer.hits) == SHARD_COUNT


def test_partial_shard_result_lowers_coverage():
    """Guards against a partial result that counts as a whole shard.

    The caller would take an incomplete answer for a complete one.
    """
    driver = QueryDriver()
    for attempt in list(driver.sent):
        documents = 3 if attempt.shard == "s0" else DOCUMENTS_PER_SHARD
        driver.answer(attempt, documents=documents)
    coverage = driver.finish.result.coverage
    assert coverage.documents == 33
    assert coverage.missing == ("s0",)


@pytest.mark.proves("search: merge", "repartition during a query")
def test_answer_for_another_version_is_never_merged():
    """Guards against an answer that mixes two snapshots.

    One searcher has a newer index than the others and returns its result.
    """
    driver = QueryDriver(hedge_delay=None)
    first = driver.sent[0]
    driver.answer(first, version=2)
    for attempt in list(driver.sent[1:SHARD_COUNT]):
        driver.answer(attempt)
    driver.handle(ExtrasGranted(0), 0.02)
    coverage = driver.finish.result.coverage
    assert coverage.missing == (first.shard,)
    assert coverage.documents == 30


@pytest.mark.proves("search: wait", "straggler")
@pytest.mark.proves("search: merge", "straggler")
def test_hedged_shard_is_counted_once():
    """Guards against documents that both attempts of a hedge count.

    The slow attempt returns its result after the hedge has returned one.
    """
    driver = QueryDriver()
    for attempt in driver.sent[1:SHARD_COUNT]:
        driver.answer(attempt)
    slow = driver.sent[0]
    assert RequestExtras(1) in driver.handle(TimerFired(), 0.06)
    driver.handle(ExtrasGranted(1), 0.06)
    hedge = driver.sent[-1]
    assert hedge.shard == slow.shard
    assert hedge.searcher != slow.searcher
    actions = driver.answer(hedge, 0.07)
    assert Withdraw((slow.attempt,)) in actions
    assert driver.answer(slow, 0.08) == ()
    assert driver.finish.result.coverage.documents == 40


def test_no_hedge_without_budget():
    """Guards against hedges beyond the budget of extra attempts.

    If all searchers are slow, hedges would double their load.
    """
    driver = QueryDriver()
    driver.handle(TimerFired(), 0.06)
    driver.handle(ExtrasGranted(0), 0.06)
    assert len(driver.sent) == SHARD_COUNT


def test_attempt_that_did_not_run_is_retried_on_the_other_replica_at_once():
    """Guards against a lost shard while another replica is usable.

    The searcher of the first attempt has just got another owner.
    """
    driver = QueryDriver()
    first = driver.sent[0]
    driver.fail(first, ErrorKind.NOT_OWNER)
    assert driver.sent[-1].shard == first.shard
    assert driver.sent[-1].searcher != first.searcher


@pytest.mark.proves("search: wait", "replica lost")
def test_attempt_that_reached_no_searcher_is_not_counted():
    """Guards against attempts that did not run and use up the budget.

    A node that is not the owner refuses an attempt. Together with its retry,
    it must count as one first attempt.
    """
    driver = QueryDriver()
    driver.fail(driver.sent[0], ErrorKind.NOT_OWNER)
    for attempt in list(driver.sent[1:]):
        driver.answer(attempt)
    assert driver.finish.stats.first_attempts == SHARD_COUNT
    assert driver.finish.stats.extra_attempts == 0


def test_full_searcher_gets_no_second_attempt():
    """Guards against repeated attempts on searchers at their limit.

    Under overload, they would use node time that other queries need.
    """
    driver = QueryDriver(hedge_delay=None)
    first = driver.sent[0]
    driver.fail(first, ErrorKind.DEADLINE_EXCEEDED)
    other = driver.sent[-1]
    assert other.shard == first.shard
    driver.fail(other, ErrorKind.DEADLINE_EXCEEDED)
    for attempt in list(driver.sent[1:SHARD_COUNT]):
        driver.answer(attempt)
    assert driver.finish.result.coverage.missing == (first.shard,)
    assert len(driver.sent) == SHARD_COUNT + 1


def test_attempt_budget_ends_at_the_soft_deadline():
    """Guards against searchers that run attempts whose query has ended.

    An attempt queued at a busy searcher must expire when the query may end
    with a partial answer.
    """
    driver = QueryDriver(soft=0.08)
    assert all(attempt.budget_ms <= 80 for attempt in driver.sent)


def test_partial_answer_is_sent_a_margin_before_the_soft_deadline():
    """Guards against answers that reach the caller after the soft deadline.

    The margin is the time for merging and for sending the answer.
    """
    driver = QueryDriver(soft=0.08, hedge_delay=None)
    driver.answer(driver.sent[0])
    wakes = [a.at for a in driver.actions if isinstance(a, WakeAt)]
    at = min(wakes)
    assert at == pytest.approx(0.08 - ANSWER_MARGIN_S)
    driver.handle(TimerFired(), at)
    assert driver.finish.result.coverage.documents == DOCUMENTS_PER_SHARD


def test_no_retry_that_cannot_finish_in_time():
    """Guards against retries that double the load of an overloaded site.

    Searchers at their limit refuse attempts shortly before the soft deadline;
    a retry would cost as much as a first attempt and come too late.
    """
    driver = QueryDriver(soft=0.08, hedge_delay=None, expected_s=0.01)
    first, second, *_ = driver.sent
    for attempt in driver.sent[2:]:
        driver.answer(attempt)
    driver.fail(first, ErrorKind.DEADLINE_EXCEEDED, now=0.06)
    assert driver.sent[-1].shard == first.shard
    driver.fail(second, ErrorKind.DEADLINE_EXCEEDED, now=0.075)
    assert driver.sent[-1].shard == first.shard


def test_no_hedge_that_cannot_finish_in_time():
    """Guards against extra attempts whose results arrive too late.

    The hedge delay ends so shortly before the soft deadline that a hedge
    cannot finish in time.
    """
    driver = QueryDriver(soft=0.08, hedge_delay=0.075, expected_s=0.01)
    driver.answer(driver.sent[0])
    assert driver.handle(TimerFired(), 0.0751) == ()


def test_retry_for_the_first_result_may_pass_the_soft_deadline():
    """Guards against a failed query while there is time for a result.

    An attempt fails shortly before the soft deadline, and no shard has a
    result yet.
    """
    driver = QueryDriver(soft=0.08, hedge_delay=None, expected_s=0.01)
    driver.fail(driver.sent[0], ErrorKind.DEADLINE_EXCEEDED, now=0.075)
    assert driver.sent[-1].shard == driver.sent[0].shard
    assert driver.sent[-1].budget_ms > 100


def test_attempt_that_may_have_run_is_retried_only_with_budget():
    """Guards against retries as extra load without a grant.

    The searcher failed after it may have run the attempt, so a retry is work
    done twice.
    """
    driver = QueryDriver()
    first = driver.sent[0]
    actions = driver.fail(first, ErrorKind.TARGET_FAILED, not_run=False)
    assert actions == (RequestExtras(1),)
    assert len(driver.sent) == SHARD_COUNT


def test_single_replica_is_tried_again_after_a_delay():
    """Guards against a lost shard while its only replica changes owner.

    The former owner refuses the attempt; a little later there is a new one.
    """
    driver = QueryDriver(initial_routing=routing("b0"))
    first = next(a for a in driver.sent if a.shard == "s0")
    driver.fail(first, ErrorKind.NOT_OWNER)
    assert len(driver.sent) == SHARD_COUNT
    driver.handle(TimerFired(), 0.2)
    assert driver.sent[-1].searcher == "a0"


@pytest.mark.proves("out of service: apply", "straggler")
def test_data_centre_out_of_service_gets_no_hedge():
    """Guards against hedges on searchers that are out of service.

    Their data centre goes out of service after the first attempts were sent
    and before the hedges.
    """
    driver = QueryDriver()
    out = routing(*(f"b{i}" for i in range(SHARD_COUNT)))
    waiting = [a for a in driver.sent if a.searcher.startswith("a")]
    driver.handle(RoutingChanged(out), 0.01)
    driver.handle(TimerFired(), 0.06)
    driver.handle(ExtrasGranted(SHARD_COUNT), 0.06)
    later = driver.sent[SHARD_COUNT:]
    assert all(a.searcher.startswith("a") for a in later)
    assert not {a.shard for a in later} & {a.shard for a in waiting}


@pytest.mark.proves("search: wait", "straggler")
def test_partial_answer_is_sent_at_the_soft_deadline():
    """Guards against waiting for shards past the soft deadline.

    The caller would get a late answer although a partial one sufficed.
    """
    driver = QueryDriver(soft=0.08)
    driver.answer(driver.sent[0])
    driver.handle(TimerFired(), 0.081)
    assert driver.finish.result.coverage.documents == DOCUMENTS_PER_SHARD


@pytest.mark.proves("search: wait", "straggler")
def test_without_soft_deadline_the_query_waits_for_coverage():
    """Guards against a partial answer while there is time for the rest.

    Shards are slow, and the service prefers coverage to latency.
    """
    driver = QueryDriver(soft=None)
    driver.answer(driver.sent[0])
    driver.handle(TimerFired(), 0.5)
    assert driver.finish is None
    driver.handle(TimerFired(), 0.998)
    assert driver.finish.result.coverage.documents == DOCUMENTS_PER_SHARD


@pytest.mark.proves(
    "search: send", "lease expired while its holder was paused"
)
def test_failure_is_not_run_if_no_attempt_reached_a_searcher():
    """Guards against "may have run" for a query of which nothing ran.

    The owners are not current and refuse all attempts. The caller must learn
    that no searcher did any work.
    """
    driver = QueryDriver(initial_routing=routing())
    for _ in range(100):
        pending = [a for a in driver.sent if a.attempt not in driver.__dict__]
        for attempt in pending:
            driver.fail(attempt, ErrorKind.NOT_CURRENT)
        if driver.finish:
            break
        driver.handle(TimerFired(), 0.9)
    driver.handle(TimerFired(), 0.999)
    assert isinstance(driver.finish.result, Failure)
    assert driver.finish.result.not_run


@pytest.mark.proves("search: wait", "connection silent for good")
def test_failure_with_an_outstanding_attempt_is_never_not_run():
    """Guards against "not run" for an attempt that may have run.

    Searchers may run attempts whose responses never arrive.
    """
    driver = QueryDriver()
    driver.handle(TimerFired(), 0.999)
    failure = driver.finish.result
    assert failure.kind is ErrorKind.DEADLINE_EXCEEDED
    assert not failure.not_run


def test_attempts_are_withdrawn_when_the_caller_is_gone():
    """Guards against searchers that work for a disconnected caller.

    All pending attempts must be cancelled at once.
    """
    driver = QueryDriver()
    actions = driver.handle(CallerGone(), 0.01)
    assert Withdraw(tuple(a.attempt for a in driver.sent)) in actions
    assert driver.finish.result.kind is ErrorKind.CANCELLED


@pytest.mark.proves("search: plan", "repartition during a query")
@pytest.mark.proves("search: wait", "repartition during a query")
def test_query_restarts_once_on_the_newer_snapshot():
    """Guards against results of two snapshots in one answer.

    Most shards move to a newer index during the query. After the restart, the
    result of an attempt on the old snapshot still arrives.
    """
    driver = QueryDriver()
    old = list(driver.sent)
    for attempt in old[:3]:
        actions = driver.fail(
            attempt, ErrorKind.WRONG_VERSION, not_run=False, newer=2
        )
    assert RequestPlan() in actions
    driver.handle(Replanned(make_plan(2)), 0.02)
    new = [a for a in driver.sent if a.index_version == 2]
    assert len(new) == SHARD_COUNT
    driver.answer(old[3], 0.03)
    for attempt in new:
        driver.answer(attempt, 0.04)
    answer = driver.finish.result
    assert answer.snapshot.index_version == 2
    assert driver.finish.stats.extra_attempts == SHARD_COUNT
    assert answer.coverage.fraction == 1.0
    assert len(answer.hits) == SHARD_COUNT


def test_failure_after_a_restart_counts_earlier_attempts_as_run():
    """Guards against "not run" for attempts before a restart.

    Attempts of the first plan may have run; all those of the second one were
    refused without being run.
    """
    driver = QueryDriver()
    for attempt in list(driver.sent[:3]):
        driver.fail(attempt, ErrorKind.WRONG_VERSION, not_run=False, newer=2)
    driver.handle(Replanned(make_plan(2)), 0.02)
    for _ in range(100):
        for attempt in [a for a in driver.sent if a.index_version == 2]:
            driver.fail(attempt, ErrorKind.NOT_CURRENT, 0.03)
    driver.handle(TimerFired(), 0.999)
    assert not driver.finish.result.not_run


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["answer", "partial", "wrong", "refuse", "fail", "time", "extra"]
        ),
        st.integers(0, 30),
        st.floats(0.0, 0.1),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(STEPS)
@pytest.mark.proves("search: merge", "straggler")
@pytest.mark.proves("search: merge", "replica lost")
@pytest.mark.proves("search: merge", "repartition during a query")
@pytest.mark.proves("search: merge", "straggler", "repartition during a query")
def test_coverage_matches_the_results_in_any_order(steps):
    """Guards against wrong coverage and attempts with the same identifier.

    Results, failures, timers and grants arrive in any order, and some for an
    attempt that already has an outcome.
    """
    driver = QueryDriver(soft=0.6)
    now = 0.0
    expected_documents = {}
    for kind, index, elapsed in steps:
        now = min(now + elapsed, 0.99)
        attempt = driver.sent[index % len(driver.sent)]
        pending = driver.query.is_pending(attempt.attempt)
        match kind:
            case "answer":
                driver.answer(attempt, now)
                if pending:
                    expected_documents[attempt.shard] = DOCUMENTS_PER_SHARD
            case "partial":
                driver.answer(attempt, now, documents=4)
                if pending:
                    expected_documents[attempt.shard] = 4
            case "wrong":
                driver.answer(attempt, now, version=9)
            case "refuse":
                driver.fail(attempt, ErrorKind.TARGET_SHED, now)
            case "fail":
                driver.fail(
                    attempt, ErrorKind.TARGET_FAILED, now, not_run=False
                )
            case "time":
                driver.handle(TimerFired(), now)
            case "extra":
                driver.handle(ExtrasGranted(index % 4), now)
        if driver.finish:
            break
    driver.handle(TimerFired(), 0.999)
    match driver.finish.result:
        case SearchAnswer(coverage=coverage):
            assert coverage.documents == sum(expected_documents.values())
        case Failure():
            assert not expected_documents
    searchers = [(a.shard, a.searcher) for a in driver.sent]
    assert len({a.attempt for a in driver.sent}) == len(searchers)
