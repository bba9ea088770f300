"""Entry point: ``python -m kumquatchute_bench [slopes|steady]``."""

import argparse
import asyncio

from kumquatchute_bench.experiments import ExperimentPlan
from kumquatchute_bench.slopes import run_slopes
from kumquatchute_bench.steady import run_steady
from kumquatchute_bench.steady import SERVICES
from kumquatchute_bench.steady import SteadyLoad
from kumquatchute_bench.suite import run_suite


def main() -> None:
    """Run the measurement that the command line selects."""
    parser = argparse.ArgumentParser(prog="kumquatchute_bench")
    commands = parser.add_subparsers(dest="what")
    commands.add_parser(
        "slopes", help="measure the costs for the capacity page"
    )
    steady = commands.add_parser("steady", help="repeat one load")
    steady.add_argument("service", choices=sorted(SERVICES))
    steady.add_argument("--rate", type=float, required=True)
    steady.add_argument("--runs", type=int, default=3)
    steady.add_argument("--seconds", type=float, default=4.0)
    args = parser.parse_args()
    match args.what:
        case "slopes":
            asyncio.run(run_slopes())
        case "steady":
            load = SteadyLoad(args.service, args.rate, args.runs, args.seconds)
            asyncio.run(run_steady(load))
        case _:
            asyncio.run(run_suite(ExperimentPlan()))


if __name__ == "__main__":
    main()
