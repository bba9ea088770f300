"""Measures how long messages were delayed between sender and receiver."""

from dataclasses import dataclass

MAX_CLOCK_DRIFT_RATE = 0.0005
"""Largest divergence of two monotonic clocks, in seconds per second."""


@dataclass(frozen=True)
class DelayReference:
    """Smallest difference seen between the clocks of receiver and sender.

    Both clocks are monotonic with unrelated origins, so a delay is measured
    against the fastest message so far. The reference grows only by the clock
    drift: after a pause of this process all queued messages are delayed, and
    none of them may become the new reference.

    :param offset: receiver's clock minus sender's clock, in seconds
    :param updated_at: receiver's monotonic time in seconds
    """

    offset: float
    updated_at: float


def update_reference(
    reference: DelayReference | None, sent_at: float, received_at: float
) -> DelayReference:
    """Return the reference after one more message.

    :param reference: None before the first message
    :param sent_at: sender's monotonic time in seconds
    :param received_at: receiver's monotonic time in seconds
    """
    sample = received_at - sent_at
    if reference is None:
        return DelayReference(sample, received_at)
    elapsed = max(0.0, received_at - reference.updated_at)
    offset = min(sample, reference.offset + elapsed * MAX_CLOCK_DRIFT_RATE)
    return DelayReference(offset, received_at)


def measure_delay(
    reference: DelayReference, sent_at: float, received_at: float
) -> float:
    """Return how much longer a message took than the fastest one.

    :param sent_at: sender's monotonic time in seconds
    :param received_at: receiver's monotonic time in seconds
    :returns: seconds, not negative
    """
    return max(0.0, received_at - sent_at - reference.offset)
