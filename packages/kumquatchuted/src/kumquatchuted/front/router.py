"""Runs a caller's request on its route."""

from collections.abc import Callable
from dataclasses import dataclass

from logbook import Logger

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.forward.task import ForwardTask
from kumquatchuted.front.messages import FrontState
from kumquatchuted.front.times import plan_times
from kumquatchuted.front.times import Times
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
class Answer:
    """What a caller receives."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Router:
    """Owns the credits of split routes and starts the task of a request."""

    def __init__(
        self,
        state: Callable[[], FrontState],
        post: Post,
        delegate: Post,
        clock: Callable[[], float],
        observe: Callable[[str, float], None] = lambda kind, seconds: None,
    ) -> None:
        """Create a router.

        :param state: returns the manifest in force
        :param post: mailbox of the task of searchers
        :param delegate: mailbox of the task of partial queries
        :param observe: records the time of a request by its kind
        """
        self._state = state
        self._post = post
        self._delegate = delegate
        self._observe = observe
        self._clock = clock
        self._splits: dict[str, SplitState] = {}
        self._longest: dict[str, float] = {}

    async def run(self, req: CallerRequest) -> Answer | Failure:
        """Run a request; cancelled when its caller leaves."""
        table = self._state().table
        if table is None:
            return refuse(
                req, ErrorKind.UNAVAILABLE, "no manifest was read yet"
            )
        route = find_route(table, req.host, req.path)
        if route is None:
            return refuse(req, ErrorKind.NOT_FOUND, "no route matches")
        started = self._clock()
        times = self._times(route, req, started)
        if times.give_up_at <= started:
            return refuse(
                req,
                ErrorKind.UNAVAILABLE,
                "the time limit has passed",
                route.name,
            )
        match route.destination:
            case AllShards() as shards:
                result, attempts, detail = await self._gather(
                    route, shards, req, times
                )
            case OneService(service=service):
                result, attempts, detail = await self._forward(
                    route, service, req, times
                )
            case SplitServices():
                service = self._next_service(route)
                result, attempts, detail = await self._forward(
                    route, service, req, times
                )
        took_s = self._clock() - started
        is_query = isinstance(route.destination, AllShards)
        self._observe("query" if is_query else "single", took_s)
        _log_end(req, route, table.version, result, attempts, detail, took_s)
        return result

    async def _gather(
        self,
        route: Route,
        shards: AllShards,
        req: CallerRequest,
        times: Times,
    ) -> tuple[Answer | Failure, int, str]:
        task = GatherTask(
            route,
            shards,
            req.outgoing,
            times.answer_at,
            times.give_up_at,
            self._post,
            self._clock,
            self._delegate,
        )
        finish = await task.run()
        if finish.failure is not None:
            return finish.failure, task.attempts, finish.failure.reason
        body = merge_records(
            (part.body for part in finish.responses), shards.top_k
        )
        headers = encode_coverage(finish.responses, finish.missing)
        detail = f"missing={finish.missing}"
        return Answer(200, headers, body), task.attempts, detail

    async def _forward(
        self, route: Route, service: str, req: CallerRequest, times: Times
    ) -> tuple[Answer | Failure, int, str]:
        self._post(RequestReceived((service,)))
        task = ForwardTask(
            route,
            service,
            req.outgoing,
            times.give_up_at,
            self._post,
            self._clock,
        )
        end = await task.run()
        if end.response is None:
            return end.failure, task.attempts, end.failure.reason
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in end.response.headers
        )
        answer = Answer(end.response.status, headers, end.response.body)
        return answer, task.attempts, f"service={service}"

    def _times(self, route: Route, req: CallerRequest, now: float) -> Times:
        longest = self._longest.get(route.name, 0.0)
        if req.patience_s is not None and req.patience_s > longest:
            longest = self._longest[route.name] = req.patience_s
        return plan_times(
            now, route.objective_s, route.timeout_s, req.patience_s, longest
        )

    def _next_service(self, route: Route) -> str:
        services = route.destination.services
        split = self._splits.get(route.name)
        if split is None or split.services != services:
            split = initial_split(services)
        self._splits[route.name], service = next_service(split)
        return service


def refuse(
    req: CallerRequest, kind: ErrorKind, reason: str, route: str = "None"
) -> Failure:
    """Log and return the failure of a request that was not started.

    :param route: name of its route, if that is known
    """
    log.warning(
        "id={} route={} manifest=None attempts=0 outcome={} ms=0 {}",
        req.request_id,
        route,
        kind.value,
        reason,
    )
    return Failure(kind, reason, not_run=True)


def _log_end(
    req: CallerRequest,
    route: Route,
    version: int,
    result: Answer | Failure,
    attempts: int,
    detail: str,
    took_s: float,
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
        took_s * 1000,
        detail,
    )
