"""Entry point: ``python -m kumquatchute_bench.fleet_runs``."""

from pathlib import Path
import sys
from typing import Annotated

import typer

from kumquatchute_bench.fleet_runs.core import run_day
from kumquatchute_bench.fleet_runs.files import DescriptionError
from kumquatchute_bench.fleet_runs.files import read_day
from kumquatchute_bench.fleet_runs.files import read_deployment
from kumquatchute_bench.fleet_runs.report import write_report


def main(
    deployment: Annotated[
        Path, typer.Option(help="Description of the deployment, in YAML.")
    ],
    day: Annotated[
        Path, typer.Option(help="Description of the day, in YAML.")
    ],
    out: Annotated[
        Path, typer.Option(help="Folder for the report, plots and logs.")
    ] = Path("runs-out"),
    against: Annotated[
        list[Path] | None,
        typer.Option(help="Another checkout to compare with; repeatable."),
    ] = None,
    repeats: Annotated[int, typer.Option(help="Runs of each version.")] = 1,
    seed: Annotated[
        int, typer.Option(help="Seed of the order of the versions.")
    ] = 1,
) -> None:
    """Run a day of load and faults on an emulated deployment."""
    try:
        runs = []
        for run in run_day(
            read_deployment(deployment),
            read_day(day),
            out,
            tuple(against or ()),
            repeats,
            seed,
        ):
            print(
                f"{run.version}: {run.answered} of {run.sent} answered,"
                f" {run.complete} complete, {run.wrong} wrong,"
                f" p99 {run.percentiles_ms[99.0]:.0f} ms",
                flush=True,
            )
            runs.append(run)
    except DescriptionError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(2)
    write_report(out, f"{day.stem} on {deployment.stem}", tuple(runs))
    wrong = any(run.wrong or run.shutdown_failures for run in runs)
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    typer.run(main)
