"""HTTP/1.1 client for the platform's object store."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from kumquatchuted.memory.byte_budget import ByteBudget
from kumquatchuted.memory.byte_budget import ReadStop
from kumquatchuted.platform.outcomes import FailedCall
from kumquatchuted.platform.outcomes import NoResponse
from kumquatchuted.platform.outcomes import NotSent
from kumquatchuted.platform.sockets import create_keep_alive_socket
from kumquatchuted.timeouts import wait_until_done

# A page of a listing is about 1 MB; the margin covers a store with larger
# pages.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# aiohttp rounds timeouts above this threshold up to whole seconds; no timeout
# here reaches it.
CEIL_THRESHOLD_S = 1e9

# A closed session raises RuntimeError. TimeoutError is an OSError.
CALL_ERRORS = (aiohttp.ClientError, OSError, RuntimeError)


@dataclass(frozen=True)
class Request:
    """An HTTP request.

    :param timeout_s: timeout of the whole call, in seconds
    :param connect_timeout_s: timeout of connecting, in seconds
    """

    method: str
    url: str
    timeout_s: float
    connect_timeout_s: float
    query: Mapping[str, str]
    body: bytes | None = None


@dataclass(frozen=True)
class Response:
    """A complete response with any status."""

    status: int
    body: bytes


class ConnectionLostError(aiohttp.ClientError):
    """The connection was lost; aiohttp does not retry on this class."""


class Transport:
    """Owns the connections to the store; returns failed calls, never raises.

    Each call uses a new connection. An idle connection may have stopped
    delivering without an error: a write lost on it would have an unknown
    outcome, and a read would use up the seconds within which a change must
    take effect.
    """

    def __init__(self, budget: ByteBudget | None = None) -> None:
        """Create a transport; the session is opened on first use.

        :param budget: limits the responses that are kept, by default to
            ``MAX_RESPONSE_BYTES`` together
        """
        self._budget = budget or ByteBudget(MAX_RESPONSE_BYTES)
        self._session: aiohttp.ClientSession | None = None

    async def call(self, req: Request) -> Response | FailedCall:
        """Send a request and read the whole response.

        A response to a read that is complete only after the timeout is not
        used: the process was suspended, and what was read is as old as that.
        The read is repeated once, because its source responds. The response to
        a write says what happened to it, however old it is.
        """
        result = await self._call_once(req)
        if result is None:
            result = await self._call_once(req)
        return result or NoResponse("no answer from the store in time")

    async def _call_once(self, req: Request) -> Response | FailedCall | None:
        """Send a request.

        :returns: None if the response to a read is complete only after the
            timeout
        """
        clock = asyncio.get_running_loop().time
        deadline = clock() + req.timeout_s
        exchange = asyncio.ensure_future(self._call(req))
        try:
            if not await wait_until_done(exchange, req.timeout_s):
                return NoResponse("no answer from the store in time")
            result = exchange.result()
        finally:
            exchange.cancel()
        if req.method == "GET" and clock() > deadline:
            return None if isinstance(result, Response) else result
        return result

    async def _call(self, req: Request) -> Response | FailedCall:
        headers = {"Accept": "application/json"}
        if req.body is not None:
            headers["Content-Type"] = "application/json"
        try:
            async with self._get_session().request(
                req.method,
                req.url,
                params=req.query,
                data=req.body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=None,
                    connect=req.connect_timeout_s,
                    ceil_threshold=CEIL_THRESHOLD_S,
                ),
                allow_redirects=False,
                middlewares=() if req.method == "GET" else (_prevent_retry,),
            ) as resp:
                with self._budget.reserve() as reservation:
                    body = await reservation.read(
                        resp.content.iter_any(), MAX_RESPONSE_BYTES
                    )
                if isinstance(body, ReadStop):
                    return NoResponse(body.value)
                return Response(resp.status, body)
        except CALL_ERRORS as exc:
            return _to_failed_call(exc)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    force_close=True,
                    socket_factory=create_keep_alive_socket,
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
            )
        return self._session


async def _prevent_retry(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from retrying a PUT or DELETE.

    The retry would find the effect of the first request and report a
    conflict.
    """
    try:
        return await handler(req)
    except (aiohttp.ClientConnectorError, aiohttp.ServerTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionLostError(type(exc).__name__) from exc


def _to_failed_call(exc: Exception) -> FailedCall:
    match exc:
        case aiohttp.ClientConnectorError():
            return NotSent("the store refused the connection")
        case aiohttp.ConnectionTimeoutError():
            return NotSent("no connection to the store in time")
        case aiohttp.InvalidURL():
            return NotSent("the store's address is invalid")
        case TimeoutError():
            return NoResponse("no answer from the store in time")
        case _:
            name = type(exc).__name__
            return NoResponse(f"connection to the store failed: {name}")
