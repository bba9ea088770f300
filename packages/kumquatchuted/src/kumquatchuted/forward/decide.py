"""Decides what the caller gets for a request to one searcher."""

from dataclasses import dataclass

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.errors import TemporaryFailure
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.responses.quality import assess
from kumquatchuted.responses.quality import NotRun
from kumquatchuted.responses.quality import Unusable
from kumquatchuted.retries.progress import AttemptProgress
from kumquatchuted.retries.progress import NOT_RUN_STATUSES
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """The response that is relayed to the caller, or the failure.

    :param response: response of a searcher; None if there is a failure
    :param failure: None if there is a response to relay
    """

    response: SearcherResponse | None
    failure: Failure | None = None


def conclude(progress: AttemptProgress, at_most_once: bool) -> ForwardResult:
    """Return the result after the last attempt.

    The failure states that the request was not run only if no attempt may have
    run and none is pending. Otherwise the error response of a searcher is
    relayed, if there is one.
    """
    if progress.response is not None:
        return _relay(progress.response, at_most_once)
    if not progress.may_have_run and not progress.pending:
        return ForwardResult(None, _unavailable(progress.failure))
    match progress.failure:
        case SearcherResponse() as response if not isinstance(
            assess(response), NotRun
        ):
            return _relay(response, at_most_once)
    return ForwardResult(
        None, Failure(ErrorKind.TARGET_FAILED, _describe(progress.failure))
    )


def conclude_timeout(progress: AttemptProgress) -> ForwardResult:
    """Return the result when the deadline has passed.

    The failure states that the request was not run only if no searcher may
    have run it and no attempt is pending. An attempt that is not known to have
    been sent must be withdrawn before, because it may still be sent.
    """
    reason = f"no answer in time after {progress.sent} attempts"
    if not progress.may_have_run and not progress.pending:
        return ForwardResult(
            None, Failure(ErrorKind.UNAVAILABLE, reason, not_run=True)
        )
    return ForwardResult(None, Failure(ErrorKind.DEADLINE_EXCEEDED, reason))


def _relay(response: SearcherResponse, at_most_once: bool) -> ForwardResult:
    """Return the response, or a failure if it would mislead the caller.

    Callers cannot verify a success without the digest of its body. To them, a
    status of ``NOT_RUN_STATUSES`` means that the request did not run and can
    be repeated. An at-most-once request that a searcher ran must therefore not
    be answered with one.
    """
    match assess(response):
        case Unusable(reason=reason):
            reason = f"a searcher answered {reason}"
            return ForwardResult(
                None, Failure(ErrorKind.TARGET_FAILED, reason)
            )
    if at_most_once and response.status in NOT_RUN_STATUSES:
        reason = f"a searcher ran the request and answered {response.status}"
        return ForwardResult(None, Failure(ErrorKind.TARGET_FAILED, reason))
    return ForwardResult(response)


def _unavailable(
    failure: SearcherResponse | NoResponse | Refusal | None,
) -> Failure:
    """Return the failure of a request that no searcher ran."""
    reason = _describe(failure)
    match failure:
        case Refusal(retry_after_s=float(retry_after_s)):
            return TemporaryFailure(
                ErrorKind.UNAVAILABLE,
                reason,
                not_run=True,
                retry_after_s=retry_after_s,
            )
    return Failure(ErrorKind.UNAVAILABLE, reason, not_run=True)


def _describe(failure: SearcherResponse | NoResponse | Refusal | None) -> str:
    """Return the reason that the caller and the log get."""
    match failure:
        case SearcherResponse(status=status):
            return f"a searcher answered {status}"
        case NoResponse(reason=reason):
            return f"no answer: {reason}"
        case Refusal(cause=cause):
            return cause.value
    return "no attempt was made"
