"""Falcon applications of the listeners."""

from collections.abc import Callable

import falcon
import falcon.asgi
from logbook import Logger
import msgspec

from kumquatchute_model.errors import ERROR_STATUSES
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.errors import TemporaryFailure
from kumquatchuted.front.listener import FIRST_REQUEST
from kumquatchuted.front.messages import FrontState
from kumquatchuted.front.messages import RequestFinished
from kumquatchuted.front.messages import RequestStarted
from kumquatchuted.front.router import CallerAnswer
from kumquatchuted.front.router import refuse
from kumquatchuted.front.router import Router
from kumquatchuted.http.disconnect import Application
from kumquatchuted.http.disconnect import CancelOnDisconnect
from kumquatchuted.mailbox import Post
from kumquatchuted.memory.byte_budget import ByteBudget
from kumquatchuted.memory.byte_budget import ReadStop
from kumquatchuted.memory.byte_budget import Reservation
from kumquatchuted.partials.codec import decode_partial_request
from kumquatchuted.partials.codec import encode_partial
from kumquatchuted.partials.codec import NUMBER_HEADER
from kumquatchuted.partials.messages import PartialQueryRequest
from kumquatchuted.platform.callers import CallerRequest
from kumquatchuted.platform.callers import decode_request
from kumquatchuted.platform.callers import encode_retry_after
from kumquatchuted.platform.relay import ANY_AGE
from kumquatchuted.platform.relay import Relay

log = Logger("front")

# Retry-After as a share of the caller's remaining time. Callers honour one of
# up to a third of that time. After a much shorter one they would retry while a
# searcher fault that was just detected still lasts.
RETRY_AFTER_SHARE = 0.3
# Retry-After for a caller that does not state its timeout.
DEFAULT_RETRY_AFTER_S = 0.5
# A partial query holds the header and the body of a caller's request, which
# are limited to about a megabyte.
MAX_PARTIAL_QUERY_BYTES = 4 * 1024 * 1024


