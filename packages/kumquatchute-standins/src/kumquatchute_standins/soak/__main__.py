"""Runs the soak over many seeds, several in parallel."""

from concurrent.futures import as_completed
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
import random
import sys
import time
from typing import Annotated

import typer

from kumquatchute_standins.soak.plan import FIRST_SEED_WITH_LIMITS
from kumquatchute_standins.soak.run import Outcome
from kumquatchute_standins.soak.run import run_seed

# A run uses up to four nodes and a process for the rest of its site. With this
# many runs the soak stays far below half of the memory of the smallest machine
# on which the project is tested.
MAX_PARALLEL_RUNS = 3


def report(outcome: Outcome) -> None:
    """Print a line for a seed, and its steps if a guarantee was violated."""
    state = "FAILED" if outcome.violations else "ok"
    print(
        f"seed {outcome.seed}: {state},"
        f" {outcome.served} of {outcome.requests} queries served,"
        f" {outcome.calls} requests on kept connections,"
        f" {len(outcome.steps)} disturbances,"
        f" at most {1000 * outcome.max_lag_s:.0f} ms late",
        flush=True,
    )
    if outcome.violations:
        for violation in outcome.violations:
            print(f"  {violation}")
        for step in outcome.steps:
            print(
                f"    {step.at:.2f} s, {step.for_s:.2f} s: {step.disturbance}"
            )


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 50,
    first: Annotated[
        int | None, typer.Option(help="First seed; drawn if not given.")
    ] = None,
    minutes: Annotated[
        float, typer.Option(help="Start no seed after this time.")
    ] = 60.0,
    large: Annotated[
        bool, typer.Option(help="Sixty nodes, one seed at a time.")
    ] = False,
    folder: Annotated[
        Path, typer.Option(help="Folder for settings and logs of each seed.")
    ] = Path("soak-out"),
    source: Annotated[
        Path | None, typer.Option(help="Checkout whose nodes run.")
    ] = None,
) -> None:
    """Run real nodes under random faults and check their guarantees."""
    first_seed = first
    if first_seed is None:
        first_seed = random.randrange(FIRST_SEED_WITH_LIMITS, 1_000_000_000)
    deadline = time.monotonic() + minutes * 60
    failed = finished = 0
    with ProcessPoolExecutor(1 if large else MAX_PARALLEL_RUNS) as pool:
        futures = [
            pool.submit(run_seed, seed, folder / str(seed), large, source)
            for seed in range(first_seed, first_seed + seeds)
        ]
        for future in as_completed(futures):
            outcome = future.result()
            report(outcome)
            finished += 1
            failed += bool(outcome.violations)
            if time.monotonic() > deadline:
                for pending in futures:
                    pending.cancel()
                break
    print(f"{finished} seeds, {failed} with violated guarantees")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
