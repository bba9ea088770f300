"""HTTP client for one searcher, with its own connection pool."""

import asyncio
from itertools import count
import socket
from typing import Any

import aiohttp
from aiohttp import AddrInfoType
from aiohttp.client_middlewares import ClientHandlerType
from logbook import Logger
import msgspec

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Searcher
from kumquatchuted.target_http.body import admit_always
from kumquatchuted.target_http.body import AdmittedBody
from kumquatchuted.target_http.body import new_connection_trace
from kumquatchuted.target_http.owned_response import OwnedResponse
from kumquatchuted.target_http.responses import build_unsent_result
from kumquatchuted.target_http.responses import decode
from kumquatchuted.target_http.responses import FailedExchange
from kumquatchuted.target_http.responses import interpret_cancellation
from kumquatchuted.target_http.responses import interpret_failed_exchange
from kumquatchuted.target_http.responses import interpret_response
from kumquatchuted.target_http.responses import owner_of
from kumquatchuted.target_http.responses import Response
from kumquatchuted.target_http.wire import CancelRequestBody
from kumquatchuted.target_http.wire import HealthBody
from kumquatchuted.target_http.wire import LoadBody
from kumquatchuted.target_http.wire import MAX_REQUEST_BYTES
from kumquatchuted.target_http.wire import MAX_RESPONSE_BYTES
from kumquatchuted.target_http.wire import SearchRequestBody
from kumquatchuted.target_http.wire import SubmitRequestBody
from kumquatchuted.targets.client import Admit
from kumquatchuted.targets.client import AttemptResult
from kumquatchuted.targets.client import Cancelled
from kumquatchuted.targets.client import Disconnected
from kumquatchuted.targets.client import NotConnected
from kumquatchuted.targets.client import NotSent
from kumquatchuted.targets.client import Rejected
from kumquatchuted.targets.client import Report
from kumquatchuted.targets.client import TimedOut
from kumquatchuted.targets.client import Unproven
from kumquatchuted.targets.messages import Attempt
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SubmitAttempt

log = Logger("targets")

CONNECTION_ERRORS = (aiohttp.ClientError, OSError, RuntimeError)

# Idle connections stay open, because a new one costs a searcher up to 6 ms.
KEEPALIVE_S = 60.0
# aiohttp rounds timeouts above this threshold up to whole seconds, so it is
# higher than any timeout.
CEIL_THRESHOLD_S = 1e9
# File descriptor number of a closed socket.
CLOSED_FD = -1


class ConnectionLostError(aiohttp.ClientError):
    """The connection failed; aiohttp does not retry after this error."""


class ResponseTooLongError(aiohttp.ClientError):
    """The response body is longer than ``MAX_RESPONSE_BYTES``."""


class UnprovenResponseError(aiohttp.ClientError):
    """The response names no request or another one."""


