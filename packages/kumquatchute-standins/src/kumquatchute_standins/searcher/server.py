"""HTTP server of one searcher."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from kumquatchute_standins.searcher.codec import decode_call
from kumquatchute_standins.searcher.codec import decode_control
from kumquatchute_standins.searcher.codec import encode_result
from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.controls import Control
from kumquatchute_standins.searcher.controls import FleetControl
from kumquatchute_standins.searcher.controls import HangConnections
from kumquatchute_standins.searcher.controls import Restart
from kumquatchute_standins.searcher.controls import SetUp
from kumquatchute_standins.searcher.index import Index
from kumquatchute_standins.searcher.messages import CancelCall
from kumquatchute_standins.searcher.messages import ConnectionReset
from kumquatchute_standins.searcher.messages import ConnOpened
from kumquatchute_standins.searcher.messages import ConnRefused
from kumquatchute_standins.searcher.messages import ReadHealth
from kumquatchute_standins.searcher.messages import ReadLoad
from kumquatchute_standins.searcher.messages import ReadRecords
from kumquatchute_standins.searcher.messages import Records
from kumquatchute_standins.searcher.messages import Refused
from kumquatchute_standins.searcher.messages import RepeatedResult
from kumquatchute_standins.searcher.messages import SearchCall
from kumquatchute_standins.searcher.messages import SubmitCall
from kumquatchute_standins.searcher.task import SearcherTask

JSON = "application/json"


class ConnectionLimitedServer(web.Server):
    """HTTP server that resets connections over a limit.

    Connections for ``/control`` and ``/records`` count too. Those to the
    control listener of the fleet do not.
    """

    def __init__(
        self, handler: Any, task: SearcherTask, max_conns: int
    ) -> None:
        """Create a server for one listener.

        :param max_conns: number of connections above which new ones are reset
        """
        super().__init__(handler, access_log=None, handler_cancellation=True)
        self._task = task
        self._max_conns = max_conns
        self._is_closed = False
        # Connections that have had their first request.
        self.started: set[RequestHandler] = set()
        # Open connections on which no more responses are sent.
        self.hung: set[RequestHandler] = set()

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Accept a connection, or reset it if there are too many."""
        if self._is_closed:
            transport.abort()
            return
        if len(self.connections) >= self._max_conns:
            transport.abort()
            self._task.mailbox.post(ConnRefused())
            return
        super().connection_made(handler, transport)
        self._task.mailbox.post(ConnOpened(len(self.connections)))

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Remove a closed connection from the sets."""
        self.started.discard(handler)
        self.hung.discard(handler)
        super().connection_lost(handler, exc)

    def abort_connections(self) -> None:
        """Reset all connections, and those that are accepted from now on."""
        self._is_closed = True
        for conn in list(self.connections):
            if conn.transport is not None:
                conn.transport.abort()


class SearcherServer:
    """One searcher: its task and its listener."""

    def __init__(
        self, cfg: SearcherConfig, index: Index, seed: int = 1
    ) -> None:
        """Create a searcher that is not started."""
        self.cfg = cfg
        self.address = cfg.listen
        self.task = SearcherTask(cfg, index, seed)
        self._server = self._create_server()
        self._listener: asyncio.Server | None = None
        self._task_runner: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the task and bind the listener."""
        self._task_runner = asyncio.create_task(self.task.run())
        await self._open_listener()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._close_listener()
        await self._server.shutdown(0.1)
        if self._task_runner is not None:
            self._task_runner.cancel()
            await asyncio.gather(self._task_runner, return_exceptions=True)

    async def apply_control(self, control: Control) -> None:
        """Apply a control and wait until it is in effect."""
        match control:
            case HangConnections():
                self._server.hung.update(self._server.connections)
            case SetUp(up=True):
                await self._open_listener()
            case SetUp(up=False):
                self._close_listener()
                await self.task.ask(Restart())
            case Restart():
                # Requests to the old process must not reach the new one.
                self._close_listener()
                await self.task.ask(control)
                await self._open_listener()
            case _:
                await self.task.ask(control)

    async def records(self) -> Records:
        """Return the recorded calls and totals."""
        return await self.task.ask(ReadRecords())

    async def _open_listener(self) -> None:
        if self._listener is not None:
            return
        self._server = self._create_server()
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, int(port), reuse_address=True
        )
        bound = self._listener.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def _create_server(self) -> ConnectionLimitedServer:
        return ConnectionLimitedServer(
            self._on_request, self.task, self.cfg.max_conns
        )

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._server.abort_connections()

    async def _on_request(self, req: web.BaseRequest) -> web.StreamResponse:
        body = await req.read()
        if req.protocol in self._server.hung:
            await asyncio.Event().wait()
        await self._delay_first_request(req)
        if req.transport is None or req.transport.is_closing():
            return web.Response()
        result = await self._route(req, body)
        # The connection may have been hung while the call ran.
        if req.protocol in self._server.hung:
            await asyncio.Event().wait()
        match result:
            case ConnectionReset():
                if req.transport is not None:
                    req.transport.abort()
                return web.Response()
            case RepeatedResult(result=repeated, delay_ms=delay_ms):
                if req.transport is not None:
                    asyncio.get_running_loop().call_later(
                        delay_ms / 1000,
                        _write_if_open,
                        req.transport,
                        _encode_response(repeated),
                    )
                return _build_response(repeated)
            case _:
                return _build_response(result)

    async def _delay_first_request(self, req: web.BaseRequest) -> None:
        if req.protocol in self._server.started:
            return
        self._server.started.add(req.protocol)
        if self.cfg.conn_cost_ms:
            await asyncio.sleep(self.cfg.conn_cost_ms / 1000)

    async def _route(self, req: web.BaseRequest, body: bytes) -> Any:
        attempt = req.query.get("attempt", "")
        match (req.method, req.path):
            case ("POST", "/search"):
                return await self._run_call(decode_call(body, SearchCall))
            case ("POST", "/submit"):
                return await self._run_call(decode_call(body, SubmitCall))
            case ("POST", "/cancel"):
                return await self._run_call(decode_call(body, CancelCall))
            case ("GET", "/health"):
                return await self.task.ask(ReadHealth(attempt))
            case ("GET", "/load"):
                return await self.task.ask(ReadLoad(attempt))
            case ("GET", "/records"):
                return await self.records()
            case ("POST", "/control"):
                match decode_control(body):
                    case FleetControl(control=control):
                        return await self.apply_control(control)
                    case refusal:
                        return refusal
            case _:
                return Refused(404, "not_found", f"no path {req.path}")

    async def _run_call(self, call: Any) -> Any:
        if isinstance(call, Refused):
            return call
        return await self.task.ask(call)


def _status_of(result: Any) -> int:
    return result.status if isinstance(result, Refused) else 200


def _build_response(result: Any) -> web.Response:
    return web.Response(
        status=_status_of(result),
        body=encode_result(result),
        content_type=JSON,
    )


def _write_if_open(transport: asyncio.Transport, data: bytes) -> None:
    if not transport.is_closing():
        transport.write(data)


def _encode_response(result: Any) -> bytes:
    """Return a whole response as it is sent on a connection."""
    body = encode_result(result)
    head = (
        f"HTTP/1.1 {_status_of(result)} Again\r\n"
        f"Content-Type: {JSON}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
