"""Tests the adaptive limit on concurrent queries."""

from kumquatchuted.search.admission import Admission
from kumquatchuted.search.admission import admit
from kumquatchuted.search.admission import DECREASE_INTERVAL_S
from kumquatchuted.search.admission import release

QUERY_COUNT = 100
SOFT_DEADLINE_S = 0.08


def state_after(
    state: Admission, overloaded_fraction: float, interval_s: float
) -> Admission:
    """Return the state after a series of queries, one at a time."""
    now = state.decreased_at
    for _ in range(QUERY_COUNT):
        now += interval_s
        state = admit(state, batch=False)
        state = release(state, overloaded_fraction, now)
    return state


def test_limit_falls_far_enough_under_lasting_overload():
    """Guards against a minimum limit too high for a node to shed overload.

    40 queries/s of 80 ms each are about 3 at a time, a usual load of a small
    site.
    """
    state = state_after(Admission(), 0.5, DECREASE_INTERVAL_S)
    running = state
    admitted = 0
    while (more := admit(running, batch=False)) is not None:
        running = more
        admitted += 1
    assert 1 <= admitted < 40 * SOFT_DEADLINE_S


def test_limit_rises_again_after_the_overload():
    """Guards against a node that keeps shedding after a short overload.

    The limit has fallen and must rise with the queries that follow.
    """
    low = state_after(Admission(), 0.5, DECREASE_INTERVAL_S)
    assert state_after(low, 0.0, 0.01).limit > low.limit
