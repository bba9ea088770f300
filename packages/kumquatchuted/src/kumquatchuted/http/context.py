"""Dependencies that all resources share."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import ServiceSettings
from kumquatchute_model.settings import Settings
from kumquatchuted.http.auth import Authenticator
from kumquatchuted.http.errors import FailureResponder
from kumquatchuted.http.messages import RequestInboxes
from kumquatchuted.http.state import HttpState
from kumquatchuted.mailbox import ask
from kumquatchuted.mailbox import Post
from kumquatchuted.metrics import Metrics


@dataclass(frozen=True)
class HttpContext:
    """Dependencies of the resources.

    :param clock: monotonic time in seconds
    :param state: returns the latest state of the HTTP task
    """

    cfg: Settings
    inboxes: RequestInboxes
    metrics: Metrics
    clock: Callable[[], float]
    state: Callable[[], HttpState]
    auth: Authenticator
    responder: FailureResponder

    def find_service(self, name: str) -> ServiceSettings | Failure:
        """Return the settings of a service, or ``UNKNOWN_SERVICE``."""
        for service in self.cfg.services:
            if service.name == name:
                return service
        return Failure(
            ErrorKind.UNKNOWN_SERVICE,
            "this node has no service of that name",
            not_run=True,
        )


async def ask_with_timeout(
    post: Post, request: Any, timeout_s: float, timeout_failure: Failure
) -> Any:
    """Ask a task and wait for its answer for a limited time.

    The task enforces deadlines itself. The timeout here is a second
    safeguard: without it, a caller would wait forever for a lost answer.

    :param timeout_s: longest wait in seconds
    :param timeout_failure: result if the wait ends without an answer
    :returns: the value or a ``Failure``
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await ask(post, request)
    except TimeoutError:
        return timeout_failure
