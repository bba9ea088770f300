"""Runs callers' requests on the routes that match them."""

from collections.abc import Callable
from dataclasses import dataclass

from logbook import Logger

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.errors import TemporaryFailure
from kumquatchuted.forward.task import ForwardTask
from kumquatchuted.front.deadlines import plan_deadlines
from kumquatchuted.front.deadlines import RequestDeadlines
from kumquatchuted.front.messages import FrontState
from kumquatchuted.front.open_requests import OpenRequests
from kumquatchuted.front.shutdown import limit_deadlines
from kumquatchuted.gather.merge import merge_records
from kumquatchuted.gather.task import GatherTask
from kumquatchuted.mailbox import Post
from kumquatchuted.platform.callers import CallerRequest
from kumquatchuted.platform.callers import encode_coverage
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import Route
from kumquatchuted.routing.messages import SplitServices
from kumquatchuted.routing.split import initial_split
from kumquatchuted.routing.split import next_service
from kumquatchuted.routing.split import SplitState
from kumquatchuted.routing.table import find_route
from kumquatchuted.searchers.messages import RequestReceived

log = Logger("request")


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Answer to a caller, as an HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Router:
    """Owns the round-robin state of split routes and runs requests."""

    def __init__(
        self,
        state: Callable[[], FrontState],
        post: Post,
        post_partial: Post,
        open_requests: OpenRequests,
        clock: Callable[[], float],
        observe: Callable[[str, float], None] = lambda kind, seconds: None,
    ) -> None:
        """Create a router.

        :param state: returns the routes in force
        :param post: mailbox of the task of searchers
        :param post_partial: mailbox of the task of partial queries
        :param open_requests: lists the requests while they run
        :param clock: monotonic time in seconds
        :param observe: records the kind of a request and its duration in
            seconds
        """
        self._state = state
        self._post = post
        self._post_partial = post_partial
        self._open_requests = open_requests
        self._observe = observe
        self._clock = clock
        self._split_states: dict[str, SplitState] = {}
        self._longest_timeouts_s: dict[str, float] = {}

    async def run(self, req: CallerRequest) -> CallerAnswer | Failure:
        """Run a request and log its outcome.

        It is cancelled when the caller disconnects.
        """
        state = self._state()
        table = state.table
        if table is None:
            return refuse(
                req, ErrorKind.UNAVAILABLE, "no manifest was read yet"
            )
        route = find_route(table, req.host, req.path)
        if route is None:
            return refuse(req, ErrorKind.NOT_FOUND, "no route matches")
        started_at = self._clock()
        deadlines = self._plan_deadlines(route, req, started_at)
        if deadlines.deadline <= started_at:
            return refuse(
                req,
                ErrorKind.UNAVAILABLE,
                "the time limit has passed",
                route.name,
            )
        if state.shutdown is not None:
            deadlines = limit_deadlines(
                state.shutdown,
                deadlines,
                route.idempotent,
                route.objective_s,
                started_at,
            )
            if deadlines is None:
                return _refuse_before_exit(req, route)
        match route.destination:
            case AllShards() as shards:
                result, attempts, detail = await self._gather(
                    route, shards, req, deadlines
                )
            case OneService(service=service):
                result, attempts, detail = await self._forward(
                    route, service, req, deadlines
                )
            case SplitServices():
                service = self._next_service(route)
                result, attempts, detail = await self._forward(
                    route, service, req, deadlines
                )
        elapsed_s = self._clock() - started_at
        is_query = isinstance(route.destination, AllShards)
        self._observe("query" if is_query else "single", elapsed_s)
        _log_result(
            req, route, table.version, result, attempts, detail, elapsed_s
        )
        return result

    async def _gather(
        self,
        route: Route,
        shards: AllShards,
        req: CallerRequest,
        deadlines: RequestDeadlines,
    ) -> tuple[CallerAnswer | Failure, int, str]:
        task = GatherTask(
            route,
            shards,
            req.outgoing,
            deadlines.soft_deadline,
            deadlines.deadline,
            self._post,
            self._clock,
            self._post_partial,
        )
        with self._open_requests.entry(task.mailbox):
            finish = await task.run()
        if finish.failure is not None:
            return finish.failure, task.attempt_count, finish.failure.reason
        body = merge_records(
            (response.body for response in finish.responses), shards.top_k
        )
        headers = encode_coverage(finish.responses, finish.missing)
        detail = f"missing={finish.missing}"
        return CallerAnswer(200, headers, body), task.attempt_count, detail

    async def _forward(
        self,
        route: Route,
        service: str,
        req: CallerRequest,
        deadlines: RequestDeadlines,
    ) -> tuple[CallerAnswer | Failure, int, str]:
        self._post(RequestReceived((service,)))
        task = ForwardTask(
            route,
            service,
            req.outgoing,
            deadlines.deadline,
            self._post,
            self._clock,
        )
        with self._open_requests.entry(task.mailbox):
            forwarded = await task.run()
        if forwarded.response is None:
            return (
                forwarded.failure,
                task.attempt_count,
                forwarded.failure.reason,
            )
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in forwarded.response.headers
        )
        answer = CallerAnswer(
            forwarded.response.status, headers, forwarded.response.body
        )
        return answer, task.attempt_count, f"service={service}"

    def _plan_deadlines(
        self, route: Route, req: CallerRequest, now: float
    ) -> RequestDeadlines:
        longest_timeout_s = self._longest_timeouts_s.get(route.name, 0.0)
        if (
            req.caller_timeout_s is not None
            and req.caller_timeout_s > longest_timeout_s
        ):
            longest_timeout_s = self._longest_timeouts_s[route.name] = (
                req.caller_timeout_s
            )
        return plan_deadlines(
            now,
            route.objective_s,
            route.timeout_s,
            req.caller_timeout_s,
            longest_timeout_s,
            req.is_first_on_connection,
        )

    def _next_service(self, route: Route) -> str:
        services = route.destination.services
        split = self._split_states.get(route.name)
        if split is None or split.services != services:
            split = initial_split(services)
        self._split_states[route.name], service = next_service(split)
        return service


def refuse(
    req: CallerRequest, kind: ErrorKind, reason: str, route: str = "None"
) -> Failure:
    """Log and return the failure of a request that was not run.

    :param route: name of its route; ``None`` in the log if none was chosen
    """
    log.warning(
        "id={} route={} manifest=None attempts=0 outcome={} ms=0 {}",
        req.request_id,
        route,
        kind.value,
        reason,
    )
    return Failure(kind, reason, not_run=True)


def _refuse_before_exit(req: CallerRequest, route: Route) -> Failure:
    """Refuse a request that could not be answered before the exit.

    Another node can serve it at once.
    """
    failure = refuse(
        req,
        ErrorKind.STOPPING,
        "the node exits before the request could be answered",
        route.name,
    )
    return TemporaryFailure(
        failure.kind, failure.reason, failure.not_run, retry_after_s=0.0
    )


def _log_result(
    req: CallerRequest,
    route: Route,
    version: int,
    result: CallerAnswer | Failure,
    attempts: int,
    detail: str,
    elapsed_s: float,
) -> None:
    failed = isinstance(result, Failure)
    outcome = result.kind.value if failed else result.status
    write = log.warning if failed else log.info
    write(
        "id={} route={} manifest={} attempts={} outcome={} ms={:.0f} {}",
        req.request_id,
        route.name,
        version,
        attempts,
        outcome,
        elapsed_s * 1000,
        detail,
    )
