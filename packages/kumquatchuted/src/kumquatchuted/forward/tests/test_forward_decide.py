"""Results of requests to one searcher."""

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchuted.forward.decide import conclude
from kumquatchuted.forward.decide import conclude_timeout
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.retries.progress import AttemptProgress
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal
from kumquatchuted.searchers.messages import RefusalCause


def response(status: int, not_executed: bool = False) -> SearcherResponse:
    """Return a response with a digest."""
    return SearcherResponse(status, b"stamp", b"", not_executed, False, ())


def test_response_of_a_searcher_is_relayed() -> None:
    """Guards against a status that no searcher returned.

    An error of a searcher is relayed too, so that callers see its cause.
    """
    assert conclude(
        AttemptProgress(response=response(200)), True
    ).response == response(200)
    failed = AttemptProgress(failure=response(500), may_have_run=True)
    assert conclude(failed, False).response == response(500)


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_means_not_run_is_not_relayed(status: int) -> None:
    """Guards against a caller that repeats a request that has run.

    A searcher can return such a status after it ran the request. Callers take
    it as a statement that the request did not run.
    """
    progress = AttemptProgress(failure=response(status), may_have_run=True)
    result = conclude(progress, at_most_once=True)
    assert result.response is None
    assert result.failure.kind is ErrorKind.TARGET_FAILED
    assert not result.failure.not_run


@pytest.mark.parametrize("at_most_once", [True, False])
@pytest.mark.parametrize(
    "unusable",
    [
        SearcherResponse(200, b"", b"body", False, False, ()),
        SearcherResponse(204, b"", b"", False, False, ()),
        SearcherResponse(200, b"d", b"zip", False, False, (), "", True),
        SearcherResponse(600, b"d", b"body", False, False, ()),
    ],
    ids=["no digest", "no content", "encoded", "status"],
)
def test_success_that_cannot_be_verified_is_not_relayed(
    unusable: SearcherResponse, at_most_once: bool
) -> None:
    """Guards against a success without the digest of its body.

    The request has run, so that the failure must not state that it has not.
    """
    progress = AttemptProgress(failure=unusable, may_have_run=True)
    result = conclude(progress, at_most_once)
    assert result.response is None
    assert result.failure.kind is ErrorKind.TARGET_FAILED
    assert not result.failure.not_run


def test_request_that_no_searcher_ran_is_marked_not_run() -> None:
    """Guards against a failure that keeps callers from trying again.

    No searcher ran the request, so even an at-most-once request may be
    repeated, and the failure must say so.
    """
    for failure in (
        response(503, True),
        Refusal(RefusalCause.BUSY),
        NoResponse("refused", False),
    ):
        result = conclude(AttemptProgress(failure=failure), at_most_once=True)
        assert result.failure.kind is ErrorKind.UNAVAILABLE
        assert result.failure.not_run


def test_lost_response_is_not_marked_not_run() -> None:
    """Guards against a "not run" failure of a request that may have run.

    The connection was reset after the request was sent. A caller that repeats
    the request could make it run twice.
    """
    progress = AttemptProgress(
        failure=NoResponse("reset", True), may_have_run=True
    )
    result = conclude(progress, at_most_once=True)
    assert result.failure.kind is ErrorKind.TARGET_FAILED
    assert not result.failure.not_run


def test_timeout_with_a_pending_attempt_is_not_marked_not_run() -> None:
    """Guards against a "not run" failure of a request that runs later.

    At the deadline a searcher has the request in its queue. A caller that
    repeats the request could make it run twice.
    """
    result = conclude_timeout(AttemptProgress(sent=1, pending=1))
    assert result.failure.kind is ErrorKind.DEADLINE_EXCEEDED
    assert not result.failure.not_run
    assert conclude_timeout(AttemptProgress()).failure.not_run
