"""Tests the limit on extra attempts: 5% of first ones, 10% under faults."""

from kumquatchute_model.errors import ErrorKind
from kumquatchuted.search.budget import ExtraAttemptBudget
from kumquatchuted.search.budget import FAULT_THRESHOLD
from kumquatchuted.search.budget import record_first_attempts
from kumquatchuted.search.budget import record_outcomes
from kumquatchuted.search.budget import STEADY_RATIO
from kumquatchuted.search.budget import take_extras
from kumquatchuted.search.tests.test_query import QueryDriver
from kumquatchuted.search.tests.test_query import SHARD_COUNT

QUERY_COUNT = 500


def overloaded_query() -> QueryDriver:
    """Return a query with one result and all other attempts not run."""
    driver = QueryDriver(soft=0.08, hedge_delay=None, expected_s=0.01)
    first, *others = driver.sent
    driver.answer(first)
    for attempt in others:
        driver.fail(attempt, ErrorKind.DEADLINE_EXCEEDED, now=0.075)
    return driver


def test_extra_attempts_stay_below_the_ratio_under_overload():
    """Guards against 10% of extra load, in place of 5%, under overload.

    The ratio would rise if attempts that did not run counted as failures, and
    the tokens if they counted as first attempts.
    """
    stats = overloaded_query().finish.stats
    assert stats.first_attempts == 1
    budget = ExtraAttemptBudget(tokens=0.0)
    extra = 0
    for _ in range(QUERY_COUNT):
        budget = record_first_attempts(budget, stats.first_attempts)
        budget = record_outcomes(budget, stats.answered, stats.failed)
        budget, granted = take_extras(budget, SHARD_COUNT)
        extra += granted
    assert extra <= STEADY_RATIO * stats.first_attempts * QUERY_COUNT


def test_attempts_that_ran_without_a_result_raise_the_ratio():
    """Guards against too few retries while searchers fail.

    Attempts that ran without a result must switch to the fault ratio.
    """
    driver = QueryDriver(soft=0.08, hedge_delay=None, expected_s=0.01)
    driver.answer(driver.sent[0])
    for attempt in driver.sent[1:SHARD_COUNT]:
        driver.fail(attempt, ErrorKind.TARGET_FAILED, 0.075, not_run=False)
    stats = driver.finish.stats
    budget = ExtraAttemptBudget()
    for _ in range(QUERY_COUNT):
        budget = record_outcomes(budget, stats.answered, stats.failed)
    assert budget.failures > FAULT_THRESHOLD
