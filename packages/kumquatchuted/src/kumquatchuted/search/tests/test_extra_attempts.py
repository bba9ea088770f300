"""Tests retries of several shards whose attempts fail at the same time."""

from kumquatchute_model.errors import ErrorKind
from kumquatchuted.search.query_events import ExtrasGranted
from kumquatchuted.search.query_events import RequestExtras
from kumquatchuted.search.tests.test_query import QueryDriver
from kumquatchuted.search.tests.test_query import SHARD_COUNT
from kumquatchuted.search.tests.test_task_faults import ALL_SHARDS
from kumquatchuted.search.tests.test_task_faults import check_answer
from kumquatchuted.search.tests.test_task_faults import FAULT_AFTER_S
from kumquatchuted.search.tests.test_task_faults import search_with_fault
from kumquatchuted.search.tests.test_task_faults import SearchTaskHarness


def kill_node_a(harness: SearchTaskHarness) -> None:
    harness.set_members("b")
    harness.fail_attempts_of_a(ErrorKind.OUTCOME_UNKNOWN, not_run=False)


def test_all_shards_of_a_killed_node_are_retried_within_the_budget():
    """Guards against shards that stay missing after their node was killed.

    All attempts at the node fail at once, and each asks for an extra attempt.
    The grant for one must not end the wait of the others.
    """
    harness, result = search_with_fault(kill_node_a, FAULT_AFTER_S)
    assert len(harness.shards_at("a")) > 1
    check_answer(result, ALL_SHARDS)


def test_each_granted_extra_is_used_when_two_attempts_fail_at_once():
    """Guards against a grant that uses the budget and sends no attempt.

    Two attempts fail before the first grant arrives, so that two requests for
    extra attempts wait at the same time.
    """
    driver = QueryDriver(hedge_delay=None)
    for attempt in driver.sent[:2]:
        actions = driver.fail(
            attempt, ErrorKind.OUTCOME_UNKNOWN, not_run=False
        )
        assert actions == (RequestExtras(1),)
    driver.handle(ExtrasGranted(1), 0.02)
    driver.handle(ExtrasGranted(1), 0.02)
    assert len(driver.sent) == SHARD_COUNT + 2
