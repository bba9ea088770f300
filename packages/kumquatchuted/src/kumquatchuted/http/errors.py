"""Failures as HTTP answers: every refusal is one of the closed list."""

from pathlib import Path

import falcon
import falcon.asgi
from logbook import Logger
import msgspec

from kumquatchute_model.errors import ERROR_STATUSES
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.http.limits import malformed
from kumquatchuted.metrics import Metrics

log = Logger("http")

INTERNAL = Failure(
    ErrorKind.INTERNAL, "the node could not process the request"
)
NOT_FOUND = Failure(
    ErrorKind.NOT_FOUND, "there is nothing at this path", not_run=True
)


def send_json(resp: falcon.asgi.Response, body: bytes) -> None:
    """Answer with a JSON document."""
    resp.content_type = falcon.MEDIA_JSON
    resp.data = body


class Refusals:
    """Answers failures and counts them by kind."""

    def __init__(self, metrics: Metrics) -> None:
        """Create with the measures to count in."""
        self._metrics = metrics

    def send(self, resp: falcon.asgi.Response, failure: Failure) -> None:
        """Answer a request that failed."""
        self._metrics.add_refusal(failure.kind)
        status = ERROR_STATUSES[failure.kind].http_status
        resp.status = falcon.code_to_http_status(status)
        if failure.kind is ErrorKind.UNAUTHENTICATED:
            resp.set_header("WWW-Authenticate", "Bearer")
        send_json(resp, msgspec.json.encode(failure))

    async def on_http_error(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        exc: falcon.HTTPError,
        params: dict,
    ) -> None:
        """Answer a request that falcon itself refuses."""
        match exc:
            case falcon.HTTPNotFound():
                self.send(resp, NOT_FOUND)
            case falcon.HTTPMethodNotAllowed():
                self.send(resp, malformed("this path has no such method"))
            case _:
                self.send(resp, malformed("the request has a wrong form"))

    async def on_exception(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        exc: Exception,
        params: dict,
    ) -> None:
        """Answer a request whose resource failed, without internals."""
        trace = exc.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        place = "unknown place"
        if trace is not None:
            file = Path(trace.tb_frame.f_code.co_filename).name
            place = f"{file}:{trace.tb_lineno}"
        # The text of the exception can quote the request, so it is left out.
        log.error(
            "{} {} failed: {} at {}",
            req.method,
            req.uri_template or "unknown path",
            type(exc).__name__,
            place,
        )
        self.send(resp, INTERNAL)
