"""Interpretation of HTTP responses of searchers and of failed exchanges."""

from dataclasses import dataclass
from typing import Any

import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.target_http.wire import CancelResponseBody
from kumquatchuted.target_http.wire import DRAINING_KIND
from kumquatchuted.target_http.wire import ErrorBody
from kumquatchuted.target_http.wire import ResponseOwner
from kumquatchuted.target_http.wire import SearchResponseBody
from kumquatchuted.target_http.wire import SHED_KIND
from kumquatchuted.target_http.wire import SubmitResponseBody
from kumquatchuted.targets.client import AttemptResult
from kumquatchuted.targets.client import Cancelled
from kumquatchuted.targets.client import Completed
from kumquatchuted.targets.client import ExchangeResult
from kumquatchuted.targets.client import NotConnected
from kumquatchuted.targets.client import NotSent
from kumquatchuted.targets.client import Rejected
from kumquatchuted.targets.client import TimedOut
from kumquatchuted.targets.client import Unproven
from kumquatchuted.targets.messages import Attempt
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.targets.messages import SubmitAttempt
from kumquatchuted.targets.messages import SubmitResult


@dataclass(frozen=True)
class Response:
    """A complete HTTP response, with its body as received."""

    status: int
    body: bytes


@dataclass(frozen=True)
class FailedExchange:
    """Exchange without a complete response.

    :param sent: False if certainly no byte of the request was sent
    :param exchange: how the exchange with the searcher ended
    :param failure: why the request was not admitted, or None
    """

    sent: bool
    exchange: ExchangeResult
    failure: Failure | None = None


def decode(response: Response, kind: type) -> Any | None:
    """Decode the JSON body of a response.

    :param kind: data class of the document
    :returns: None if the body does not match it
    """
    try:
        return msgspec.json.decode(response.body, type=kind)
    except DECODE_ERRORS:
        return None


def owner_of(response: Response) -> str:
    """Return the attempt that a response names, empty if it names none."""
    body = decode(response, ResponseOwner)
    return "" if body is None else body.attempt


def interpret_cancellation(response: Response) -> Cancelled | None:
    """Interpret a response with status 200 to ``POST /cancel``.

    :returns: None if the body is malformed
    """
    body = decode(response, CancelResponseBody)
    return None if body is None else Cancelled(body.incarnation)


def interpret_response(attempt: Attempt, response: Response) -> AttemptResult:
    """Return the result of an attempt that got a complete response."""
    match attempt, response.status:
        case SearchAttempt(), 200:
            return _search_result(attempt, response)
        case SubmitAttempt(), 200:
            return _submit_result(attempt, response)
    error = decode(response, ErrorBody) or ErrorBody()
    exchange = Rejected(
        error.incarnation,
        error.cold,
        response.status == 503 and error.kind == DRAINING_KIND,
    )
    match attempt, response.status:
        case _, 503:
            return AttemptResult(_shed_failure(attempt, error), exchange)
        case SearchAttempt(), 409:
            return AttemptResult(
                _wrong_version_failure(attempt, error), exchange
            )
        case SubmitAttempt(), 400 | 422:
            # The searcher rejects the payload, and would on a retry as well,
            # so this is the result of the submission.
            result = SubmitResult(
                attempt.attempt, response.status, error.reason
            )
            return AttemptResult(result, exchange)
    return _unusable_response_result(attempt, response, exchange)


def _search_result(
    attempt: SearchAttempt, response: Response
) -> AttemptResult:
    body = decode(response, SearchResponseBody)
    if body is None:
        return _unusable_response_result(attempt, response, Rejected())
    outcome = SearchResult(
        attempt.attempt,
        attempt.searcher,
        body.index_version,
        body.map_version,
        body.docs,
        body.hits,
    )
    return AttemptResult(outcome, Completed(body.incarnation, body.cold))


def _submit_result(
    attempt: SubmitAttempt, response: Response
) -> AttemptResult:
    body = decode(response, SubmitResponseBody)
    if body is None:
        return _unusable_response_result(attempt, response, Rejected())
    outcome = SubmitResult(attempt.attempt, response.status, body.result)
    return AttemptResult(outcome, Completed(body.incarnation, body.cold))


def _shed_failure(attempt: Attempt, error: ErrorBody) -> AttemptFailed:
    return AttemptFailed(
        attempt.attempt,
        ErrorKind.TARGET_SHED,
        error.reason or "the searcher sheds load",
        not_run=error.kind in (SHED_KIND, DRAINING_KIND),
    )


def _wrong_version_failure(
    attempt: SearchAttempt, error: ErrorBody
) -> AttemptFailed:
    return AttemptFailed(
        attempt.attempt,
        ErrorKind.WRONG_VERSION,
        f"the searcher has index version {error.index_version}",
        not_run=False,
        newer_version=error.index_version,
    )


def _unusable_response_result(
    attempt: Attempt, response: Response, exchange: ExchangeResult
) -> AttemptResult:
    reason = f"unusable response with status {response.status}"
    return _unknown_outcome_result(attempt, reason, exchange)


def interpret_failed_exchange(
    attempt: Attempt, failed: FailedExchange
) -> AttemptResult:
    """Return the result of an attempt without a complete response."""
    match failed:
        case FailedExchange(sent=False, exchange=NotConnected() | Unproven()):
            kind, reason = ErrorKind.TARGET_FAILED, "no connection"
        case FailedExchange(sent=False):
            kind, reason = ErrorKind.DEADLINE_EXCEEDED, "no connection in time"
        case FailedExchange(exchange=Unproven() as exchange):
            return _unknown_outcome_result(
                attempt, "the response is not that of the attempt", exchange
            )
        case FailedExchange(exchange=exchange):
            return _unknown_outcome_result(
                attempt, "no complete response", exchange
            )
    outcome = AttemptFailed(attempt.attempt, kind, reason, not_run=True)
    return AttemptResult(outcome, failed.exchange)


def _unknown_outcome_result(
    attempt: Attempt, reason: str, exchange: ExchangeResult
) -> AttemptResult:
    match attempt, exchange:
        case SubmitAttempt(), _:
            kind = ErrorKind.OUTCOME_UNKNOWN
        case _, TimedOut():
            kind = ErrorKind.DEADLINE_EXCEEDED
        case _:
            kind = ErrorKind.TARGET_FAILED
    outcome = AttemptFailed(attempt.attempt, kind, reason, not_run=False)
    return AttemptResult(outcome, exchange)


def build_unsent_result(attempt: Attempt, failure: Failure) -> AttemptResult:
    """Return the result of an attempt that was not sent."""
    outcome = AttemptFailed(
        attempt.attempt, failure.kind, failure.reason, not_run=True
    )
    return AttemptResult(outcome, NotSent())
