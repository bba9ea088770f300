"""HTTP resources for operators, the load balancer and monitoring."""

import falcon
import falcon.asgi
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST

from kumquatchute_model.errors import Failure
from kumquatchuted.http.auth import OPERATOR_ROLES
from kumquatchuted.http.context import HttpContext
from kumquatchuted.http.errors import send_json
from kumquatchuted.http.state import node_status


class StatusResource:
    """``GET /v1/status``."""

    def __init__(self, context: HttpContext) -> None:
        """Create the resource with the shared dependencies."""
        self._context = context

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return the status of the node."""
        context = self._context
        identity = context.auth.authorize(req.auth, OPERATOR_ROLES)
        if isinstance(identity, Failure):
            context.responder.send(resp, identity)
            return
        status = node_status(
            context.state(), context.cfg.node, context.clock()
        )
        send_json(resp, msgspec.json.encode(status))


class HealthResource:
    """``GET /healthz``: the event loop is responsive."""

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer 200."""
        send_json(resp, b'{"healthy":true}')


class ReadyResource:
    """``GET /readyz``: readiness of the node, for the load balancer."""

    def __init__(self, context: HttpContext) -> None:
        """Create the resource with the shared dependencies."""
        self._context = context

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer 200 if the node is ready, else 503 with the reason."""
        ready = self._context.state().ready
        if not ready.ready:
            resp.status = falcon.HTTP_503
        send_json(resp, msgspec.json.encode(ready))


class MetricsResource:
    """``GET /metrics``."""

    def __init__(self, context: HttpContext) -> None:
        """Create the resource with the shared dependencies."""
        self._context = context

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return all metrics."""
        resp.content_type = CONTENT_TYPE_LATEST
        resp.data = self._context.metrics.render()
