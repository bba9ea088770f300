"""Request body that is sent only if it is admitted."""

from types import SimpleNamespace

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

from kumquatchute_model.errors import Failure
from kumquatchuted.targets.client import Admit


class AdmittedBody(BytesPayload):
    """Request body that asks for admission right before it is sent.

    aiohttp holds the headers back until the body is written, so no byte of
    the request is sent before it is admitted.
    """

    def __init__(self, value: bytes, admit: Admit) -> None:
        """Create a body.

        :param value: encoded JSON document
        :param admit: awaited before the first byte is sent
        """
        super().__init__(value, content_type="application/json")
        self._admit = admit
        self.is_on_new_conn = False
        self.is_sent = False
        self.is_stale = False
        self.failure: Failure | None = None

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body if it is admitted.

        :raises NotAdmittedError: no byte was sent; ``failure`` is the reason
        :raises StaleConnectionError: no byte was sent; bytes arrived on the
            connection before the request
        """
        if not self.is_on_new_conn and writer.protocol.should_close:
            self.is_stale = True
            writer.protocol.abort()
            raise StaleConnectionError
        self.failure = await self._admit(self.is_on_new_conn)
        if self.failure is not None:
            raise NotAdmittedError(self.failure.reason)
        self.is_sent = True
        await super().write_with_length(writer, content_length)


class NotAdmittedError(Exception):
    """A body was not admitted, so its request was not sent."""


class StaleConnectionError(Exception):
    """The connection holds a response to an earlier request.

    A response that is read from it would be taken for that of this request.
    """


def new_connection_trace() -> aiohttp.TraceConfig:
    """Return a trace that sets ``is_on_new_conn`` of bodies.

    Requests pass their body as ``trace_request_ctx``.
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
    """Admit the body of a request that is no attempt."""
    return None
