"""The attempts for one service: when to retry, hedge or give up."""

from dataclasses import dataclass
from dataclasses import replace

from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal
from kumquatchuted.searchers.messages import SearcherResponse

# Attempts that reached no searcher do not count towards max_attempts, so this
# limit ends the attempts on a service without a reachable searcher.
MAX_UNREACHED = 4
# A caller concludes from these statuses that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often a request may be sent.

    :param max_attempts: maximum number of searchers that may receive it
    :param at_most_once: whether it may run only once
    """

    max_attempts: int
    at_most_once: bool


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """State of the attempts for one service.

    :param tried: searchers that were chosen
    :param sent: attempts that may have reached a searcher
    :param unreached: attempts that reached no searcher
    :param pending: attempts without a result
    :param hedge_at: when a hedge is due, in monotonic seconds; None before a
        searcher is assigned and after the response
    :param response: response that settles the attempts
    :param failure: latest result that does not settle them
    :param may_have_run: whether a searcher may have run the request
    """

    tried: tuple[str, ...] = ()
    sent: int = 0
    unreached: int = 0
    pending: int = 0
    hedge_at: float | None = None
    response: SearcherResponse | None = None
    failure: SearcherResponse | NoResponse | Refusal | None = None
    may_have_run: bool = False

    def is_settled(self) -> bool:
        """Return whether no further result is expected."""
        return self.response is not None or self.pending == 0


@dataclass(frozen=True, slots=True)
class Retry:
    """Send one more attempt.

    :param needs_budget: whether an earlier attempt may have reached a
        searcher, so that this one counts as a retry
    """

    needs_budget: bool


def add_attempt(progress: AttemptProgress) -> AttemptProgress:
    """Return the state with one more pending attempt."""
    return replace(progress, pending=progress.pending + 1, hedge_at=None)


def assign_searcher(
    progress: AttemptProgress, searcher: str, hedge_at: float
) -> AttemptProgress:
    """Return the state after a searcher was chosen for an attempt.

    :param hedge_at: when a hedge is due, in monotonic seconds
    """
    return replace(
        progress,
        tried=(*progress.tried, searcher),
        sent=progress.sent + 1,
        hedge_at=hedge_at,
    )


def delegate(
    progress: AttemptProgress, hedge_at: float, attempts: int
) -> AttemptProgress:
    """Return the state after another node took over the service.

    :param hedge_at: when a hedge is due, in monotonic seconds
    :param attempts: maximum number of searchers to which the node may send
        the request
    """
    return replace(progress, sent=progress.sent + attempts, hedge_at=hedge_at)


def undo_delegation(
    progress: AttemptProgress, attempts: int
) -> AttemptProgress:
    """Return the state after the other node is known to have sent nothing.

    :param attempts: attempts of ``delegate`` to take back
    """
    return replace(progress, sent=progress.sent - attempts)


def apply_delegated_response(
    progress: AttemptProgress, response: SearcherResponse
) -> AttemptProgress:
    """Return the state after another node responded for this service.

    Its response replaces a direct one, because its records are merged from
    all services that the node covers.
    """
    pending = max(0, progress.pending - 1)
    return replace(progress, response=response, pending=pending, hedge_at=None)


def apply_result(
    progress: AttemptProgress,
    result: SearcherResponse | NoResponse | Refusal,
    policy: RetryPolicy,
) -> tuple[AttemptProgress, Retry | None]:
    """Return the state after a result, and the retry to send, if any."""
    if progress.response is not None:
        return progress, None
    progress = replace(progress, pending=progress.pending - 1)
    match result:
        case SearcherResponse() if _is_final(result):
            return replace(progress, response=result, hedge_at=None), None
        case SearcherResponse(not_executed=True):
            progress = replace(progress, failure=result)
        case SearcherResponse():
            progress = replace(progress, failure=result, may_have_run=True)
        case NoResponse(was_sent=True):
            progress = replace(
                progress,
                failure=_preferred_failure(progress, result),
                may_have_run=True,
            )
        case NoResponse():
            progress = replace(
                progress,
                failure=_preferred_failure(progress, result),
                sent=progress.sent - 1,
                unreached=progress.unreached + 1,
            )
        case Refusal():
            return replace(
                progress, failure=_preferred_failure(progress, result)
            ), None
    if not can_retry(progress, policy):
        return progress, None
    return progress, Retry(needs_budget=progress.sent > 0)


def can_retry(progress: AttemptProgress, policy: RetryPolicy) -> bool:
    """Return whether one more attempt is allowed."""
    if policy.at_most_once and (progress.may_have_run or progress.pending):
        return False
    return (
        progress.sent < policy.max_attempts
        and progress.unreached < MAX_UNREACHED
    )


def is_hedge_due(
    progress: AttemptProgress, policy: RetryPolicy, now: float
) -> bool:
    """Return whether a pending attempt is overdue and may be hedged."""
    return (
        not policy.at_most_once
        and progress.response is None
        and progress.hedge_at is not None
        and progress.hedge_at <= now
        and can_retry(progress, policy)
    )


def _is_final(response: SearcherResponse) -> bool:
    """Return whether the response settles the attempts.

    A success needs a digest; server errors and responses of searchers that
    did not run the request never settle them.
    """
    if response.not_executed or response.status >= 500:
        return False
    return bool(response.stamp) or response.status >= 300


def _preferred_failure(
    progress: AttemptProgress, result: NoResponse | Refusal
) -> SearcherResponse | NoResponse | Refusal:
    """Return the failure to report; a searcher's response takes precedence."""
    if isinstance(progress.failure, SearcherResponse):
        return progress.failure
    return result
