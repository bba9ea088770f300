"""Plays a day on one or more versions of the nodes."""

import asyncio
from collections.abc import Iterator
from pathlib import Path
import random

from kumquatchute_bench.fleet_runs.files import check_numbers
from kumquatchute_bench.fleet_runs.files import Day
from kumquatchute_bench.fleet_runs.files import Deployment
from kumquatchute_bench.fleet_runs.measure import summarise
from kumquatchute_bench.fleet_runs.measure import Summary
from kumquatchute_standins.platform.fleet.run import Load
from kumquatchute_standins.platform.fleet.run import SiteRun

THIS_VERSION = "this checkout"


def play(
    deployment: Deployment,
    day: Day,
    folder: Path,
    against: tuple[Path, ...] = (),
    repeats: int = 1,
    seed: int = 1,
) -> Iterator[Summary]:
    """Play a day on all versions and yield the figures of each run.

    The order of the versions is drawn anew in each round, so that none of
    them gains from what else the machine does.

    :param folder: receives settings and logs of the nodes
    :param against: other checkouts whose nodes run too
    :param seed: decides the order
    :raises DescriptionError: the day names what the deployment lacks
    """
    rng = random.Random(seed)
    versions: list[Path | None] = [None, *against]
    for number in range(repeats):
        rng.shuffle(versions)
        for source in versions:
            name = THIS_VERSION if source is None else str(source)
            place = folder / f"{number}-{versions.index(source)}"
            place.mkdir(parents=True, exist_ok=True)
            load = Load(deployment.per_s, day.length_s)
            run = SiteRun(deployment.shape, load, place, source)
            site = run.site
            check_numbers(
                day, len(site.nodes), len(site.searchers), len(site.links)
            )
            yield summarise(name, asyncio.run(run.run_steps(day.steps)))
