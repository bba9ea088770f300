"""Compares the results of callers with the answers that searchers sent."""

from collections.abc import Iterable
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from kumquatchute_standins.platform.fleet.answers import AnswerLedger
from kumquatchute_standins.platform.fleet.answers import greatest_records
from kumquatchute_standins.platform.fleet.answers import ID_HEADER
from kumquatchute_standins.platform.fleet.answers import SentAnswer
from kumquatchute_standins.platform.fleet.answers import STAMP_HEADER
from kumquatchute_standins.platform.fleet.client import Response
from kumquatchute_standins.platform.fleet.connection_callers import CallRecord
from kumquatchute_standins.platform.fleet.connection_callers import DEADLINE_MS
from kumquatchute_standins.platform.fleet.connection_callers import QUERY_PATH
from kumquatchute_standins.platform.fleet.manifest import TOP_K

# Statuses which promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A response this much later than the searcher's answer, and this close to the
# time limit, was waited for in vain.
LATE_S = 0.4
LIMIT_S = 0.9 * DEADLINE_MS / 1000


class Wrong(Enum):
    """What is wrong with a response."""

    OTHER_ID = "names another request"
    NO_DIGEST = "success without exactly one digest"
    OTHER_DIGEST = "digest of no answer to this request"
    NOT_GOOD = "digest of an answer that is not good"
    STATUS = "status of another answer than the digest"
    BODY = "body of another answer than the digest"
    REPEATED_PART = "two parts of one shard"
    COVERAGE = "parts and missing parts are not all shards"
    RECORDS = "not the greatest records of its parts"
    REFUSED_RAN = "refused and has run"
    RAN_TWICE = "ran twice"


