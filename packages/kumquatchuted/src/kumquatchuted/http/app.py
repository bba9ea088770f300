"""Routes of the two HTTP listeners."""

from typing import Any

import falcon
import falcon.asgi

from kumquatchuted.http.context import HttpContext
from kumquatchuted.http.disconnect import Application
from kumquatchuted.http.disconnect import CancelOnDisconnect
from kumquatchuted.http.search import SearchResource
from kumquatchuted.http.status import HealthResource
from kumquatchuted.http.status import MetricsResource
from kumquatchuted.http.status import ReadyResource
from kumquatchuted.http.status import StatusResource
from kumquatchuted.http.submissions import SubmissionsResource
from kumquatchuted.http.tickets import TicketResource
from kumquatchuted.http.tickets import TicketsResource


class CloseWhenNotReady:
    """Closes keep-alive connections while the node is not ready.

    Callers then connect to another node. At a planned stop no connection is
    left on which a request could arrive just as the listener closes.
    """

    def __init__(self, context: HttpContext) -> None:
        """Create the middleware with the shared dependencies."""
        self._context = context

    async def process_response(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        resource: Any,
        req_succeeded: bool,
    ) -> None:
        """Close the connection after the response if the node is not ready."""
        if not self._context.state().ready.ready:
            resp.set_header("Connection", "close")


def caller_app(context: HttpContext) -> Application:
    """Return the application for callers and operators."""
    app = _build_app(context, CloseWhenNotReady(context))
    app.add_route("/v1/services/{service}/search", SearchResource(context))
    app.add_route(
        "/v1/services/{service}/submissions", SubmissionsResource(context)
    )
    app.add_route("/v1/tickets", TicketsResource(context))
    app.add_route("/v1/tickets/{number}", TicketResource(context))
    app.add_route("/v1/status", StatusResource(context))
    return CancelOnDisconnect(app)


def metrics_app(context: HttpContext) -> Application:
    """Return the application for health checks and metrics."""
    app = _build_app(context)
    app.add_route("/healthz", HealthResource())
    app.add_route("/readyz", ReadyResource(context))
    app.add_route("/metrics", MetricsResource(context))
    return app


def _build_app(context: HttpContext, *middleware: Any) -> falcon.asgi.App:
    app = falcon.asgi.App(middleware=list(middleware))
    app.add_error_handler(Exception, context.responder.on_exception)
    app.add_error_handler(falcon.HTTPError, context.responder.on_http_error)
    return app
