"""Pauses that searchers request, on a virtual clock."""

import random

import pytest

from kumquatchuted.notices.pauses import MAX_PAUSE_S
from kumquatchuted.notices.pauses import may_send
from kumquatchuted.notices.pauses import remaining_s
from kumquatchuted.notices.pauses import start_pause

NODES = 79
# A searcher with two slots and this queue refuses what exceeds both.
CAPACITY = 14


def test_nothing_is_sent_during_a_pause() -> None:
    """Guards against requests before the stated time is over."""
    pause = start_pause(None, 2.0, 10.0, random_fraction=0.0)
    assert not may_send(pause, 0, 11.99)
    assert may_send(pause, 0, 12.0)
    assert not may_send(pause, 1, 12.0)
    assert remaining_s(pause, 11.5) == 0.5
    assert remaining_s(pause, 13.0) == 0.0


def test_shorter_pause_does_not_end_a_longer_one() -> None:
    """Guards against a later refusal that shortens the pause.

    Two requests were under way when the searcher began to refuse.
    """
    pause = start_pause(None, 3.0, 10.0, 0.5)
    assert start_pause(pause, 0.2, 10.1, 0.5) == pause


def test_pause_is_bounded() -> None:
    """Guards against a searcher that is unused for good.

    It states a pause of thirty years.
    """
    pause = start_pause(None, 1e9, 10.0, 1.0)
    assert pause.ends_at == 10.0 + MAX_PAUSE_S


@pytest.mark.parametrize("seed", range(5))
def test_fleet_does_not_return_to_a_searcher_all_at_once(seed: int) -> None:
    """Guards against a searcher that is overloaded by the end of its pause.

    All nodes of a large fleet were refused at the same moment with the same
    delay. Were they to return in the same millisecond, the searcher would
    refuse most of them again.
    """
    rng = random.Random(seed)
    resumes = sorted(
        start_pause(None, 2.0, 0.0, rng.random()).resumes_at
        for _ in range(NODES)
    )
    window_s = 0.02
    peak = max(
        sum(at <= other < at + window_s for other in resumes) for at in resumes
    )
    assert resumes[0] >= 2.0
    assert peak <= CAPACITY
