"""Request body that is sent only if it is admitted."""

from types import SimpleNamespace

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

from kumquatchute_model.errors import Failure
from kumquatchuted.targets.client import Admit


class AdmittedBody(BytesPayload):
    """Request body that asks directly before its first byte is sent.

    aiohttp keeps the headers back until the body is written, so that nothing
    of a request goes out before it is admitted.
    """

    def __init__(self, value: bytes, admit: Admit) -> None:
        """Create a body; ``is_sent`` is False until bytes are handed over."""
        super().__init__(value, content_type="application/json")
        self._admit = admit
        self.is_on_new_conn = False
        self.is_sent = False
        self.failure: Failure | None = None

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body unless it is refused."""
        self.failure = await self._admit(self.is_on_new_conn)
        if self.failure is not None:
            raise NotAdmittedError(self.failure.reason)
        self.is_sent = True
        await super().write_with_length(writer, content_length)


class NotAdmittedError(Exception):
    """The body was not admitted."""


def new_connection_trace() -> aiohttp.TraceConfig:
    """Return a trace that marks bodies whose connection was opened for them.

    The body of a request is its ``trace_request_ctx``.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_mark_new_connection)
    return trace


async def _mark_new_connection(
    session: aiohttp.ClientSession,
    ctx: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    match ctx.trace_request_ctx:
        case AdmittedBody() as body:
            body.is_on_new_conn = True


async def admit_always(is_on_new_conn: bool) -> None:
    """Admit a body."""
    return None
