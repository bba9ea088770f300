"""Tests of the comparison of callers' results with searchers' answers."""

from collections import Counter
from dataclasses import replace

import pytest

from kumquatchute_standins.platform.fleet.answer_checks import check_record
from kumquatchute_standins.platform.fleet.answer_checks import check_runs
from kumquatchute_standins.platform.fleet.answer_checks import find_waits
from kumquatchute_standins.platform.fleet.answer_checks import Wait
from kumquatchute_standins.platform.fleet.answer_checks import Wrong
from kumquatchute_standins.platform.fleet.answers import AnswerLedger
from kumquatchute_standins.platform.fleet.answers import build_records
from kumquatchute_standins.platform.fleet.answers import greatest_records
from kumquatchute_standins.platform.fleet.answers import SentAnswer
from kumquatchute_standins.platform.fleet.client import Call
from kumquatchute_standins.platform.fleet.client import Response
from kumquatchute_standins.platform.fleet.connection_callers import CallRecord
from kumquatchute_standins.platform.fleet.connection_callers import FETCH_PATH
from kumquatchute_standins.platform.fleet.connection_callers import QUERY_PATH
from kumquatchute_standins.platform.fleet.connection_callers import SUBMIT_PATH
from kumquatchute_standins.platform.fleet.manifest import TOP_K

SHARDS = ("sh00", "sh01", "sh02")


def sent(
    service: str, status: int = 200, is_good: bool = True, number: int = 1
) -> SentAnswer:
    """Return an answer to the request q1."""
    digest = f"{service}.q1.i-1.{number}"
    body = build_records(digest)
    return SentAnswer(
        "i-1", service, "q1", status, digest, body, is_good, True, 0.0
    )


def relay(
    path: str, status: int, headers: dict[str, str], body: bytes
) -> CallRecord:
    """Return the record of a request that got a response."""
    response = Response(status, tuple(headers.items()), body)
    call = Call("q1", path, may_repeat=path != SUBMIT_PATH)
    return CallRecord(call, response, 0.0, 0.01)


def check(record: CallRecord, *answers: SentAnswer) -> Wrong | None:
    """Return what is wrong with a response to the request q1."""
    ledger = AnswerLedger()
    for answer in answers:
        ledger.add(answer)
    violation = check_record(record, ledger, SHARDS)
    return violation.wrong if violation else None


def fetched(answer: SentAnswer, status: int = 200) -> CallRecord:
    """Return the record of a fetch that got an answer."""
    headers = {"x-server-stamp": answer.digest, "x-request-id": "q1"}
    return relay(FETCH_PATH, status, headers, answer.body)


def queried(*parts: SentAnswer, missing: int = 0) -> CallRecord:
    """Return the record of a query that got some parts."""
    headers = {
        "x-part-stamps": ", ".join(part.digest for part in parts),
        "x-missing-parts": str(missing),
    }
    body = greatest_records([part.body for part in parts], TOP_K)
    return relay(QUERY_PATH, 200, headers, body)


GOOD = sent("single")
FAILED = sent("single", 500, is_good=False, number=2)
PARTS = tuple(sent(shard) for shard in SHARDS)


def change(record: CallRecord, **changes: object) -> CallRecord:
    """Return the record of a request that got another response."""
    return replace(record, response=replace(record.response, **changes))


@pytest.mark.parametrize(
    ("record", "answers", "wrong"),
    [
        (fetched(GOOD), (GOOD,), None),
        (fetched(FAILED, 500), (FAILED,), None),
        (relay(FETCH_PATH, 502, {}, b""), (FAILED,), None),
        (fetched(GOOD), (), Wrong.OTHER_DIGEST),
        (change(fetched(GOOD), headers=()), (GOOD,), Wrong.NO_DIGEST),
        (change(fetched(GOOD), body=b"x"), (GOOD,), Wrong.BODY),
        (change(fetched(GOOD), status=201), (GOOD,), Wrong.STATUS),
        (fetched(FAILED), (GOOD, FAILED), Wrong.NOT_GOOD),
        (fetched(GOOD, 500), (GOOD, FAILED), Wrong.STATUS),
        (fetched(FAILED, 502), (FAILED,), Wrong.STATUS),
        (
            change(fetched(GOOD), headers=(("x-request-id", "q2"),)),
            (GOOD,),
            Wrong.OTHER_ID,
        ),
        (queried(*PARTS), PARTS, None),
        (queried(*PARTS[:2], missing=1), PARTS, None),
        (queried(*PARTS[:2]), PARTS, Wrong.COVERAGE),
        (queried(*PARTS[:2], PARTS[0]), PARTS, Wrong.REPEATED_PART),
        (queried(*PARTS), PARTS[:2], Wrong.OTHER_DIGEST),
        (change(queried(*PARTS), body=b""), PARTS, Wrong.RECORDS),
        (change(queried(*PARTS), headers=()), PARTS, Wrong.NO_DIGEST),
        (
            queried(*PARTS),
            (*PARTS[:2], replace(PARTS[2], is_good=False)),
            Wrong.NOT_GOOD,
        ),
    ],
)
def test_response_is_compared_with_what_was_sent(
    record: CallRecord, answers: tuple[SentAnswer, ...], wrong: Wrong | None
) -> None:
    """Guards against a case that passes a wrong response, or fails a right."""
    assert check(record, *answers) is wrong


def test_runs_of_a_request_that_may_run_once_are_counted() -> None:
    """Guards against a case that misses a refusal of work that has run."""
    refused = relay(SUBMIT_PATH, 503, {}, b"")
    failed = relay(SUBMIT_PATH, 502, {}, b"")
    found = check_runs([refused, failed], Counter(q1=1))
    assert [item.wrong for item in found] == [Wrong.REFUSED_RAN]
    found = check_runs([failed], Counter(q1=2))
    assert [item.wrong for item in found] == [Wrong.RAN_TWICE]
    assert not check_runs([refused], Counter())


def test_wait_for_the_time_limit_after_an_answer_is_found() -> None:
    """Guards against a request that waits although its answer was sent."""
    ledger = AnswerLedger()
    ledger.add(GOOD)
    record = relay(SUBMIT_PATH, 504, {}, b"")
    assert find_waits([replace(record, ended_at=2.0)], ledger) == [
        Wait("q1", 2.0, 504, 2.0)
    ]
    assert not find_waits([record], ledger)
