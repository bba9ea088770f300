"""Guards against running attempts that waited for a dead or paused peer."""

import pytest

from kumquatchuted.peers.delay import measure_delay
from kumquatchuted.peers.delay import update_reference


@pytest.mark.proves("search: send", "node paused and resumed")
def test_delay_by_a_pause_is_measured():
    """Guards against an attempt that runs when no caller waits any longer.

    The receiver was paused and read the message from the socket 60 s late.
    """
    reference = None
    for second in range(10):
        reference = update_reference(
            reference, second + 1000.0, second + 0.001
        )
    sent_at = 1010.0
    reference = update_reference(reference, sent_at, 70.0)
    assert 59.0 < measure_delay(reference, sent_at, 70.0) < 60.5


def test_delayed_messages_never_become_the_reference():
    """Guards against a pause that is taken for a difference of the clocks.

    All messages queued in a pause have about the same delay. A reference that
    follows them makes the delay of the later ones seem to be zero.
    """
    reference = update_reference(None, 1000.0, 0.0)
    for i in range(1000):
        sent_at = 1001.0 + i * 0.001
        reference = update_reference(reference, sent_at, 61.0 + i * 0.001)
    assert measure_delay(reference, 1002.0, 62.0) > 59.0


def test_clock_drift_is_followed():
    """Guards against attempts that are refused although they are in time.

    Clocks that drift by 0.2 ms a second differ by 0.7 s after an hour, which
    a fixed reference takes for a delay.
    """
    reference = update_reference(None, 0.0, 0.0)
    for second in range(1, 3600):
        drifted = second * 1.0002
        reference = update_reference(reference, float(second), drifted)
    assert measure_delay(reference, 3600.0, 3600 * 1.0002) < 0.001
