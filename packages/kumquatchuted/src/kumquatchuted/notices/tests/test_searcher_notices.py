"""The notices of all searchers, as a node applies them."""

from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.notices.messages import Leaving
from kumquatchuted.notices.messages import PauseRequested
from kumquatchuted.notices.messages import process_of
from kumquatchuted.notices.searcher_notices import SearcherNotices

SEARCHER = RegisteredSearcher(
    "i-1", "s", "10.0.0.1", 80, "a", SearcherState.READY, 2, 0.0, 1
)
PROCESS = process_of(SEARCHER)


def notices_with_pause(delay_s: float) -> SearcherNotices:
    """Return the state after a refusal at 10 s."""
    notices = SearcherNotices(lambda: 0.0)
    notices.on_notices(PROCESS, (PauseRequested(delay_s),), 10.0)
    return notices


def test_response_to_an_earlier_request_does_not_end_a_pause() -> None:
    """Guards against requests during a pause.

    A request that was sent before the refusal succeeds after it.
    """
    notices = notices_with_pause(2.0)
    notices.on_request_run(PROCESS, 10.1)
    assert not notices.may_send(SEARCHER, 0, 11.0)
    assert notices.may_send(SEARCHER, 0, 12.0)
    assert not notices.may_send(SEARCHER, 1, 12.0)
    notices.on_request_run(PROCESS, 12.1)
    assert notices.may_send(SEARCHER, 1, 12.1)


def test_shortest_pause_tells_when_a_retry_may_succeed() -> None:
    """Guards against a Retry-After of a searcher that has ended its pause."""
    notices = notices_with_pause(2.0)
    assert notices.retry_after_s([SEARCHER], 11.5) == 0.5
    assert notices.retry_after_s([], 11.5) is None


def test_leaving_process_has_no_pause() -> None:
    """Guards against a caller that is told to wait for a searcher that leaves.

    It stated both in one response.
    """
    notices = notices_with_pause(2.0)
    assert notices.on_notices(PROCESS, (Leaving(),), 10.5)
    assert not notices.on_notices(PROCESS, (Leaving(),), 10.6)
    assert notices.is_leaving(SEARCHER)
    assert notices.retry_after_s([SEARCHER], 10.6) is None
    assert notices.find_leaving({"i-1": SEARCHER}) == (PROCESS,)
