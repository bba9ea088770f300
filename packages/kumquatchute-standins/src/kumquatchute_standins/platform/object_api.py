"""HTTP handlers of the object API: reads, writes and watches."""

import asyncio

from aiohttp import web

from kumquatchute_standins.platform.codec import decode_write_body
from kumquatchute_standins.platform.codec import encode_events
from kumquatchute_standins.platform.codec import encode_object
from kumquatchute_standins.platform.codec import encode_page
from kumquatchute_standins.platform.messages import CloseWatch
from kumquatchute_standins.platform.messages import CreateObject
from kumquatchute_standins.platform.messages import DeleteObject
from kumquatchute_standins.platform.messages import GetObject
from kumquatchute_standins.platform.messages import Hang
from kumquatchute_standins.platform.messages import ListObjects
from kumquatchute_standins.platform.messages import Loss
from kumquatchute_standins.platform.messages import ObjectRevision
from kumquatchute_standins.platform.messages import OpenWatch
from kumquatchute_standins.platform.messages import Page
from kumquatchute_standins.platform.messages import ReplaceObject
from kumquatchute_standins.platform.messages import Reply
from kumquatchute_standins.platform.messages import Request
from kumquatchute_standins.platform.messages import StatusError
from kumquatchute_standins.platform.messages import WatchBatch
from kumquatchute_standins.platform.messages import WatchOpened
from kumquatchute_standins.platform.messages import WatchPosition
from kumquatchute_standins.platform.responses import error_response
from kumquatchute_standins.platform.responses import json_response
from kumquatchute_standins.platform.task import PlatformTask
from kumquatchuted.mailbox import Mailbox

MAX_WATCH_WAIT_MS = 30_000
MS_PER_S = 1000


class ObjectApi:
    """Translates HTTP requests on objects to messages of the task."""

    def __init__(self, task: PlatformTask) -> None:
        """Create the handlers.

        :param task: owner of the objects
        """
        self._task = task

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of kinds and of objects."""
        list_path, object_path = "/objects/{kind}", "/objects/{kind}/{name}"
        router.add_get(list_path, self._on_list)
        router.add_post(list_path, self._on_create)
        router.add_get(object_path, self._on_get)
        router.add_put(object_path, self._on_replace)
        router.add_delete(object_path, self._on_delete)

    async def _on_list(self, req: web.Request) -> web.StreamResponse:
        kind = req.match_info["kind"]
        if "watch" in req.query:
            return await self._answer_watch(req, kind)
        request = ListObjects(kind, req.query.get("after", ""))
        return await self._answer_call(req, request)

    async def _on_create(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        write_body = decode_write_body(body)
        if isinstance(write_body, StatusError):
            return error_response(write_body)
        if not write_body.name:
            return error_response(StatusError(400, "meta has no name"))
        kind = req.match_info["kind"]
        request = CreateObject(
            kind, write_body.name, write_body.spec, len(body)
        )
        return await self._answer_call(req, request, created=True)

    async def _on_get(self, req: web.Request) -> web.StreamResponse:
        return await self._answer_call(req, GetObject(*_kind_and_name(req)))

    async def _on_replace(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        write_body = decode_write_body(body)
        if isinstance(write_body, StatusError):
            return error_response(write_body)
        kind, name = _kind_and_name(req)
        if write_body.name not in ("", name):
            return error_response(
                StatusError(400, "meta names another object than the path")
            )
        request = ReplaceObject(
            kind, name, write_body.spec, write_body.revision, len(body)
        )
        return await self._answer_call(req, request)

    async def _on_delete(self, req: web.Request) -> web.StreamResponse:
        revision = _read_number(req, "revision")
        if isinstance(revision, StatusError):
            return error_response(revision)
        return await self._answer_call(
            req, DeleteObject(*_kind_and_name(req), revision)
        )

    async def _answer_call(
        self, req: web.Request, request: Request, created: bool = False
    ) -> web.StreamResponse:
        reply: Reply = await self._task.ask(request)
        if reply.delay_s:
            await asyncio.sleep(reply.delay_s)
        if isinstance(reply.result, Hang) or reply.loss is Loss.SILENT:
            return await _wait_until_cancelled()
        if reply.loss is Loss.RESET:
            if req.transport is not None:
                req.transport.abort()
            return web.Response()
        match reply.result:
            case StatusError():
                return error_response(reply.result)
            case ObjectRevision():
                body = encode_object(reply.result)
                return json_response(201 if created else 200, body)
            case Page():
                return json_response(200, encode_page(reply.result))

    async def _answer_watch(
        self, req: web.Request, kind: str
    ) -> web.StreamResponse:
        revision, wait_ms = (
            _read_number(req, "watch"),
            _read_number(req, "waitMs"),
        )
        for parsed in (revision, wait_ms):
            if isinstance(parsed, StatusError):
                return error_response(parsed)
        mailbox = Mailbox()
        reply: Reply = await self._task.ask(
            OpenWatch(kind, revision or 0, mailbox.post)
        )
        if reply.delay_s:
            await asyncio.sleep(reply.delay_s)
        match reply.result:
            case Hang():
                return await _wait_until_cancelled()
            case StatusError():
                return error_response(reply.result)
            case WatchOpened(watch=watch_id):
                wait_s = min(wait_ms or 0, MAX_WATCH_WAIT_MS) / MS_PER_S
                try:
                    batch = await self._next_changes(watch_id, mailbox, wait_s)
                finally:
                    self._task.mailbox.post(CloseWatch(watch_id))
        if batch is None:
            return await _wait_until_cancelled()
        return json_response(200, encode_events(batch))

    async def _next_changes(
        self, watch_id: int, mailbox: Mailbox, wait_s: float
    ) -> WatchBatch | None:
        """Return the next changes, an empty batch after ``wait_s``.

        None if the watch must stay unanswered.
        """
        try:
            async with asyncio.timeout(wait_s):
                return await mailbox.get()
        except TimeoutError:
            position = await self._task.ask(WatchPosition(watch_id))
        if position is None:
            return None
        # A batch may have arrived between the timeout and the answer.
        try:
            return mailbox.get_nowait()
        except asyncio.QueueEmpty:
            return WatchBatch((), position)


async def _wait_until_cancelled() -> web.StreamResponse:
    """Wait until the client disconnects, which cancels the handler."""
    await asyncio.Event().wait()
    return web.Response()


def _kind_and_name(req: web.Request) -> tuple[str, str]:
    return req.match_info["kind"], req.match_info["name"]


def _read_number(req: web.Request, key: str) -> int | None | StatusError:
    text = req.query.get(key)
    if text is None:
        return None
    if not text.isdigit():
        return StatusError(400, f"{key} is not a whole number")
    return int(text)
