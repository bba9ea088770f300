"""Search task: admits queries and starts a task for each of them."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import itertools
import random

from logbook import Logger

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchAnswer
from kumquatchute_model.settings import Preference
from kumquatchute_model.settings import ServiceSettings
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.mailbox import answer
from kumquatchuted.mailbox import Ask
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.search.admission import Admission
from kumquatchuted.search.admission import admit
from kumquatchuted.search.admission import release
from kumquatchuted.search.budget import ExtraAttemptBudget
from kumquatchuted.search.budget import record_first_attempts
from kumquatchuted.search.budget import record_outcomes
from kumquatchuted.search.budget import take_extras
from kumquatchuted.search.latency import LatencyWindow
from kumquatchuted.search.messages import QueryReport
from kumquatchuted.search.messages import SearchCall
from kumquatchuted.search.messages import StopSearches
from kumquatchuted.search.plan import make_plan
from kumquatchuted.search.plan import Plan
from kumquatchuted.search.query import Query
from kumquatchuted.search.query_events import ExtrasGranted
from kumquatchuted.search.query_events import QueryStats
from kumquatchuted.search.query_events import QueryTiming
from kumquatchuted.search.query_events import Replanned
from kumquatchuted.search.query_task import ExtrasRequested
from kumquatchuted.search.query_task import PlanRequested
from kumquatchuted.search.query_task import QueryFinished
from kumquatchuted.search.query_task import QueryTask
from kumquatchuted.search.routing import build_routing
from kumquatchuted.search.routing import OwnerLookup
from kumquatchuted.search.routing import Routing
from kumquatchuted.search.routing import RoutingChanged
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

log = Logger("search")


class SearchTask:
    """Owns the routing, the admission limit and the budget of extra attempts.

    :param node: name of this node; with the incarnation, it prefixes the
        identifiers of queries and attempts
    :param find_owner: returns the member that owns a searcher
    :param dispatch: posts to the dispatch task
    :param listeners: receive a ``QueryReport`` of each call
    :param clock: monotonic time in seconds
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        services: tuple[ServiceSettings, ...],
        find_owner: OwnerLookup,
        dispatch: Post,
        listeners: tuple[Post, ...],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create the task; nothing is handled until ``run`` is called."""
        self.mailbox = Mailbox()
        self._prefix = f"{node}.{incarnation}"
        self._services: Mapping[str, ServiceSettings] = {
            service.name: service for service in services
        }
        self._find_owner = find_owner
        self._dispatch = dispatch
        self._listeners = listeners
        self._clock = clock
        self._rng = rng
        self._view = View()
        self._catalog = Catalog()
        self._placement = Placement(node, incarnation, Membership(0))
        self._routing: Routing | None = None
        self._current_until = 0.0
        self._admission = Admission()
        self._extra_budget = ExtraAttemptBudget()
        self._latency_windows: dict[str, LatencyWindow] = {
            name: LatencyWindow() for name in self._services
        }
        self._queries: dict[str, QueryTask] = {}
        self._query_numbers = itertools.count(1)
        self._stop_request: Ask | None = None

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._handle(group, await self.mailbox.get())

    def _handle(self, group: asyncio.TaskGroup, message: object) -> None:
        match message:
            case Ask(request=SearchCall()):
                self._handle_search(group, message)
            case QueryFinished():
                self._handle_query_finished(message)
            case ExtrasRequested(query=name, count=count):
                self._extra_budget, granted = take_extras(
                    self._extra_budget, count
                )
                self._post_to_query(name, ExtrasGranted(granted))
            case PlanRequested(query=name, call=call):
                self._post_to_query(name, Replanned(self._replan(call)))
            case ViewChanged(view=view):
                self._view = view
                self._update_routing()
            case CatalogChanged(catalog=catalog):
                self._catalog = catalog
                self._update_routing()
            case PlacementChanged(placement=placement):
                self._placement = placement
                self._update_routing()
            case CurrentUntil(until=until):
                self._current_until = until
            case Ask(request=StopSearches()):
                self._stop_request = message
                self._answer_stop_if_idle()

    def _post_to_query(self, name: str, message: object) -> None:
        query = self._queries.get(name)
        if query is not None:
            query.mailbox.post(message)

    def _update_routing(self) -> None:
        """Rebuild the routing and send it to all running queries."""
        self._routing = build_routing(
            self._view, self._catalog, self._placement, self._find_owner
        )
        for query in self._queries.values():
            query.mailbox.post(RoutingChanged(self._routing))

    def _handle_search(self, group: asyncio.TaskGroup, message: Ask) -> None:
        call = message.request
        failure = self._precondition_failure(call)
        plan = failure or make_plan(call.service, call.request, self._routing)
        if isinstance(plan, Failure):
            self._refuse(message, plan)
            return
        admitted = admit(self._admission, call.batch)
        if admitted is None:
            reason = (
                f"{self._admission.running} queries are running, which is "
                "the limit"
            )
            self._refuse(
                message, Failure(ErrorKind.OVERLOADED, reason, not_run=True)
            )
            return
        self._admission = admitted
        self._start_query(group, message, plan)

    def _start_query(
        self, group: asyncio.TaskGroup, message: Ask, plan: Plan
    ) -> None:
        name = f"{self._prefix}.{next(self._query_numbers)}"
        query = Query(
            name, plan, self._routing, self._timing(message.request), self._rng
        )
        task = QueryTask(
            name,
            message,
            query,
            self._dispatch,
            self.mailbox.post,
            self._clock,
        )
        self._queries[name] = task
        group.create_task(task.run())

    def _precondition_failure(self, call: SearchCall) -> Failure | None:
        if self._stop_request is not None:
            return Failure(
                ErrorKind.STOPPING, "this node is shutting down", not_run=True
            )
        if call.service not in self._services:
            return Failure(
                ErrorKind.UNKNOWN_SERVICE,
                f"service {call.service} is not in the settings",
                not_run=True,
            )
        if self._routing is None or self._clock() >= self._current_until:
            return Failure(
                ErrorKind.NOT_CURRENT,
                "this node can reach neither the platform nor enough peers",
                not_run=True,
            )
        return None

    def _refuse(self, message: Ask, failure: Failure) -> None:
        log.info(
            "query refused kind={} cause={}",
            failure.kind.value,
            failure.reason,
        )
        answer(message, failure)
        self._report(message.request, failure, None)

    def _report(
        self,
        call: SearchCall,
        result: SearchAnswer | Failure,
        stats: QueryStats | None,
    ) -> None:
        for post in self._listeners:
            post(QueryReport(call, result, stats))

    def _timing(self, call: SearchCall) -> QueryTiming:
        service = self._services[call.service]
        started = call.received_at
        deadline = started + call.request.deadline_ms / 1000
        soft = None
        if service.prefer is Preference.LATENCY:
            soft = started + service.soft_deadline_ms / 1000
        hedge_delay = None
        if service.hedging:
            hedge_delay = self._latency_windows[call.service].hedge_delay()
        return QueryTiming(
            started, deadline, soft, hedge_delay, service.expected_ms / 1000
        )

    def _replan(self, call: SearchCall) -> Plan | None:
        plan = make_plan(call.service, call.request, self._routing)
        return None if isinstance(plan, Failure) else plan

    def _handle_query_finished(self, message: QueryFinished) -> None:
        self._queries.pop(message.query, None)
        stats = message.stats
        window = self._latency_windows[message.call.service]
        for latency_s in message.latencies:
            window.record(latency_s)
        self._extra_budget = record_first_attempts(
            self._extra_budget, stats.first_attempts
        )
        self._extra_budget = record_outcomes(
            self._extra_budget, stats.answered, stats.failed
        )
        overloaded_fraction = (
            stats.overloaded / stats.shards if stats.shards else 0.0
        )
        self._admission = release(
            self._admission, overloaded_fraction, self._clock()
        )
        self._report(message.call, message.result, stats)
        self._answer_stop_if_idle()

    def _answer_stop_if_idle(self) -> None:
        if self._stop_request is not None and not self._queries:
            answer(self._stop_request, None)
