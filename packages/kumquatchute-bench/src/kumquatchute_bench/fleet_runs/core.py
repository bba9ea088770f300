"""Runs a day with one or more versions of the nodes."""

import asyncio
from collections.abc import Iterator
from pathlib import Path
import random

from kumquatchute_bench.fleet_runs.files import check_indexes
from kumquatchute_bench.fleet_runs.files import Day
from kumquatchute_bench.fleet_runs.files import Deployment
from kumquatchute_bench.fleet_runs.measure import RunSummary
from kumquatchute_bench.fleet_runs.measure import summarise_run
from kumquatchute_standins.platform.fleet.run import Load
from kumquatchute_standins.platform.fleet.run import SiteRun

THIS_VERSION = "this checkout"


def run_day(
    deployment: Deployment,
    day: Day,
    folder: Path,
    against: tuple[Path, ...] = (),
    repeats: int = 1,
    seed: int = 1,
) -> Iterator[RunSummary]:
    """Run a day with all versions and yield the figures of each run.

    Each round shuffles the order of the versions, so that other load on the
    machine favours none of them.

    :param folder: where settings and logs of the nodes are written
    :param against: other checkouts to compare with
    :param repeats: runs of each version
    :param seed: seed of the order of the versions
    :raises DescriptionError: the day disturbs something that the deployment
        does not have
    """
    rng = random.Random(seed)
    versions: list[Path | None] = [None, *against]
    for repeat in range(repeats):
        rng.shuffle(versions)
        for checkout in versions:
            name = THIS_VERSION if checkout is None else str(checkout)
            run_folder = folder / f"{repeat}-{versions.index(checkout)}"
            run_folder.mkdir(parents=True, exist_ok=True)
            load = Load(deployment.per_s, day.length_s)
            run = SiteRun(deployment.shape, load, run_folder, checkout)
            site = run.site
            check_indexes(
                day, len(site.nodes), len(site.searchers), len(site.links)
            )
            yield summarise_run(name, asyncio.run(run.run_steps(day.steps)))
