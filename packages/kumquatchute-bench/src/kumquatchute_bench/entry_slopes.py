"""Processor time of a query on its entry node."""

import random
import time

from kumquatchute_bench.cpu import async_cpu_point
from kumquatchute_bench.cpu import cpu_point
from kumquatchute_bench.fit import fit
from kumquatchute_bench.fit import Point
from kumquatchute_bench.fit import Slope
from kumquatchute_bench.harness import run_tasks
from kumquatchute_bench import samples
from kumquatchute_model.settings import ServiceSettings
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.mailbox import ask
from kumquatchuted.peers.messages import SendAttempt
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.placement.ownership import owner
from kumquatchuted.search.messages import SearchCall
from kumquatchuted.search.plan import make_plan
from kumquatchuted.search.query import Query
from kumquatchuted.search.query_events import Action
from kumquatchuted.search.query_events import Finish
from kumquatchuted.search.query_events import OutcomeArrived
from kumquatchuted.search.query_events import QueryTiming
from kumquatchuted.search.query_events import Send
from kumquatchuted.search.query_events import Started
from kumquatchuted.search.routing import build_routing
from kumquatchuted.search.routing import Routing
from kumquatchuted.search.task import SearchTask
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

SHARD_COUNTS = (20, 60, 120, 220)
NODE_COUNT = 4
TIMING = QueryTiming(0.0, 1.0, 0.08, 0.02)


def query_slopes() -> list[Slope]:
    """Measure the decision modules of a query by its number of shards."""
    start_points, query_points = [], []
    for shards in SHARD_COUNTS:
        routing = build_routing(
            View(),
            samples.catalog(shards),
            samples.placement(NODE_COUNT),
            owner,
        )
        start_points.append(cpu_point(shards, lambda: _start_query(routing)))
        query_points.append(cpu_point(shards, lambda: _run_query(routing)))
    return [
        fit(
            "entry: plan and first attempts",
            "shards",
            "us/query",
            start_points,
        ),
        fit(
            "entry: plan, attempts, answers and merge",
            "shards",
            "us/query",
            query_points,
            "decision modules alone, without mailboxes",
        ),
    ]


def _start_query(routing: Routing) -> tuple[Query, tuple[Action, ...]]:
    plan = make_plan(samples.SERVICE, samples.REQUEST, routing)
    query = Query("q", plan, routing, TIMING, random.Random(1))
    return query, query.handle(Started(), 0.0)


def _run_query(routing: Routing) -> None:
    query, actions = _start_query(routing)
    sends = [action for action in actions if isinstance(action, Send)]
    for send in sends:
        attempt = send.attempt
        result = samples.search_result(
            attempt.attempt, attempt.searcher, attempt.shard
        )
        actions = query.handle(OutcomeArrived(result), 0.01)
    if not isinstance(actions[-1], Finish):
        raise AssertionError("the query did not finish")


async def search_task_slope() -> Slope:
    """Measure complete queries whose attempts are answered at once."""
    return fit(
        "entry: search task",
        "shards",
        "us/query",
        [await _search_task_point(shards) for shards in SHARD_COUNTS],
        "with mailboxes and query task, answers at once",
    )


async def _search_task_point(shards: int) -> Point:
    task = SearchTask(
        "n0",
        "0123456789ab",
        (ServiceSettings(samples.SERVICE),),
        owner,
        _answer_at_once,
        (),
        time.monotonic,
        random.Random(1),
    )

    async def search() -> None:
        call = SearchCall(
            "c", False, samples.SERVICE, samples.REQUEST, time.monotonic()
        )
        await ask(task.mailbox.post, call)

    async with run_tasks(task):
        task.mailbox.post(CatalogChanged(samples.catalog(shards)))
        task.mailbox.post(ViewChanged(View()))
        task.mailbox.post(PlacementChanged(samples.placement(NODE_COUNT)))
        task.mailbox.post(CurrentUntil(samples.FAR_FUTURE))
        return await async_cpu_point(shards, search, 4000 // shards)


def _answer_at_once(message: object) -> None:
    match message:
        case SendAttempt(attempt=attempt, reply=reply):
            reply(
                samples.search_result(
                    attempt.attempt, attempt.searcher, attempt.shard
                )
            )
