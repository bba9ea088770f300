import pytest

from kumquatchute_bench.fit import fit
from kumquatchute_bench.fit import Point
from kumquatchute_bench.load import Arrivals
from kumquatchute_bench.load import Call
from kumquatchute_bench.measurement import latency
from kumquatchute_bench.measurement import percentile_ms
from kumquatchute_bench.measurement import recorded_shards
from kumquatchute_bench.shape import BILLING
from kumquatchute_bench.shape import CONSOLE
from kumquatchute_bench.shape import dc_of
from kumquatchute_bench.shape import index_of
from kumquatchute_bench.shape import QUIZ
from kumquatchute_bench.suite import by_second
from kumquatchute_standins.searcher.messages import CallRecord
from kumquatchute_standins.searcher.messages import Records


def record(attempt, status=200):
    return CallRecord(
        attempt, "search", "s0", 0.0, 0.0, 0.1, 1, False, status, "", "i"
    )


def records(*found):
    return Records("a", "i", 1, 0, (), 0, 0, 0, found)


def test_fit_finds_the_line():
    # Guards against slopes that do not describe their points.
    line = fit("l", "x", "y", [Point(1, 5), Point(2, 7), Point(4, 11)])
    assert (line.intercept, line.slope) == pytest.approx((3.0, 2.0))
    assert line.r2 == pytest.approx(1.0)


def test_same_seed_gives_the_same_arrivals():
    # Guards against two sides of a comparison under different load.
    first, second = Arrivals(50, 10, 7), Arrivals(50, 10, 7)
    assert first.times() == second.times()
    assert first.times() != Arrivals(50, 10, 8).times()
    assert 400 < len(first.times()) < 600


def test_refused_calls_do_not_count_as_fast_answers():
    # Guards against percentiles that improve because of refusals.
    calls = (
        Call(0.0, "n1", 0.0, 0.2, 200),
        Call(0.1, "n1", 0.0, 0.001, 429, "overloaded", True),
    )
    assert percentile_ms(latency(calls), 50) == pytest.approx(200, rel=0.01)
    assert by_second(calls)[0][3:] == (1, 1)


def test_hedged_shard_is_recorded_once():
    # Guards against recorded coverage that grows with each hedge.
    found = records(record("n1.i.1-1"), record("n1.i.1-2"))
    other = records(record("n1.i.2-1"), record("n1.i.3-1", 499))
    assert recorded_shards((found, other)) == 2


@pytest.mark.parametrize("shape", [CONSOLE, BILLING, QUIZ])
def test_replicas_of_a_shard_are_in_two_data_centres(shape):
    # Guards against shapes that lose a shard with one data centre.
    for shard in index_of(shape).shards:
        instances = [
            int(name.rpartition("-")[2].rstrip("abcd"))
            for name in shard.replicas
        ]
        assert len({dc_of(instance) for instance in instances}) == 2
