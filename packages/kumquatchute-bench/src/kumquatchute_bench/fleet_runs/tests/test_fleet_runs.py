"""Descriptions of deployments and days, and the figures of a run."""

from pathlib import Path

import pytest

from kumquatchute_bench.fleet_runs.core import run_day
from kumquatchute_bench.fleet_runs.files import check_indexes
from kumquatchute_bench.fleet_runs.files import Day
from kumquatchute_bench.fleet_runs.files import Deployment
from kumquatchute_bench.fleet_runs.files import DescriptionError
from kumquatchute_bench.fleet_runs.files import read_day
from kumquatchute_bench.fleet_runs.files import read_deployment
from kumquatchute_bench.fleet_runs.measure import summarise_run
from kumquatchute_bench.fleet_runs.report import write_report
from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet import disturbances as ds
from kumquatchute_standins.platform.fleet.run import QueryResult
from kumquatchute_standins.platform.fleet.run import RunRecord
from kumquatchute_standins.platform.fleet.searcher import Arrival
from kumquatchute_standins.platform.fleet.site import Shape

EXAMPLES = Path(__file__).parents[6] / "deploy" / "emulator"


def call_result(
    status: int | None, coverage: float, latency_s: float
) -> CallResult:
    """Return the result of a query."""
    return CallResult("q", status, None, coverage, None, latency_s)


def record(*queries: QueryResult) -> RunRecord:
    """Return the record of a run of two seconds."""
    arrivals = tuple(
        Arrival(name, "sh00", "q", "/", 0.0) for name in ("i-1", "i-1", "i-2")
    )
    return RunRecord(100.0, 102.0, queries, (), arrivals, (), (), 0.0, ())


def test_figures_count_each_query_once() -> None:
    """Guards against refusals that count as answers or do not count."""
    run = summarise_run(
        "v",
        record(
            QueryResult(100.1, call_result(200, 1.0, 0.010)),
            QueryResult(100.2, call_result(200, 0.5, 0.030)),
            QueryResult(101.1, call_result(503, 0.0, 0.001)),
            QueryResult(101.2, call_result(None, 0.0, 0.001)),
        ),
    )
    assert (run.sent, run.answered, run.complete) == (4, 2, 1)
    assert (run.refused, run.failed, run.wrong) == (1, 1, 0)
    assert run.percentiles_ms[100.0] == pytest.approx(30, rel=0.01)
    assert run.per_searcher == {"i-1": 2, "i-2": 1}
    first, second = run.seconds
    assert (first.sent, first.coverage) == (2, 0.75)
    assert (second.refused, second.failed, second.p99_ms) == (1, 1, None)


def test_report_shows_each_run_and_its_plot(tmp_path: Path) -> None:
    """Guards against a comparison in which one of the versions is missing."""
    runs = tuple(
        summarise_run(
            name, record(QueryResult(100.1, call_result(200, 1.0, 0.01)))
        )
        for name in ("old", "new")
    )
    write_report(tmp_path, "t", runs)
    text = (tmp_path / "report.md").read_text()
    assert "| old | 1 | 1 | 1 | 0 | 0 | 0 |" in text
    assert "| new | 1 |" in text
    assert (tmp_path / "run-1.png").stat().st_size > 0


@pytest.mark.parametrize(
    "text",
    [
        "[]",
        "length_s: x",
        "length_s: 5\nsteps: [{at: 1, kind: store_explodes}]",
        "length_s: 5\nsteps: [{at: 1, kind: store_down, colour: 3}]",
        "length_s: [",
    ],
)
def test_invalid_day_is_rejected_before_anything_starts(
    tmp_path: Path, text: str
) -> None:
    """Guards against a day of which a step is silently skipped."""
    path = tmp_path / "day.yaml"
    path.write_text(text)
    with pytest.raises(DescriptionError):
        read_day(path)


def test_examples_can_be_read() -> None:
    """Guards against examples that fail when a developer runs them.

    A renamed key or kind of step, or an index that the deployment does not
    have, makes them invalid.
    """
    deployment = read_deployment(EXAMPLES / "four-nodes.yaml")
    assert deployment.shape.nodes == ("a", "a", "b", "c")
    day = read_day(EXAMPLES / "rough.yaml")
    assert ds.KillNode(1) in [step.disturbance for step in day.steps]
    check_indexes(day, nodes=4, searchers=26, links=30)
    assert read_day(EXAMPLES / "calm.yaml").steps == ()


def test_step_with_an_index_out_of_range_is_rejected() -> None:
    """Guards against a run that fails halfway, when the step is due."""
    day = Day(5.0, (ds.Step(1.0, 1.0, ds.KillNode(4)),))
    with pytest.raises(DescriptionError, match="number 4 of 4"):
        check_indexes(day, nodes=4, searchers=1, links=1)


def test_two_versions_run_the_same_day(tmp_path: Path) -> None:
    """Guards against a comparison that runs one version twice."""
    shape = Shape(nodes=("a", "b"), shards=3, proxied=True)
    day = Day(2.0, (ds.Step(0.5, 0.5, ds.ResetLink(2)),))
    checkout = Path(__file__).parents[6]
    runs = list(
        run_day(Deployment(shape, 10.0), day, tmp_path, (checkout,), seed=3)
    )
    assert {run.version for run in runs} == {"this checkout", str(checkout)}
    assert all(run.sent == 20 and not run.wrong for run in runs)
