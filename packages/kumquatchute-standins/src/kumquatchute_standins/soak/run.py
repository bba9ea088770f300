"""Runs the plan of one seed on a site and checks the promises."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

from kumquatchute_standins.platform.fleet.disturbances import Step
from kumquatchute_standins.platform.fleet.run import Load
from kumquatchute_standins.platform.fleet.run import Record
from kumquatchute_standins.platform.fleet.run import SiteRun
from kumquatchute_standins.platform.fleet.site import Shape
from kumquatchute_standins.soak import checks
from kumquatchute_standins.soak.plan import draw_plan
from kumquatchute_standins.soak.plan import LENGTH_S

SHAPE = Shape(
    nodes=("a", "a", "b"),
    shards=6,
    replicas=("a", "b"),
    singles=("a", "b"),
    proxied=True,
)
PER_S = 20.0
# The last requests of a run, in seconds, must be served again.
TAIL_S = 3.5


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a seed showed.

    :param steps: what was disturbed
    :param faults: broken promises
    """

    seed: int
    steps: tuple[Step, ...]
    requests: int
    served: int
    faults: tuple[str, ...]


def judge(seed: int, steps: tuple[Step, ...], record: Record) -> Outcome:
    """Check what callers and searchers saw against the promises."""
    arrivals = list(record.arrivals)
    queries = [item.seen for item in record.queries]
    tail = [
        item.seen for item in record.queries if item.at > record.ended - TAIL_S
    ]
    faults = (
        *record.faults,
        *checks.check_cold(record.cold),
        *checks.check_answers([*queries, *record.once]),
        *checks.check_once(record.once, arrivals),
        *checks.check_attempts(queries, arrivals, most=2),
        *checks.check_absences(record.absences, arrivals, record.well_since),
        *checks.check_recovery(tail),
    )
    served = sum(item.status == 200 for item in queries)
    return Outcome(seed, steps, len(queries), served, faults)


def run_seed(seed: int, folder: Path) -> Outcome:
    """Run one seed.

    :param folder: receives settings and logs of the nodes
    """
    folder.mkdir(parents=True, exist_ok=True)
    run = SiteRun(SHAPE, Load(PER_S, LENGTH_S), folder)
    site = run.site
    steps = draw_plan(
        seed, len(site.nodes), len(site.searchers), len(site.links), "ab"
    )
    return judge(seed, steps, asyncio.run(run.play(steps)))
