"""Callers that send requests and check the content of the answers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import itertools

import aiohttp
from yarl import URL

from kumquatchute_standins.platform.fleet.answers import build_records
from kumquatchute_standins.platform.fleet.answers import greatest_records
from kumquatchute_standins.platform.fleet.answers import is_stamp_of
from kumquatchute_standins.platform.fleet.answers import STAMP_HEADER
from kumquatchute_standins.platform.fleet.manifest import HOST
from kumquatchute_standins.platform.fleet.manifest import TOP_K

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
    """

    request_id: str
    status: int | None
    error: str | None
    coverage: float
    retry_after_s: float | None
    latency_s: float


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
        async with session.request(method, url, headers=headers) as response:
            body = await response.read()
    except (aiohttp.ClientError, OSError) as exc:
        error = f"no answer: {type(exc).__name__}"
        return CallResult(
            request_id, None, error, 0, None, loop.time() - started_at
        )
    error, coverage = None, 0.0
    if response.status == 200:
        check_answer = _check_parts if shards else _check_single
        error, coverage = check_answer(
            request_id, response.headers, body, shards
        )
    retry_after = response.headers.get("Retry-After")
    return CallResult(
        request_id,
        response.status,
        error,
        coverage,
        None if retry_after is None else float(retry_after),
        loop.time() - started_at,
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


def _check_single(
    request_id: str, headers: object, body: bytes, shards: tuple[str, ...]
) -> tuple[str | None, float]:
    stamp = headers.get(STAMP_HEADER, "")
    if not is_stamp_of(stamp, "single", request_id):
        return "the stamp belongs to another request", 1.0
    if body != build_records(stamp):
        return "the body differs from that of the searcher", 1.0
    return None, 1.0


def _check_parts(
    request_id: str, headers: object, body: bytes, shards: tuple[str, ...]
) -> tuple[str | None, float]:
    stamps = [stamp.strip() for stamp in headers["X-Part-Stamps"].split(",")]
    covered = {
        shard
        for shard in shards
        for stamp in stamps
        if is_stamp_of(stamp, shard, request_id)
    }
    if len(covered) != len(stamps):
        return "a stamp belongs to another request or appears twice", 0.0
    missing = int(headers.get("X-Missing-Parts", "0"))
    coverage = len(stamps) / len(shards)
    if len(stamps) + missing != len(shards):
        return "parts and missing parts do not add up to all shards", coverage
    bodies = [build_records(stamp) for stamp in stamps]
    if body != greatest_records(bodies, TOP_K):
        return (
            "the body does not hold the highest records of its parts",
            coverage,
        )
    return None, coverage
