"""What an HTTP response of a searcher, or its absence, means."""

from dataclasses import dataclass
from typing import Any

import msgspec

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.target_http.wire import CancelDone
from kumquatchuted.target_http.wire import DRAINING
from kumquatchuted.target_http.wire import Problem
from kumquatchuted.target_http.wire import SearchDone
from kumquatchuted.target_http.wire import SHED
from kumquatchuted.target_http.wire import SubmitDone
from kumquatchuted.targets.client import AttemptResult
from kumquatchuted.targets.client import Cancelled
from kumquatchuted.targets.client import Completed
from kumquatchuted.targets.client import ExchangeResult
from kumquatchuted.targets.client import NotConnected
from kumquatchuted.targets.client import NotSent
from kumquatchuted.targets.client import Rejected
from kumquatchuted.targets.client import TimedOut
from kumquatchuted.targets.messages import Attempt
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.targets.messages import SubmitAttempt
from kumquatchuted.targets.messages import SubmitResult


@dataclass(frozen=True)
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes


@dataclass(frozen=True)
class Broken:
    """No complete response.

    :param sent: False if certainly no byte of the request was sent
    :param contact: what it says about the searcher
    :param failure: why the request was not sent, if it was not admitted
    """

    sent: bool
    contact: ExchangeResult
    failure: Failure | None = None


def decode(response: Response, kind: type) -> Any | None:
    """Return the document in a response, or None if it is none of a kind."""
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError:
        return None


def cancelled(response: Response) -> Cancelled | None:
    """Return what status 200 of a cancellation means."""
    done = decode(response, CancelDone)
    return None if done is None else Cancelled(done.incarnation)


def answered(attempt: Attempt, response: Response) -> AttemptResult:
    """Return what a complete response to an attempt means."""
    match attempt, response.status:
        case SearchAttempt(), 200:
            return _searched(attempt, response)
        case SubmitAttempt(), 200:
            return _submitted(attempt, response)
    problem = decode(response, Problem) or Problem()
    contact = Rejected(
        problem.incarnation,
        problem.cold,
        response.status == 503 and problem.kind == DRAINING,
    )
    match attempt, response.status:
        case _, 503:
            return AttemptResult(_shed(attempt, problem), contact)
        case SearchAttempt(), 409:
            return AttemptResult(_other_version(attempt, problem), contact)
        case SubmitAttempt(), 400 | 422:
            # An answer about the payload, which a repeat would get as well.
            result = SubmitResult(
                attempt.attempt, response.status, problem.reason
            )
            return AttemptResult(result, contact)
    return _bad_answer(attempt, response, contact)


def _searched(attempt: SearchAttempt, response: Response) -> AttemptResult:
    done = decode(response, SearchDone)
    if done is None:
        return _bad_answer(attempt, response, Rejected())
    outcome = SearchResult(
        attempt.attempt,
        attempt.searcher,
        done.index_version,
        done.map_version,
        done.docs,
        done.hits,
    )
    return AttemptResult(outcome, Completed(done.incarnation, done.cold))


def _submitted(attempt: SubmitAttempt, response: Response) -> AttemptResult:
    done = decode(response, SubmitDone)
    if done is None:
        return _bad_answer(attempt, response, Rejected())
    outcome = SubmitResult(attempt.attempt, response.status, done.result)
    return AttemptResult(outcome, Completed(done.incarnation, done.cold))


def _shed(attempt: Attempt, problem: Problem) -> AttemptFailed:
    return AttemptFailed(
        attempt.attempt,
        ErrorKind.TARGET_SHED,
        problem.reason or "the searcher sheds load",
        not_run=problem.kind in (SHED, DRAINING),
    )


def _other_version(attempt: SearchAttempt, problem: Problem) -> AttemptFailed:
    return AttemptFailed(
        attempt.attempt,
        ErrorKind.WRONG_VERSION,
        f"the searcher has index version {problem.index_version}",
        not_run=False,
        newer_version=problem.index_version,
    )


def _bad_answer(
    attempt: Attempt, response: Response, contact: ExchangeResult
) -> AttemptResult:
    reason = f"unusable answer with status {response.status}"
    return _unknown(attempt, reason, contact)


def broken_off(attempt: Attempt, broken: Broken) -> AttemptResult:
    """Return what the lack of a complete response means."""
    match broken:
        case Broken(sent=False, contact=NotConnected()):
            kind, reason = ErrorKind.TARGET_FAILED, "no connection"
        case Broken(sent=False):
            kind, reason = ErrorKind.DEADLINE_EXCEEDED, "no connection in time"
        case Broken(contact=contact):
            return _unknown(attempt, "no complete answer", contact)
    outcome = AttemptFailed(attempt.attempt, kind, reason, not_run=True)
    return AttemptResult(outcome, broken.contact)


def _unknown(
    attempt: Attempt, reason: str, contact: ExchangeResult
) -> AttemptResult:
    match attempt, contact:
        case SubmitAttempt(), _:
            kind = ErrorKind.OUTCOME_UNKNOWN
        case _, TimedOut():
            kind = ErrorKind.DEADLINE_EXCEEDED
        case _:
            kind = ErrorKind.TARGET_FAILED
    outcome = AttemptFailed(attempt.attempt, kind, reason, not_run=False)
    return AttemptResult(outcome, contact)


def not_sent(attempt: Attempt, failure: Failure) -> AttemptResult:
    """Return the reply for an attempt that was given up before it was sent."""
    outcome = AttemptFailed(
        attempt.attempt, failure.kind, failure.reason, not_run=True
    )
    return AttemptResult(outcome, NotSent())
