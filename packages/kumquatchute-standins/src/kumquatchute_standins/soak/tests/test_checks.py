"""Tests of the checks of a soak run."""

from kumquatchute_standins.platform.fleet.answers import AnswerLedger
from kumquatchute_standins.platform.fleet.answers import expect_answer
from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.client import Call
from kumquatchute_standins.platform.fleet.client import Response
from kumquatchute_standins.platform.fleet.connection_callers import CallRecord
from kumquatchute_standins.platform.fleet.connection_callers import FETCH_PATH
from kumquatchute_standins.platform.fleet.connection_callers import SUBMIT_PATH
from kumquatchute_standins.platform.fleet.run import RunRecord
from kumquatchute_standins.platform.fleet.searcher import Arrival
from kumquatchute_standins.soak.checks import check_abandoned
from kumquatchute_standins.soak.checks import check_at_most_once
from kumquatchute_standins.soak.checks import check_calls
from kumquatchute_standins.soak.checks import check_sent

ANSWER = expect_answer("single.q1.i-1.1", "single", "q1")
RESPONSE = Response(200, (("x-server-stamp", ANSWER.digest),), ANSWER.body)


def call(path: str, response: Response) -> CallRecord:
    """Return the record of the request q1 of a caller."""
    may_repeat = path != SUBMIT_PATH
    return CallRecord(Call("q1", path, may_repeat), response, 0.0, 0.1)


def arrival(request_id: str) -> Arrival:
    """Return the arrival of a submission."""
    return Arrival("i-1", "single", request_id, SUBMIT_PATH, 0.0)


def test_answers_that_were_not_sent_are_reported() -> None:
    """Guards against a digest that looks right but that nobody sent."""
    result = CallResult("q1", 200, None, 1.0, None, 0.1, RESPONSE)
    calls = [call(FETCH_PATH, RESPONSE)]
    empty, ledger = AnswerLedger(), AnswerLedger()
    ledger.add(ANSWER)
    assert not check_sent([result], ledger, ())
    assert not check_calls(calls, ledger, ())
    assert len(check_sent([result], empty, ())) == 1
    assert len(check_calls(calls, empty, ())) == 1


def test_runs_of_submissions_on_kept_connections_are_counted() -> None:
    """Guards against a soak that checks only one kind of its callers."""
    record = RunRecord(
        started=0.0,
        ended=1.0,
        queries=(),
        submissions=(CallResult("q2", 503, None, 0.0, None, 0.1),),
        arrivals=(),
        absences=(),
        cold_peaks=(),
        last_disturbed_at=0.0,
        shutdown_failures=(),
        calls=(call(SUBMIT_PATH, RESPONSE),),
    )
    assert not check_at_most_once(record, [arrival("q1")])
    assert len(check_at_most_once(record, [arrival("q1")] * 2)) == 1
    assert len(check_at_most_once(record, [arrival("q2")])) == 1


def test_requests_that_clients_abandoned_must_not_run() -> None:
    """Guards against half a body that runs and that no check sees."""
    assert not check_abandoned(["q1"], [arrival("q2")])
    assert len(check_abandoned(["q1"], [arrival("q1")])) == 1
