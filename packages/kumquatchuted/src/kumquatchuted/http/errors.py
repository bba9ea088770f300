"""HTTP responses for failures, each with a kind of ``ErrorKind``."""

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

INTERNAL_FAILURE = Failure(
    ErrorKind.INTERNAL, "the node could not process the request"
)
NOT_FOUND_FAILURE = Failure(
    ErrorKind.NOT_FOUND, "there is nothing at this path", not_run=True
)


def send_json(resp: falcon.asgi.Response, body: bytes) -> None:
    """Set the body of a response to a JSON document."""
    resp.content_type = falcon.MEDIA_JSON
    resp.data = body


class FailureResponder:
    """Sends failures as responses and counts them by kind."""

    def __init__(self, metrics: Metrics) -> None:
        """Create a responder that counts failures in the metrics."""
        self._metrics = metrics

    def send(self, resp: falcon.asgi.Response, failure: Failure) -> None:
        """Send a failure as the response to a request."""
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
        """Answer a request that falcon itself rejects."""
        match exc:
            case falcon.HTTPNotFound():
                self.send(resp, NOT_FOUND_FAILURE)
            case falcon.HTTPMethodNotAllowed():
                self.send(
                    resp, malformed("the path does not support this method")
                )
            case _:
                self.send(resp, malformed("the request is malformed"))

    async def on_exception(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        exc: Exception,
        params: dict,
    ) -> None:
        """Answer a request whose resource raised, without internal details."""
        traceback = exc.__traceback__
        while traceback is not None and traceback.tb_next is not None:
            traceback = traceback.tb_next
        location = "unknown location"
        if traceback is not None:
            file = Path(traceback.tb_frame.f_code.co_filename).name
            location = f"{file}:{traceback.tb_lineno}"
        # The text of the exception can quote the request, so it is not logged.
        log.error(
            "request failed method={} path={} cause={} at {}",
            req.method,
            req.uri_template or "unknown path",
            type(exc).__name__,
            location,
        )
        self.send(resp, INTERNAL_FAILURE)