class CallerSink:
    """Handles all requests of callers."""

    def __init__(
        self,
        router: Router,
        state: Callable[[], FrontState],
        post: Post,
        bodies: ByteBudget,
        count_event: Callable[[str, str], None],
        clock: Callable[[], float],
    ) -> None:
        """Create the sink.

        :param router: runs the requests
        :param state: returns the current limits and readiness
        :param post: mailbox of the front task
        :param bodies: limits the bodies that are kept
        :param count_event: counts an event by its name and a label
        :param clock: monotonic time in seconds
        """
        self._bodies = bodies
        self._router = router
        self._state = state
        self._post = post
        self._count_event = count_event
        self._clock = clock

    async def __call__(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Run one request and answer it.

        The front task counts it as pending until then.
        """
        self._post(RequestStarted())
        try:
            await self._run(req, resp)
        finally:
            self._post(RequestFinished())

    async def _run(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        with self._bodies.reserve() as reservation:
            await self._run_with_body(req, resp, reservation)

    async def _run_with_body(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        reservation: Reservation,
    ) -> None:
        started_at = self._clock()
        body = await reservation.read(
            req.stream, self._state().limits.max_body_bytes
        )
        caller_req = decode_request(
            req.method,
            req.scope["raw_path"],
            req.scope["query_string"],
            req.scope["headers"],
            b"" if isinstance(body, ReadStop) else body,
            req.scope.get("state", {}).get(FIRST_REQUEST, False),
        )
        match body:
            case ReadStop.TOO_LONG:
                result = refuse(
                    caller_req, ErrorKind.TOO_LARGE, "the body is too long"
                )
            case ReadStop.MEMORY_USED:
                result = refuse(
                    caller_req,
                    ErrorKind.UNAVAILABLE,
                    "the memory for bodies is used",
                )
            case _:
                result = await self._router.run(caller_req)
        match result:
            case CallerAnswer():
                resp.status = result.status
                resp.data = result.body
                for name, value in result.headers:
                    resp.append_header(name, value)
                self._count_event("answers", str(result.status))
            case Failure():
                self._write_failure(
                    caller_req, result, resp, self._clock() - started_at
                )
        if self._state().is_stopping:
            resp.set_header("Connection", "close")

    def _write_failure(
        self,
        caller_req: CallerRequest,
        failure: Failure,
        resp: falcon.asgi.Response,
        elapsed_s: float,
    ) -> None:
        self._count_event("failures", failure.kind.value)
        resp.status = ERROR_STATUSES[failure.kind].http_status
        resp.media = {"error": failure.kind.value, "reason": failure.reason}
        if resp.status == 503:
            retry_after_s = DEFAULT_RETRY_AFTER_S
            if caller_req.caller_timeout_s is not None:
                remaining_s = max(0.0, caller_req.caller_timeout_s - elapsed_s)
                retry_after_s = remaining_s * RETRY_AFTER_SHARE
            match failure:
                case TemporaryFailure(retry_after_s=known_s):
                    retry_after_s = min(known_s, retry_after_s)
            resp.set_header(*encode_retry_after(retry_after_s))


class ReadinessResource:
    """Reports to the external load balancer whether the node is ready."""

    def __init__(self, state: Callable[[], FrontState]) -> None:
        """Create the resource.

        :param state: returns the current readiness
        """
        self._state = state

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Respond with 200 if the node accepts new callers, else with 503."""
        resp.status = 200 if self._state().is_ready() else 503


class MetricsResource:
    """Serves the metrics in the text format of Prometheus."""

    def __init__(self, render: Callable[[], bytes]) -> None:
        """Create the resource.

        :param render: returns the text of all metrics
        """
        self._render = render

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Respond with all metrics."""
        resp.content_type = "text/plain; version=0.0.4"
        resp.data = self._render()


class RelayResource:
    """Serves other nodes the objects that this node read from the store."""

    def __init__(self, relay: Relay) -> None:
        """Create the resource.

        :param relay: keeps the objects that this node read
        """
        self._relay = relay

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, kind: str
    ) -> None:
        """Respond to a list call or, with a revision in ``watch``, a watch.

        :param kind: kind of the objects
        """
        revision = req.get_param_as_int("watch")
        if revision is None:
            any_age = req.get_param(ANY_AGE) is not None
            relay_response = self._relay.list_objects(kind, any_age)
        else:
            wait_ms = req.get_param_as_int("waitMs", default=0)
            relay_response = await self._relay.watch(
                kind, revision, wait_ms / 1000
            )
        resp.status = relay_response.status
        if relay_response.content is not None:
            resp.data = msgspec.json.encode(relay_response.content)


class PartialQueryResource:
    """Queries some of the shards of a query for another node."""

    def __init__(
        self, serve: Callable, messages: ByteBudget, post: Post
    ) -> None:
        """Create the resource.

        :param serve: takes a ``PartialQueryRequest`` and returns a
            ``PartialQueryResponse`` or a ``Failure``
        :param messages: limits the messages that are kept
        :param post: mailbox of the front task, which counts the request as
            pending
        """
        self._serve = serve
        self._messages = messages
        self._post = post

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Respond with the digests and the merged records.

        A failure is reported by its status alone, without a body.
        """
        number = req.get_header(NUMBER_HEADER)
        if number is not None:
            resp.set_header(NUMBER_HEADER, number)
        self._post(RequestStarted())
        try:
            await self._run(req, resp)
        finally:
            self._post(RequestFinished())

    async def _run(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        with self._messages.reserve() as reservation:
            data = await reservation.read(req.stream, MAX_PARTIAL_QUERY_BYTES)
            match data:
                case ReadStop(value=reason):
                    # Nothing was sent, so the other node can do it itself.
                    message = Failure(ErrorKind.UNAVAILABLE, reason)
                case _:
                    message = decode_partial_request(data)
            match message:
                case Failure(reason=reason):
                    log.warning(
                        "partial query rejected address={} cause={}",
                        req.remote_addr,
                        reason,
                    )
                    resp.status = ERROR_STATUSES[message.kind].http_status
                case PartialQueryRequest():
                    response = await self._serve(message)
                    if isinstance(response, Failure):
                        resp.status = ERROR_STATUSES[response.kind].http_status
                    else:
                        resp.data = encode_partial(response)


def peer_app(
    relay: Relay, serve: Callable, messages: ByteBudget, post: Post
) -> Application:
    """Return the application for other nodes.

    :param serve: takes a ``PartialQueryRequest`` and returns a
        ``PartialQueryResponse`` or a ``Failure``
    :param messages: limits the messages that are kept
    :param post: mailbox of the front task
    """
    app = falcon.asgi.App()
    app.add_route("/partials", PartialQueryResource(serve, messages, post))
    app.add_route("/objects/{kind}", RelayResource(relay))
    return CancelOnDisconnect(app)


def caller_app(sink: CallerSink) -> Application:
    """Return the application for callers."""
    app = falcon.asgi.App()
    app.add_sink(sink, "/")
    return CancelOnDisconnect(app)


def operations_app(
    state: Callable[[], FrontState], render: Callable[[], bytes]
) -> Application:
    """Return the application for the readiness check and metrics."""
    app = falcon.asgi.App()
    app.add_route("/readiness", ReadinessResource(state))
    app.add_route("/metrics", MetricsResource(render))
    return app
