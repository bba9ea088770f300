"""Attempts for one service: which are retried and which are not."""

from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.retries import progress as retry_progress
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal
from kumquatchuted.searchers.messages import RefusalCause

RETRYABLE = retry_progress.RetryPolicy(max_attempts=2, at_most_once=False)
AT_MOST_ONCE = retry_progress.RetryPolicy(max_attempts=3, at_most_once=True)


def response(status: int, not_executed: bool = False) -> SearcherResponse:
    """Return a response with a digest."""
    return SearcherResponse(status, b"stamp", b"", not_executed, False, ())


def progress_with(*searchers: str) -> retry_progress.AttemptProgress:
    """Return the state with one pending attempt per searcher."""
    progress = retry_progress.AttemptProgress()
    for searcher in searchers:
        progress = retry_progress.assign_searcher(
            retry_progress.add_attempt(progress), searcher, hedge_at=1.0
        )
    return progress


def test_failed_attempt_is_retried_up_to_the_limit() -> None:
    """Guards against more attempts than the route allows.

    If each failure led to a retry, a request that makes searchers fail would
    reach all searchers of the service.
    """
    progress, retry = retry_progress.apply_result(
        progress_with("a"), response(500), RETRYABLE
    )
    assert retry == retry_progress.Retry(needs_budget=True)
    progress = retry_progress.assign_searcher(
        retry_progress.add_attempt(progress), "b", 1.0
    )
    progress, retry = retry_progress.apply_result(
        progress, response(500), RETRYABLE
    )
    assert retry is None
    assert progress.is_settled()


def test_request_that_may_have_run_is_not_sent_twice() -> None:
    """Guards against a ticket or a quiz submission that runs twice.

    A searcher may have run the request before it responded with an error or
    before its connection was reset.
    """
    for result in (response(500), NoResponse("reset", was_sent=True)):
        progress, retry = retry_progress.apply_result(
            progress_with("a"), result, AT_MOST_ONCE
        )
        assert retry is None
        assert progress.may_have_run


def test_request_that_did_not_run_is_retried() -> None:
    """Guards against a request that fails although another searcher is free.

    It is safe to retry even an at-most-once request if the searcher states
    that it did not run it, or if the connection was refused.
    """
    progress, retry = retry_progress.apply_result(
        progress_with("a"), response(503, True), AT_MOST_ONCE
    )
    assert retry == retry_progress.Retry(needs_budget=True)
    assert not progress.may_have_run
    progress, retry = retry_progress.apply_result(
        progress_with("a"), NoResponse("refused", False), AT_MOST_ONCE
    )
    assert retry == retry_progress.Retry(needs_budget=False)


def test_at_most_once_request_is_not_hedged() -> None:
    """Guards against an at-most-once request that runs twice.

    A hedge is sent while the first attempt may still be running.
    """
    assert not retry_progress.is_hedge_due(
        progress_with("a"), AT_MOST_ONCE, now=9.0
    )
    assert retry_progress.is_hedge_due(progress_with("a"), RETRYABLE, now=9.0)


def test_attempts_on_unreachable_searchers_are_limited() -> None:
    """Guards against endless attempts on searchers that refuse connections.

    Attempts that reach no searcher do not count towards ``max_attempts``.
    """
    progress, attempts = progress_with("a"), 1
    retry: retry_progress.Retry | None = retry_progress.Retry(False)
    while retry is not None:
        progress, retry = retry_progress.apply_result(
            progress, NoResponse("refused", False), AT_MOST_ONCE
        )
        progress = retry_progress.assign_searcher(
            retry_progress.add_attempt(progress), "b", 1.0
        )
        attempts += 1
        assert attempts < 20


def test_success_without_a_digest_does_not_settle_the_attempts() -> None:
    """Guards against an answer that callers cannot verify.

    A searcher can respond with 200 without a digest. Another searcher is tried
    then, but the request counts as one that may have run.
    """
    without_digest = SearcherResponse(200, b"", b"", False, False, ())
    progress, _ = retry_progress.apply_result(
        progress_with("a"), without_digest, RETRYABLE
    )
    assert progress.response is None
    assert progress.may_have_run


def test_second_response_is_ignored() -> None:
    """Guards against a failed hedge that discards a usable response.

    After the first response, the result of the other attempt must change
    nothing.
    """
    progress, _ = retry_progress.apply_result(
        progress_with("a", "b"), response(200), RETRYABLE
    )
    progress_after, retry = retry_progress.apply_result(
        progress, response(500), RETRYABLE
    )
    assert progress_after == progress
    assert retry is None


def test_refusal_does_not_hide_the_response_of_a_searcher() -> None:
    """Guards against a log that names a lack of retry budget as the cause.

    The searcher's own response, here 500, is the cause of the failure; the
    refused retry only follows from it.
    """
    progress, _ = retry_progress.apply_result(
        progress_with("a"), response(500), RETRYABLE
    )
    progress, _ = retry_progress.apply_result(
        retry_progress.add_attempt(progress),
        Refusal(RefusalCause.NO_BUDGET),
        RETRYABLE,
    )
    assert progress.failure == response(500)
    assert progress.is_settled()
