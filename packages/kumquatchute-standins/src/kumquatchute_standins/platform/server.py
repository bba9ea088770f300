"""HTTP server of the platform stand-in, and its control interface."""

import asyncio
from typing import Any

from aiohttp import web
import msgspec

from kumquatchute_standins.platform.codec import decode_control
from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import Control
from kumquatchute_standins.platform.controls import Counts
from kumquatchute_standins.platform.controls import DownMode
from kumquatchute_standins.platform.controls import ReadCounts
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.messages import PutObject
from kumquatchute_standins.platform.messages import ReadNames
from kumquatchute_standins.platform.messages import RemoveObject
from kumquatchute_standins.platform.messages import StatusError
from kumquatchute_standins.platform.object_api import ObjectApi
from kumquatchute_standins.platform.responses import error_response
from kumquatchute_standins.platform.responses import json_response
from kumquatchute_standins.platform.table import Table
from kumquatchute_standins.platform.task import PlatformTask

# Larger than the limit on objects, so that the 413 comes from the table.
MAX_BODY_BYTES = 8 * 1024 * 1024


class PlatformServer:
    """Owns the task of the stand-in and its listeners.

    Faults are set with ``apply_control`` in the same process, or with
    ``POST /control``. The optional control listener stays open while the
    platform refuses connections.
    """

    def __init__(self, table: Table | None = None) -> None:
        """Create a server; it does not listen yet.

        :param table: objects at the start
        """
        self.task = PlatformTask(table)
        self.url = ""
        self._host = ""
        self._port = 0
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._control_runner: web.AppRunner | None = None
        self._task_runner: asyncio.Task | None = None

    async def start(
        self, listen: str = "127.0.0.1:0", control: str | None = None
    ) -> None:
        """Run the task and listen.

        :param listen: IP address and port; port 0 selects a free port
        :param control: IP address and port of the control listener
        """
        self._task_runner = asyncio.create_task(self.task.run())
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        self._add_control_routes(app)
        ObjectApi(self.task).add_routes(app.router)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=0.1,
            handler_cancellation=True,
        )
        await self._runner.setup()
        self._host, _, port = listen.rpartition(":")
        self._port = int(port)
        await self._open_listener()
        if control:
            await self._start_control_listener(control)

    async def stop(self) -> None:
        """Close the listeners and all connections."""
        self._abort_connections()
        for runner in (self._runner, self._control_runner):
            if runner is not None:
                await runner.cleanup()
        if self._task_runner is not None:
            self._task_runner.cancel()
            await asyncio.gather(self._task_runner, return_exceptions=True)

    async def apply_control(self, message: Control) -> Any:
        """Apply a control message and wait until it is in effect.

        :returns: ``Counts`` for ``ReadCounts``, otherwise None
        """
        match message:
            case SetDown(mode=DownMode.REFUSE):
                result = await self.task.ask(message)
                await self._close_listener()
            case SetDown() | ClearFaults():
                result = await self.task.ask(message)
                await self._open_listener()
            case _:
                result = await self.task.ask(message)
        return result

    async def read_counts(self) -> Counts:
        """Return the counters of calls."""
        return await self.apply_control(ReadCounts())

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object despite faults, without waiting."""
        self.task.mailbox.post(PutObject(kind, name, spec))

    def remove(self, kind: str, name: str) -> None:
        """Delete an object despite faults, without waiting."""
        self.task.mailbox.post(RemoveObject(kind, name))

    def post_control(self, control: Control) -> None:
        """Apply a control message without waiting for it.

        :param control: any control that neither closes nor opens the listener
        """
        self.task.mailbox.post(control)

    async def list_names(self, kind: str) -> set[str]:
        """Return the names of all objects of a kind."""
        return await self.task.ask(ReadNames(kind))

    def _add_control_routes(self, app: web.Application) -> None:
        app.router.add_post("/control", self._on_control)
        app.router.add_get("/control", self._on_read_counts)

    async def _start_control_listener(self, control: str) -> None:
        app = web.Application()
        self._add_control_routes(app)
        self._control_runner = web.AppRunner(app, access_log=None)
        await self._control_runner.setup()
        host, _, port = control.rpartition(":")
        await web.TCPSite(self._control_runner, host, int(port)).start()

    async def _open_listener(self) -> None:
        if self._site is not None or self._runner is None:
            return
        self._site = web.TCPSite(
            self._runner, self._host, self._port, reuse_address=True
        )
        await self._site.start()
        self._port = self._runner.addresses[0][1]
        self.url = f"http://{self._host}:{self._port}"

    async def _close_listener(self) -> None:
        if self._site is None:
            return
        await self._site.stop()
        self._site = None
        self._abort_connections()

    def _abort_connections(self) -> None:
        if self._runner is None or self._runner.server is None:
            return
        for conn in list(self._runner.server.connections):
            if conn.transport is not None:
                conn.transport.abort()

    async def _on_control(self, req: web.Request) -> web.Response:
        message = decode_control(await req.read())
        if isinstance(message, StatusError):
            return error_response(message)
        if message == SetDown(DownMode.REFUSE) and not self._control_runner:
            return error_response(
                StatusError(
                    400, "mode refuse needs a separate control listener"
                )
            )
        result = await self.apply_control(message)
        return json_response(200, msgspec.json.encode(result))

    async def _on_read_counts(self, req: web.Request) -> web.Response:
        return json_response(
            200, msgspec.json.encode(await self.read_counts())
        )