@dataclass(frozen=True, slots=True)
class Violation:
    """A response that breaks a promise.

    :param detail: what the response states, and what was sent
    """

    wrong: Wrong
    request_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Time between a searcher's answer and the response, in seconds.

    :param status: of the response, None without one
    :param latency_s: time since the request was sent, in seconds
    """

    request_id: str
    wait_s: float
    status: int | None
    latency_s: float


def check_record(
    record: CallRecord, ledger: AnswerLedger, shards: tuple[str, ...]
) -> Violation | None:
    """Compare a response with the answers that were sent to its request.

    :param shards: services that a query covers
    """
    call = record.call
    covered = shards if call.path == QUERY_PATH else ()
    return check_response(record.response, call.request_id, ledger, covered)


def check_response(
    response: Response | None,
    request_id: str,
    ledger: AnswerLedger,
    shards: tuple[str, ...],
) -> Violation | None:
    """Compare a response with the answers that were sent to its request.

    :param response: None is never wrong
    :param shards: services that a query covers; empty for a request that
        one searcher answers
    """
    if response is None:
        return None
    sent = ledger.answers_to(request_id)
    wrong = find_wrong(response, request_id, sent, shards)
    if wrong is None:
        return None
    return Violation(wrong, request_id, describe(response, sent))


def find_wrong(
    response: Response,
    request_id: str,
    sent: tuple[SentAnswer, ...],
    shards: tuple[str, ...],
) -> Wrong | None:
    """Return what is wrong with a response.

    :param sent: answers that were sent to the request
    :param shards: services that a query covers; empty for a request that
        one searcher answers
    """
    echoed = response.values(ID_HEADER.lower())
    if any(value != request_id for value in echoed):
        return Wrong.OTHER_ID
    if not 200 <= response.status < 300:
        return _check_failure(response, sent)
    if shards:
        return _check_parts(response, sent, shards)
    return _check_single(response, sent)


def check_runs(
    records: Iterable[CallRecord], run_counts: Counter[str]
) -> list[Violation]:
    """Report requests that may run only once and ran against a promise.

    :param run_counts: how often each request id has run, over all searchers
    """
    return check_run_counts(
        (
            (record.call.request_id, record.status)
            for record in records
            if not record.call.may_repeat
        ),
        run_counts,
    )


def check_run_counts(
    outcomes: Iterable[tuple[str, int | None]], run_counts: Counter[str]
) -> list[Violation]:
    """Report requests that ran twice, or contrary to their status.

    :param outcomes: id and status of requests that may run only once; the
        status is None without a response
    :param run_counts: how often each request id has run, over all searchers
    """
    violations = []
    for request_id, status in outcomes:
        runs = run_counts[request_id]
        detail = f"status {status}, runs {runs}"
        if runs > 1:
            violations.append(Violation(Wrong.RAN_TWICE, request_id, detail))
        if runs and status in NOT_RUN_STATUSES:
            violations.append(Violation(Wrong.REFUSED_RAN, request_id, detail))
    return violations


def find_waits(
    records: Iterable[CallRecord], ledger: AnswerLedger
) -> list[Wait]:
    """Return waits for the time limit after a searcher's answer.

    Only requests that may run once count, which no other attempt can serve.
    Requests of one batch are answered in turn, so that pipelining adds waits.
    """
    waits = []
    for record in records:
        sent = ledger.answers_to(record.call.request_id)
        if record.call.may_repeat or not sent:
            continue
        wait_s = record.ended_at - sent[0].sent_at
        latency_s = record.ended_at - record.sent_at
        if wait_s > LATE_S and latency_s > LIMIT_S:
            response = record.response
            status = None if response is None else response.status
            waits.append(
                Wait(record.call.request_id, wait_s, status, latency_s)
            )
    return waits


def describe(response: Response, sent: tuple[SentAnswer, ...]) -> str:
    """Return what a response states and what the searchers sent."""
    digests = response.values(STAMP_HEADER.lower())
    digests += response.values("x-part-stamps")
    answers = [
        f"{answer.status} {answer.digest} good={answer.is_good}"
        for answer in sent
    ]
    return (
        f"status {response.status}, digests {digests},"
        f" {len(response.body)} bytes {response.body[:48]!r}; sent: {answers}"
    )


def _check_failure(
    response: Response, sent: tuple[SentAnswer, ...]
) -> Wrong | None:
    digests = response.values(STAMP_HEADER.lower())
    if not digests:
        return None
    answers = [answer for answer in sent if answer.digest in digests]
    if not answers:
        return Wrong.OTHER_DIGEST
    if any(answer.status != response.status for answer in answers):
        return Wrong.STATUS
    return None


def _check_single(
    response: Response, sent: tuple[SentAnswer, ...]
) -> Wrong | None:
    digests = response.values(STAMP_HEADER.lower())
    if len(digests) != 1:
        return Wrong.NO_DIGEST
    answers = [answer for answer in sent if answer.digest == digests[0]]
    match answers:
        case []:
            return Wrong.OTHER_DIGEST
        case [SentAnswer(is_good=False)]:
            return Wrong.NOT_GOOD
        case [SentAnswer(status=status)] if status != response.status:
            return Wrong.STATUS
        case [SentAnswer(body=body)] if body != response.body:
            return Wrong.BODY
    return None


def _check_parts(
    response: Response,
    sent: tuple[SentAnswer, ...],
    shards: tuple[str, ...],
) -> Wrong | None:
    digests = response.values("x-part-stamps")
    if not digests:
        return Wrong.NO_DIGEST
    by_digest = {answer.digest: answer for answer in sent}
    if any(digest not in by_digest for digest in digests):
        return Wrong.OTHER_DIGEST
    parts = [by_digest[digest] for digest in digests]
    if not all(part.is_good for part in parts):
        return Wrong.NOT_GOOD
    if len({part.service for part in parts} & set(shards)) != len(parts):
        return Wrong.REPEATED_PART
    missing = sum(map(int, response.values("x-missing-parts")))
    if len(parts) + missing != len(shards):
        return Wrong.COVERAGE
    bodies = [part.body for part in parts]
    if response.body != greatest_records(bodies, TOP_K):
        return Wrong.RECORDS
    return None
