"""Runs the plan of one seed on a site and checks the guarantees."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
import time

from kumquatchute_standins.platform.fleet.disturbances import Step
from kumquatchute_standins.platform.fleet.run import Load
from kumquatchute_standins.platform.fleet.run import RunRecord
from kumquatchute_standins.platform.fleet.run import SiteRun
from kumquatchute_standins.platform.fleet.site import Shape
from kumquatchute_standins.soak import checks
from kumquatchute_standins.soak.plan import draw_plan
from kumquatchute_standins.soak.plan import FIRST_SEED_WITH_ANSWERS
from kumquatchute_standins.soak.plan import RUN_LENGTH_S
from kumquatchute_standins.soak.trace import write_trace

SHAPE = Shape(
    nodes=("a", "a", "b"),
    shards=6,
    replicas=("a", "b"),
    singles=("a", "b"),
    proxied=True,
)
# The node in c has no local searcher and delegates queries to other nodes.
SHAPE_WITH_PEERS = Shape(
    nodes=("a", "a", "b", "c"),
    shards=6,
    replicas=("a", "b"),
    singles=("a", "b"),
    proxied=True,
)
# As many processes as on a few machines of the users; about 2.5 GB of memory.
LARGE_SHAPE = Shape(
    nodes=("a", "b", "c") * 20,
    shards=16,
    replicas=("a", "b"),
    singles=("a", "b", "c"),
    proxied=True,
)
QUERIES_PER_S = 20.0
# From FIRST_SEED_WITH_ANSWERS on, each node also has callers on connections
# that they keep until the node closes them. One of them sends several
# requests at once.
KEPT_CALLERS = 2
KEPT_CALLERS_OF_LARGE = 1
PIPELINE = 3
# Seeds below this one keep the plans that they had before links between nodes
# had proxies, so that they still reproduce what was found with them.
FIRST_SEED_WITH_PEER_LINKS = 10_000
# Requests sent in this time before the end of a run must be served again.
RECOVERY_WINDOW_S = 3.5


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of the run of a seed.

    :param steps: disturbances of the run
    :param requests: number of queries
    :param served: number of queries that were answered with 200
    :param calls: number of requests of callers on kept connections
    :param max_lag_s: longest time for which the run itself was late
    :param violations: a message for each violated guarantee
    """

    seed: int
    steps: tuple[Step, ...]
    requests: int
    served: int
    calls: int
    max_lag_s: float
    violations: tuple[str, ...]


def check_guarantees(
    seed: int,
    steps: tuple[Step, ...],
    record: RunRecord,
    shards: tuple[str, ...],
) -> Outcome:
    """Check the results of callers and the arrivals at searchers.

    :param shards: services that a query covers
    :returns: result of the seed, with a message for each violated guarantee
    """
    arrivals = list(record.arrivals)
    results = [query.result for query in record.queries]
    last_results = [
        query.result
        for query in record.queries
        if query.sent_at > record.ended - RECOVERY_WINDOW_S
    ]
    # The manifest allows two attempts, so that a query reaches at most two
    # searchers of a shard.
    violations = (
        *record.shutdown_failures,
        *checks.check_cold_limits(record.cold_peaks),
        *checks.check_answers([*results, *record.submissions]),
        *checks.check_sent(results, record.ledger, shards),
        *checks.check_sent(record.submissions, record.ledger, ()),
        *checks.check_calls(record.calls, record.ledger, shards),
        *checks.check_at_most_once(record, arrivals),
        *checks.check_abandoned(record.abandoned, arrivals),
        *checks.check_attempts(record, arrivals, max_searchers=2),
        *checks.check_absences(
            record.absences, arrivals, record.last_disturbed_at
        ),
        *checks.check_stated_limits(
            record.limits, arrivals, record.last_disturbed_at
        ),
        *checks.check_recovery(last_results),
    )
    served = sum(result.status == 200 for result in results)
    return Outcome(
        seed,
        steps,
        len(results),
        served,
        len(record.calls),
        record.max_lag_s,
        violations,
    )


def run_seed(
    seed: int, folder: Path, large: bool = False, source: Path | None = None
) -> Outcome:
    """Run one seed.

    :param folder: folder for settings and logs of the nodes
    :param large: whether to run the site of sixty nodes; it has no effect on
        seeds below ``FIRST_SEED_WITH_PEER_LINKS``
    :param source: checkout whose nodes run, None for this one
    """
    folder.mkdir(parents=True, exist_ok=True)
    shape = LARGE_SHAPE if large else SHAPE_WITH_PEERS
    if seed < FIRST_SEED_WITH_PEER_LINKS:
        shape = SHAPE
    load = Load(QUERIES_PER_S, RUN_LENGTH_S)
    if seed >= FIRST_SEED_WITH_ANSWERS:
        callers = KEPT_CALLERS_OF_LARGE if large else KEPT_CALLERS
        load = Load(QUERIES_PER_S, RUN_LENGTH_S, callers, PIPELINE, seed)
    run = SiteRun(shape, load, folder, source)
    site = run.site
    links = len(site.links)
    if seed < FIRST_SEED_WITH_PEER_LINKS:
        links -= len(site.nodes)
    steps = draw_plan(seed, len(site.nodes), len(site.searchers), links, "ab")
    record = asyncio.run(run.run_steps(steps))
    write_trace(record, folder, time.time() - time.monotonic())
    return check_guarantees(seed, steps, record, site.shard_names)
