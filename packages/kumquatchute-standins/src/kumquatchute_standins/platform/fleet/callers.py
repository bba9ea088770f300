"""Callers: send requests and judge the answers by what they hold."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import itertools

import aiohttp
from yarl import URL

from kumquatchute_standins.platform.fleet.searcher import records
from kumquatchute_standins.platform.fleet.searcher import stamp
from kumquatchute_standins.platform.fleet.site import HOST
from kumquatchute_standins.platform.fleet.site import TOP

TIME_LIMIT_MS = 2000
RECORD_BYTES = 16
_ids = itertools.count(1)


@dataclass(frozen=True, slots=True)
class CallResult:
    """What a caller got.

    :param status: HTTP status; None if the connection ended without an answer
    :param error: what is wrong with the answer; None if nothing is
    :param coverage: share of the shards that it covers
    :param retry_after_s: when to come back, None if not stated
    """

    request_id: str
    status: int | None
    error: str | None
    coverage: float
    retry_after_s: float | None
    latency_s: float


async def call(
    session: aiohttp.ClientSession,
    port: int,
    path: str,
    shards: tuple[str, ...],
    method: str = "GET",
) -> CallResult:
    """Send a request and check its answer.

    :param shards: services whose parts a query may hold; empty for a request
        of one searcher
    """
    request_id = f"q{next(_ids)}"
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(TIME_LIMIT_MS),
    }
    loop = asyncio.get_running_loop()
    started = loop.time()
    # Otherwise the client would change percent-encoded characters.
    url = URL(f"http://127.0.0.1:{port}{path}", encoded=True)
    try:
        async with session.request(method, url, headers=headers) as response:
            body = await response.read()
    except (aiohttp.ClientError, OSError) as exc:
        fault = f"no answer: {type(exc).__name__}"
        return CallResult(
            request_id, None, fault, 0, None, loop.time() - started
        )
    fault, covered = None, 0.0
    if response.status == 200:
        check = _check_parts if shards else _check_single
        fault, covered = check(request_id, response.headers, body, shards)
    retry_after = response.headers.get("Retry-After")
    return CallResult(
        request_id,
        response.status,
        fault,
        covered,
        None if retry_after is None else float(retry_after),
        loop.time() - started,
    )


async def steady(
    send: Callable[[], object], per_s: float, seconds: float
) -> list[CallResult]:
    """Send requests at a steady rate and return what came of them."""
    loop = asyncio.get_running_loop()
    start, calls = loop.time(), []
    for number in range(int(per_s * seconds)):
        await asyncio.sleep(max(0.0, start + number / per_s - loop.time()))
        calls.append(asyncio.ensure_future(send()))
    return list(await asyncio.gather(*calls))


def _check_single(
    request_id: str, headers: object, body: bytes, shards: tuple[str, ...]
) -> tuple[str | None, float]:
    if headers.get("X-Server-Stamp") != stamp("single", request_id):
        return "the digest is of another request", 1.0
    if body != records("single", request_id):
        return "the body is not the searcher's", 1.0
    return None, 1.0


def _check_parts(
    request_id: str, headers: object, body: bytes, shards: tuple[str, ...]
) -> tuple[str | None, float]:
    stamps = [item.strip() for item in headers["X-Part-Stamps"].split(",")]
    known = {stamp(shard, request_id): shard for shard in shards}
    if len(set(stamps)) != len(stamps) or set(stamps) - set(known):
        return "a digest is of another request or appears twice", 0.0
    missing = int(headers.get("X-Missing-Parts", "0"))
    covered = len(stamps) / len(shards)
    if len(stamps) + missing != len(shards):
        return "parts and missing parts are not all shards", covered
    found = []
    for item in stamps:
        data = records(known[item], request_id)
        found += [
            data[at : at + RECORD_BYTES]
            for at in range(0, len(data), RECORD_BYTES)
        ]
    if body != b"".join(sorted(found, reverse=True)[:TOP]):
        return "the body is not the greatest records of its parts", covered
    return None, covered
