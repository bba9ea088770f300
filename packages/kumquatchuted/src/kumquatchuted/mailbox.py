"""Messages between tasks: each task reads from its own mailbox."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import Generic
from typing import TypeVar

from logbook import Logger

log = Logger("node")

Request = TypeVar("Request")

Post = Callable[[Any], None]


@dataclass(frozen=True)
class Ask(Generic[Request]):
    """A request whose sender waits for a result.

    :param request: frozen data class
    :param fut: future that receives the value or a ``Failure``
    """

    request: Request
    fut: asyncio.Future


class Mailbox:
    """Unbounded queue of the messages to one task.

    It needs no limit of its own: admission control limits the requests in the
    node, and a mailbox holds no more than the admitted requests.
    """

    def __init__(self) -> None:
        """Create an empty mailbox."""
        self._queue: asyncio.Queue = asyncio.Queue()

    def post(self, message: Any) -> None:
        """Append a message."""
        self._queue.put_nowait(message)

    async def get(self) -> Any:
        """Wait for the next message."""
        return await self._queue.get()

    def get_nowait(self) -> Any:
        """Return the next message.

        :raises asyncio.QueueEmpty: the mailbox is empty
        """
        return self._queue.get_nowait()

    def take_all(self) -> list[Any]:
        """Return all messages; an empty list if there are none."""
        return [self._queue.get_nowait() for _ in range(self._queue.qsize())]


async def handle_messages(
    mailbox: Mailbox,
    handle: Callable[[Any], None],
    count_event: Callable[[str, str], None],
) -> None:
    """Handle messages one by one until cancelled.

    An unexpected error ends the handling of its message only. The task goes
    on, because the end of a task ends the process and all its requests.

    :param count_event: counts an event by its name and a label
    """
    while True:
        handle_message(await mailbox.get(), handle, count_event)


def handle_message(
    message: Any,
    handle: Callable[[Any], None],
    count_event: Callable[[str, str], None],
) -> None:
    """Handle a message; an unexpected error is logged and counted.

    :param count_event: counts an event by its name and a label
    """
    try:
        handle(message)
    except Exception:
        kind = type(message).__name__
        log.exception("message not handled message={}", kind)
        count_event("unhandled", kind)


async def ask(post: Post, request: Any) -> Any:
    """Post a request and wait for its result.

    :param post: appends to the mailbox of the receiving task
    :param request: frozen data class
    :returns: the value or a ``Failure``
    """
    fut = asyncio.get_running_loop().create_future()
    post(Ask(request, fut))
    return await fut


def answer(message: Ask, result: Any) -> None:
    """Set the result of a request, unless its sender no longer waits."""
    if not message.fut.done():
        message.fut.set_result(result)
