"""Compares what callers get with what searchers sent, for some seeds."""

from pathlib import Path
import sys
from typing import Annotated

import typer

from kumquatchute_standins.platform.fleet.answer_faults import ANSWER_FAULTS
from kumquatchute_standins.platform.fleet.relay.run import Case
from kumquatchute_standins.platform.fleet.relay.run import run_case


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of a run.")] = 6.0,
    faults: Annotated[
        str, typer.Option(help="Faults of answers, separated by commas.")
    ] = ",".join(ANSWER_FAULTS),
    share: Annotated[
        float, typer.Option(help="Fraction of the answers that are faulty.")
    ] = 0.25,
    pipeline: Annotated[
        int, typer.Option(help="Most requests that a caller sends at once.")
    ] = 1,
    suspend: Annotated[
        bool, typer.Option("--suspend", help="Suspend nodes in series.")
    ] = False,
    single: Annotated[
        bool, typer.Option("--single", help="One searcher a service.")
    ] = False,
    source: Annotated[
        Path | None, typer.Option(help="Checkout whose nodes run.")
    ] = None,
    folder: Annotated[
        Path, typer.Option(help="Folder for settings and logs of the nodes.")
    ] = Path("relay-out"),
) -> None:
    """Compare what callers get with what searchers sent.

    The exit status is 1 if a response is wrong.
    """
    names = tuple(faults.split(","))
    if unknown := set(names) - set(ANSWER_FAULTS):
        raise typer.BadParameter(f"unknown faults: {sorted(unknown)}")
    is_wrong = False
    for number in range(seed, seed + seeds):
        case = Case(
            number,
            seconds,
            names,
            share,
            pipeline,
            suspend,
            not single,
            source,
        )
        logs = folder / str(number)
        logs.mkdir(parents=True, exist_ok=True)
        for log in logs.glob("*.log"):
            log.unlink()
        result = run_case(case, logs)
        print(result.format_line(), flush=True)
        is_wrong = is_wrong or bool(result.violations)
        first_of_kind = {
            item.wrong: item for item in reversed(result.violations)
        }
        for item in first_of_kind.values():
            print(
                f"  {item.request_id}: {item.wrong.value}: {item.detail}",
                file=sys.stderr,
            )
        for wait in result.waits:
            print(
                f"  {wait.request_id}: status {wait.status},"
                f" {wait.latency_s:.3f} s after the request,"
                f" {wait.wait_s:.3f} s after an answer of a searcher",
                file=sys.stderr,
            )
    sys.exit(1 if is_wrong else 0)


if __name__ == "__main__":
    typer.run(main)
