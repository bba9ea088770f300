"""Cancellation of requests whose callers have disconnected."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]
Application = Callable[[dict, Receive, Send], Awaitable[None]]


class CancelOnDisconnect:
    """ASGI application that cancels a request when its caller disconnects.

    The cancellation ends the wait for the task that answers. That task sees
    that the future is done and cancels the remaining work for the request.
    """

    def __init__(self, app: Application) -> None:
        """Wrap an application."""
        self._app = app

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Run one request."""
        body_complete = asyncio.Event()

        async def receive_body() -> dict:
            event = await receive()
            if not event.get("more_body"):
                body_complete.set()
            return event

        async def wait_for_disconnect() -> None:
            # Until the body is complete, the application receives the events.
            await body_complete.wait()
            while (await receive())["type"] != "http.disconnect":
                pass

        request_task = asyncio.ensure_future(
            self._app(scope, receive_body, send)
        )
        disconnect_task = asyncio.ensure_future(wait_for_disconnect())
        try:
            await asyncio.wait(
                {request_task, disconnect_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if request_task.done():
                request_task.result()
        finally:
            request_task.cancel()
            disconnect_task.cancel()
            await asyncio.gather(
                request_task, disconnect_task, return_exceptions=True
            )
