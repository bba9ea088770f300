"""Figures of the bench: fits, arrivals, latencies and coverage."""

import pytest

from kumquatchute_bench.fit import fit
from kumquatchute_bench.fit import Point
from kumquatchute_bench.load import Arrivals
from kumquatchute_bench.load import CallResult
from kumquatchute_bench.measurement import latency_histogram
from kumquatchute_bench.measurement import percentile_ms
from kumquatchute_bench.measurement import recorded_shards
from kumquatchute_bench.services import BILLING
from kumquatchute_bench.services import build_index
from kumquatchute_bench.services import CONSOLE
from kumquatchute_bench.services import dc_of_instance
from kumquatchute_bench.services import QUIZ
from kumquatchute_bench.suite import summarise_seconds
from kumquatchute_standins.searcher.messages import CallRecord
from kumquatchute_standins.searcher.messages import Records


def build_record(attempt, status=200):
    return CallRecord(
        attempt, "search", "s0", 0.0, 0.0, 0.1, 1, False, status, "", "i"
    )


def build_records(*call_records):
    return Records("a", "i", 1, 0, (), 0, 0, 0, call_records)


def test_fit_finds_the_line():
    """Guards against wrong costs on the capacity page.

    Each cost is the slope or the intercept of a fit.
    """
    fitted = fit("l", "x", "y", [Point(1, 5), Point(2, 7), Point(4, 11)])
    assert (fitted.intercept, fitted.slope) == pytest.approx((3.0, 2.0))
    assert fitted.r2 == pytest.approx(1.0)


def test_same_seed_gives_the_same_arrivals():
    """Guards against a comparison whose sides get different load."""
    first, second = Arrivals(50, 10, 7), Arrivals(50, 10, 7)
    assert first.start_times() == second.start_times()
    assert first.start_times() != Arrivals(50, 10, 8).start_times()
    assert 400 < len(first.start_times()) < 600


def test_refused_calls_do_not_count_as_fast_answers():
    """Guards against refusals that lower the latency percentiles."""
    calls = (
        CallResult(0.0, "n1", 0.0, 0.2, 200),
        CallResult(0.1, "n1", 0.0, 0.001, 429, "overloaded", True),
    )
    assert percentile_ms(latency_histogram(calls), 50) == pytest.approx(
        200, rel=0.01
    )
    assert summarise_seconds(calls)[0][3:] == (1, 1)


def test_hedged_shard_is_recorded_once():
    """Guards against recorded coverage that counts a hedged shard twice."""
    call_records = build_records(
        build_record("n1.i.1-1"), build_record("n1.i.1-2")
    )
    other = build_records(
        build_record("n1.i.2-1"), build_record("n1.i.3-1", 499)
    )
    assert recorded_shards((call_records, other)) == 2


@pytest.mark.parametrize("service", [CONSOLE, BILLING, QUIZ])
def test_replicas_of_a_shard_are_in_two_data_centres(service):
    """Guards against services that lose a shard with one data centre."""
    for shard in build_index(service).shards:
        instances = [
            int(name.rpartition("-")[2].rstrip("abcd"))
            for name in shard.replicas
        ]
        assert len({dc_of_instance(instance) for instance in instances}) == 2