class HttpTargetClient:
    """Implements ``TargetClient`` with aiohttp."""

    def __init__(self, searcher: Searcher) -> None:
        """Create the client; connections are opened on demand.

        :param searcher: its address and connection limit are used
        """
        self._searcher = searcher.name
        self._report_numbers = count(1)
        self._sockets: tuple[socket.socket, ...] = ()
        self._verified_sockets: tuple[socket.socket, ...] = ()
        connector = aiohttp.TCPConnector(
            socket_factory=self._open_socket,
            limit=pool_size(searcher),
            keepalive_timeout=KEEPALIVE_S,
            use_dns_cache=False,
        )
        self._session = aiohttp.ClientSession(
            f"http://{searcher.address}",
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            middlewares=(prevent_retry,),
            response_class=OwnedResponse,
            trace_configs=[new_connection_trace()],
            headers={"Accept-Encoding": "identity"},
        )

    async def run(
        self, attempt: Attempt, timeout_s: float, admit: Admit
    ) -> AttemptResult:
        """Send an attempt and interpret the response.

        An attempt without time left or with too long a body is not sent.
        """
        if timeout_s <= 0:
            failure = Failure(
                ErrorKind.DEADLINE_EXCEEDED, "no time left", not_run=True
            )
            return build_unsent_result(attempt, failure)
        path, body = _encode(attempt, timeout_s)
        if len(body) > MAX_REQUEST_BYTES:
            failure = Failure(
                ErrorKind.TOO_LARGE, "the request is too large", not_run=True
            )
            return build_unsent_result(attempt, failure)
        result = await self._post(
            path, attempt.attempt, body, admit, timeout_s
        )
        match result:
            case FailedExchange(failure=Failure() as failure):
                return build_unsent_result(attempt, failure)
            case FailedExchange():
                return interpret_failed_exchange(attempt, result)
            case Response():
                return interpret_response(attempt, result)

    async def cancel(self, attempt: str, timeout_s: float) -> Cancelled | None:
        """Ask the searcher to stop an attempt.

        Status 200 means that the attempt neither runs nor will run, even if
        it arrives later on another connection. The searcher also answers 200
        if the attempt has already ended. Its slot is freed in all these
        cases; otherwise it would stay occupied for another 0.9 s.
        """
        body = msgspec.json.encode(CancelRequestBody(attempt))
        match await self._post(
            "/cancel", attempt, body, admit_always, timeout_s
        ):
            case Response(status=200) as response:
                return interpret_cancellation(response)
            case FailedExchange(exchange=NotConnected()):
                # The process that ran the attempt has ended.
                return Cancelled()
            case _:
                return None

    async def read_report(
        self, timeout_s: float
    ) -> Report | NotConnected | None:
        """Read health and load."""
        health = await self._get("/health", HealthBody, timeout_s)
        if not isinstance(health, HealthBody):
            return health
        load = await self._get("/load", LoadBody, timeout_s)
        if not isinstance(load, LoadBody):
            return load
        return Report(health.healthy, load.cold, load.incarnation)

    def has_verified_connection(self) -> bool:
        """Return True while a verified connection is open.

        A connection is verified if it was opened before the request that was
        answered last. While it is open, the process that answered is at its
        other end.
        """
        return any(map(_is_open, self._verified_sockets))

    def is_connected(self) -> bool:
        """Return True while a connection is open or being opened."""
        return any(map(_is_open, self._sockets))

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def _open_socket(self, info: AddrInfoType) -> socket.socket:
        family, kind, proto, _, _ = info
        sock = socket.socket(family, kind, proto)
        sock.setblocking(False)
        self._sockets = (*filter(_is_open, self._sockets), sock)
        return sock

    async def _post(
        self,
        path: str,
        attempt: str,
        data: bytes,
        admit: Admit,
        timeout_s: float,
    ) -> Response | FailedExchange:
        """Send a request on a connection that holds no earlier response."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        # Each stale connection is closed, and a new one is not tried twice.
        while True:
            body = AdmittedBody(data, admit)
            remaining_s = ends_at - loop.time()
            result = await self._try_post(path, attempt, body, remaining_s)
            if result is not None:
                return result
            log.warning(
                "connection stale searcher={} path={} attempt={}",
                self._searcher,
                path,
                attempt,
            )

    async def _try_post(
        self, path: str, attempt: str, body: AdmittedBody, timeout_s: float
    ) -> Response | FailedExchange | None:
        """Send a request once.

        :returns: None if nothing was sent because the connection holds a
            response to an earlier request
        """
        if timeout_s <= 0:
            return FailedExchange(False, NotSent())
        try:
            response = await self._request(
                "POST", path, attempt, timeout_s, body
            )
        except TimeoutError:
            exchange = TimedOut() if body.is_sent else NotSent()
            return FailedExchange(body.is_sent, exchange)
        except (ResponseTooLongError, UnprovenResponseError) as exc:
            if not body.is_sent:
                return _stale_connection_result(body)
            is_unproven = isinstance(exc, UnprovenResponseError)
            return FailedExchange(
                True, Unproven() if is_unproven else Rejected()
            )
        except Exception as exc:
            if body.is_stale:
                return _stale_connection_result(body)
            if body.failure is not None:
                return FailedExchange(False, NotSent(), body.failure)
            _log_unexpected_error(path, exc)
            exchange = Disconnected() if body.is_sent else NotConnected()
            return FailedExchange(body.is_sent, exchange)
        return response

    async def _get(
        self, path: str, kind: type, timeout_s: float
    ) -> Any | NotConnected | None:
        attempt = f"report-{next(self._report_numbers)}"
        try:
            response = await self._request(
                "GET", f"{path}?attempt={attempt}", attempt, timeout_s
            )
        except (TimeoutError, ResponseTooLongError, UnprovenResponseError):
            return None
        except Exception as exc:
            _log_unexpected_error(path, exc)
            return NotConnected()
        return decode(response, kind) if response.status == 200 else None

    async def _request(
        self,
        method: str,
        path: str,
        attempt: str,
        timeout_s: float,
        body: AdmittedBody | None = None,
    ) -> Response:
        """Send a request and read its response.

        :param attempt: what the body of the response has to name
        :raises UnprovenResponseError: it names another or none, or arrived
            before the request was sent; its connection is closed
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, ceil_threshold=CEIL_THRESHOLD_S
        )
        opened_before = self._sockets
        async with self._session.request(
            method,
            path,
            data=body,
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=body,
        ) as resp:
            try:
                response = Response(resp.status, await _read(resp))
            except BaseException:
                # A later request must not read the rest of this response.
                resp.close()
                raise
            owner = owner_of(response)
            is_early = body is not None and not body.is_sent
            if owner != attempt or is_early:
                # Responses that follow on the connection are not in step with
                # its requests.
                resp.abort_connection()
                log.warning(
                    "response skipped searcher={} path={} status={} attempt={}"
                    " names={}",
                    self._searcher,
                    path,
                    resp.status,
                    attempt,
                    owner or "none",
                )
                raise UnprovenResponseError("the response is not proven")
        self._verified_sockets = opened_before
        return response


