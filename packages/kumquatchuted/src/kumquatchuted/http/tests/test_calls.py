"""Tests that calls to a task end at their deadline."""

import asyncio
from types import SimpleNamespace

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import Role
from kumquatchute_model.settings import ServiceSettings
from kumquatchuted.http.auth import Identity
from kumquatchuted.http.calls import AdmittedRequest
from kumquatchuted.http.calls import CallRoute
from kumquatchuted.http.calls import run_call
from kumquatchuted.mailbox import answer
from kumquatchuted.submission.messages import SubmissionCall

TIMEOUT_FAILURE = Failure(ErrorKind.OUTCOME_UNKNOWN, "late")
CALL = SubmissionCall("site", "quiz", "key", "payload", 50, received_at=10.0)


def run_at(now, post):
    context = SimpleNamespace(clock=lambda: now)
    route = CallRoute(post, TIMEOUT_FAILURE, "submission")
    return asyncio.run(run_call(context, route, CALL, CALL.deadline_ms))


def test_call_after_its_deadline_is_refused_and_reaches_no_task():
    """Guards against work for a caller that has stopped waiting.

    The deadline passed while the body of the request arrived.
    """
    received = []
    failure = run_at(10.05, received.append)
    assert (failure.kind, failure.not_run) == (
        ErrorKind.DEADLINE_EXCEEDED,
        True,
    )
    assert not received


def test_answer_shortly_after_the_deadline_is_still_returned():
    """Guards against losing an answer that the task gives at the deadline."""

    def post(message):
        asyncio.get_running_loop().call_later(0.1, answer, message, "done")

    assert run_at(10.0, post) == "done"


def test_wait_without_an_answer_ends_and_withdraws_the_request():
    """Guards against a caller that waits forever for a lost answer.

    The future is cancelled, so that the task can stop work on the request.
    """
    received = []
    assert run_at(10.0, received.append) is TIMEOUT_FAILURE
    assert received[0].fut.cancelled()


@pytest.mark.parametrize(
    ("requested_ms", "expected_ms"), [(None, 700), (0, 0), (5, 5)]
)
def test_default_deadline_replaces_only_a_missing_one(
    requested_ms, expected_ms
):
    """Guards against a default that hides an invalid deadline of 0 ms."""
    service = ServiceSettings("quiz", default_deadline_ms=700)
    admitted = AdmittedRequest(Identity("site", Role.BATCH), service, 0.0)
    assert admitted.deadline_ms(requested_ms) == expected_ms
