"""Attempts for one service: what is repeated and what never is."""

from kumquatchuted.retries import progress as retry_progress
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal
from kumquatchuted.searchers.messages import SearcherResponse

TWICE = retry_progress.RetryPolicy(max_attempts=2, at_most_once=False)
ONCE = retry_progress.RetryPolicy(max_attempts=3, at_most_once=True)


def response(status: int, not_executed: bool = False) -> SearcherResponse:
    """Return an answer with a digest."""
    return SearcherResponse(status, b"stamp", b"", not_executed, False, ())


def sent(*searchers: str) -> retry_progress.AttemptProgress:
    """Return the state with attempts under way."""
    progress = retry_progress.AttemptProgress()
    for searcher in searchers:
        progress = retry_progress.assign_searcher(
            retry_progress.add_attempt(progress), searcher, hedge_at=1.0
        )
    return progress


def test_failed_attempt_is_repeated_up_to_the_limit() -> None:
    """Guards against more searchers than the route allows."""
    progress, retry = retry_progress.apply_result(
        sent("a"), response(500), TWICE
    )
    assert retry == retry_progress.Retry(needs_budget=True)
    progress = retry_progress.assign_searcher(
        retry_progress.add_attempt(progress), "b", 1.0
    )
    progress, retry = retry_progress.apply_result(
        progress, response(500), TWICE
    )
    assert retry is None
    assert progress.is_settled()


def test_request_that_may_have_run_is_not_sent_twice() -> None:
    """Guards against a ticket or a quiz submission that runs twice."""
    for result in (response(500), NoResponse("reset", was_sent=True)):
        progress, retry = retry_progress.apply_result(sent("a"), result, ONCE)
        assert retry is None
        assert progress.may_have_run


def test_request_that_surely_did_not_run_is_sent_again() -> None:
    """Guards against a failure where another searcher is free."""
    progress, retry = retry_progress.apply_result(
        sent("a"), response(503, True), ONCE
    )
    assert retry == retry_progress.Retry(needs_budget=True)
    assert not progress.may_have_run
    progress, retry = retry_progress.apply_result(
        sent("a"), NoResponse("refused", False), ONCE
    )
    assert retry == retry_progress.Retry(needs_budget=False)


def test_request_that_runs_once_has_no_second_attempt_beside_the_first() -> (
    None
):
    """Guards against a hedge of a request that must not run twice."""
    assert not retry_progress.is_hedge_due(sent("a"), ONCE, now=9.0)
    assert retry_progress.is_hedge_due(sent("a"), TWICE, now=9.0)


def test_unreachable_searchers_are_not_tried_for_ever() -> None:
    """Guards against a loop over searchers that refuse connections."""
    progress, tries = sent("a"), 1
    retry: retry_progress.Retry | None = retry_progress.Retry(False)
    while retry is not None:
        progress, retry = retry_progress.apply_result(
            progress, NoResponse("refused", False), ONCE
        )
        progress = retry_progress.assign_searcher(
            retry_progress.add_attempt(progress), "b", 1.0
        )
        tries += 1
        assert tries < 20


def test_success_without_a_digest_is_no_answer() -> None:
    """Guards against an answer that callers cannot verify."""
    bare = SearcherResponse(200, b"", b"", False, False, ())
    progress, _ = retry_progress.apply_result(sent("a"), bare, TWICE)
    assert progress.response is None
    assert progress.may_have_run


def test_late_second_answer_changes_nothing() -> None:
    """Guards against a part that replaces the one that was counted."""
    progress, _ = retry_progress.apply_result(
        sent("a", "b"), response(200), TWICE
    )
    again, retry = retry_progress.apply_result(progress, response(500), TWICE)
    assert again == progress
    assert retry is None


def test_refusal_does_not_hide_what_a_searcher_answered() -> None:
    """Guards against a log that blames the allowance for a failure."""
    progress, _ = retry_progress.apply_result(sent("a"), response(500), TWICE)
    progress, _ = retry_progress.apply_result(
        retry_progress.add_attempt(progress), Refusal.NO_BUDGET, TWICE
    )
    assert progress.failure == response(500)
    assert progress.is_settled()
