"""Callers that send requests and check the content of the answers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import itertools

import aiohttp
from yarl import URL

from kumquatchute_standins.platform.fleet.answer_checks import find_wrong
from kumquatchute_standins.platform.fleet.answers import expect_answer
from kumquatchute_standins.platform.fleet.answers import STAMP_HEADER
from kumquatchute_standins.platform.fleet.client import Response
from kumquatchute_standins.platform.fleet.manifest import HOST

DEADLINE_MS = 2000
_request_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a request.

    :param status: HTTP status; None if the connection ended without an answer
    :param error: what is wrong with the answer; None if it is correct
    :param coverage: fraction of the shards that the answer covers, 0 for any
        other status than 200
    :param retry_after_s: value of ``Retry-After`` in seconds, None without it
    :param latency_s: time from request to answer in seconds
    :param response: the answer, None without one
    """

    request_id: str
    status: int | None
    error: str | None
    coverage: float
    retry_after_s: float | None
    latency_s: float
    response: Response | None = None


async def send_request(
    session: aiohttp.ClientSession,
    port: int,
    path: str,
    shards: tuple[str, ...],
    method: str = "GET",
) -> CallResult:
    """Send a request and check its answer.

    :param shards: services that a query covers; empty for a request that
        one searcher answers
    """
    request_id = f"q{next(_request_numbers)}"
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
    }
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    # Otherwise aiohttp would normalize percent-encoded characters.
    url = URL(f"http://127.0.0.1:{port}{path}", encoded=True)
    try:
        async with session.request(method, url, headers=headers) as received:
            body = await received.read()
    except (aiohttp.ClientError, OSError) as exc:
        error = f"no answer: {type(exc).__name__}"
        return CallResult(
            request_id, None, error, 0, None, loop.time() - started_at
        )
    fields = tuple((k.lower(), v) for k, v in received.headers.items())
    response = Response(received.status, fields, body)
    error, coverage = None, 0.0
    if response.status == 200:
        error, coverage = _check_answer(request_id, response, shards)
    retry_after = received.headers.get("Retry-After")
    return CallResult(
        request_id,
        response.status,
        error,
        coverage,
        None if retry_after is None else float(retry_after),
        loop.time() - started_at,
        response,
    )


async def send_at_rate(
    send: Callable[[], object], per_s: float, duration_s: float
) -> list[CallResult]:
    """Send requests at a steady rate, without waiting for answers.

    :param send: called for each request; returns an awaitable ``CallResult``
    :param per_s: requests per second
    :param duration_s: seconds in which requests are sent
    :returns: results in the order in which the requests were sent
    """
    loop = asyncio.get_running_loop()
    started_at, pending = loop.time(), []
    for number in range(int(per_s * duration_s)):
        await asyncio.sleep(
            max(0.0, started_at + number / per_s - loop.time())
        )
        pending.append(asyncio.ensure_future(send()))
    return list(await asyncio.gather(*pending))


def _check_answer(
    request_id: str, response: Response, shards: tuple[str, ...]
) -> tuple[str | None, float]:
    """Compare a success with the good answers that its digests name.

    :returns: what is wrong with it, and the fraction of the shards in it
    """
    part_stamps = response.values("x-part-stamps")
    stamps = part_stamps or response.values(STAMP_HEADER.lower())
    expected = (
        expect_answer(stamp, service, request_id)
        for service in shards or ("single",)
        for stamp in stamps
    )
    sent = tuple(answer for answer in expected if answer is not None)
    wrong = find_wrong(response, request_id, sent, shards)
    coverage = len(part_stamps) / len(shards) if shards else 1.0
    return (None if wrong is None else wrong.value), coverage