def pool_size(searcher: Searcher) -> int:
    """Return the maximum number of connections to a searcher.

    For a limit of 3 or more it is less than half of the searcher's limit, so
    that the pool of a previous owner that has not closed yet and that of its
    successor stay below the limit together. For limits of 1 and 2 it is 1, so
    the two pools can have 2 connections.
    """
    return max(1, (searcher.max_conns - 1) // 2)


def _stale_connection_result(body: AdmittedBody) -> FailedExchange | None:
    """Return the result of a request that was not sent, None to repeat it."""
    if body.is_on_new_conn:
        return FailedExchange(False, Unproven())
    return None


def _log_unexpected_error(path: str, exc: Exception) -> None:
    """Log an error that is not a connection failure.

    It is not raised again, because an uncaught exception ends the node and
    all running searches.
    """
    if not isinstance(exc, CONNECTION_ERRORS):
        log.error("request failed path={} cause={!r}", path, exc)


def _is_open(sock: socket.socket) -> bool:
    return sock.fileno() != CLOSED_FD


async def prevent_retry(
    req: aiohttp.ClientRequest, handler: ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from repeating a request on a new connection.

    :raises ConnectionLostError: in place of the errors that aiohttp retries
    """
    try:
        return await handler(req)
    except aiohttp.ServerTimeoutError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionLostError(str(exc)) from exc


async def _read(resp: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in resp.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise ResponseTooLongError("the response is too long")
    return bytes(body)


def _encode(attempt: Attempt, timeout_s: float) -> tuple[str, bytes]:
    deadline_ms = timeout_s * 1000
    match attempt:
        case SearchAttempt():
            body = SearchRequestBody(
                attempt.attempt,
                attempt.shard,
                attempt.index_version,
                attempt.map_version,
                attempt.names,
                attempt.limit,
                deadline_ms,
            )
            return "/search", msgspec.json.encode(body)
        case SubmitAttempt():
            body = SubmitRequestBody(
                attempt.attempt, attempt.payload, deadline_ms
            )
            return "/submit", msgspec.json.encode(body)
