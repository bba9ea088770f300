"""The attempts for one service: when to retry, hedge or give up."""

from dataclasses import dataclass
from dataclasses import replace

from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.responses.quality import assess
from kumquatchuted.responses.quality import is_answer
from kumquatchuted.responses.quality import NotRun
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal

# Limit of the attempts that reach no searcher. They do not count towards
# max_attempts, so without it the attempts on a service without a reachable
# searcher would not end.
MAX_UNREACHED = 4
# A caller concludes from these statuses that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often a request may be sent.

    :param max_attempts: maximum number of searchers that may receive it
    :param at_most_once: whether it may run only once, so that it is neither
        hedged nor retried after an attempt that may have run
    :param parts_only: whether only a part settles the attempts, because the
        response is merged into the answer to a query
    """

    max_attempts: int
    at_most_once: bool
    parts_only: bool = False


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """State of the attempts for one service.

    :param tried: names of the searchers that were chosen
    :param sent: number of attempts that may have reached a searcher,
        including those that another node may make for this one
    :param unreached: number of attempts that reached no searcher
    :param pending: number of attempts without a result
    :param hedge_at: when a hedge is due, in monotonic seconds; None before a
        searcher is assigned and after the response
    :param response: response that settles the attempts; None so far
    :param failure: failure to report if there is no such response
    :param may_have_run: whether a searcher may have run the request in an
        attempt that has ended
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
        """Return whether there is a final response or nothing is pending."""
        return self.response is not None or self.pending == 0


@dataclass(frozen=True, slots=True)
class Retry:
    """Send one more attempt.

    :param needs_budget: whether an earlier attempt may have reached a
        searcher, so that this one counts as a retry
    """

    needs_budget: bool


def add_attempt(progress: AttemptProgress) -> AttemptProgress:
    """Return the state with one more pending attempt.

    No hedge is due until a searcher is assigned to it.
    """
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

    :param attempts: how many of the attempts that ``delegate`` counted are
        subtracted again
    """
    return replace(progress, sent=progress.sent - attempts)


def apply_delegated_response(
    progress: AttemptProgress, response: SearcherResponse
) -> AttemptProgress:
    """Return the state after another node responded for this service.

    Its response replaces one that a searcher sent to this node meanwhile,
    because its records are merged from all services that the other node
    covers and would otherwise count twice.
    """
    pending = max(0, progress.pending - 1)
    return replace(progress, response=response, pending=pending, hedge_at=None)


def apply_result(
    progress: AttemptProgress,
    result: SearcherResponse | NoResponse | Refusal,
    policy: RetryPolicy,
) -> tuple[AttemptProgress, Retry | None]:
    """Return the state after a result, and the retry to send, if any.

    Results after the final response are ignored.
    """
    if progress.response is not None:
        return progress, None
    progress = replace(progress, pending=progress.pending - 1)
    match result:
        case SearcherResponse() if is_answer(result, policy.parts_only):
            return replace(progress, response=result, hedge_at=None), None
        case SearcherResponse():
            has_run = not isinstance(assess(result), NotRun)
            progress = replace(
                progress,
                failure=result,
                may_have_run=progress.may_have_run or has_run,
            )
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
    """Return whether one more attempt is allowed.

    The retry budget is not considered.
    """
    if policy.at_most_once and (progress.may_have_run or progress.pending):
        return False
    return (
        progress.sent < policy.max_attempts
        and progress.unreached < MAX_UNREACHED
    )


def is_hedge_due(
    progress: AttemptProgress, policy: RetryPolicy, now: float
) -> bool:
    """Return whether a pending attempt is overdue and may be hedged.

    :param now: monotonic time in seconds
    """
    return (
        not policy.at_most_once
        and progress.response is None
        and progress.hedge_at is not None
        and progress.hedge_at <= now
        and can_retry(progress, policy)
    )


def _preferred_failure(
    progress: AttemptProgress, result: NoResponse | Refusal
) -> SearcherResponse | NoResponse | Refusal:
    """Return the failure to report.

    A response of a searcher takes precedence, because it tells more about the
    cause than a lost connection or a refused retry.
    """
    if isinstance(progress.failure, SearcherResponse):
        return progress.failure
    return result
