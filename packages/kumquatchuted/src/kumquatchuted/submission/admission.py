"""Admission control of submissions."""

from dataclasses import dataclass

# Each submission costs the platform two writes and one delete.
SUBMISSIONS_PER_S = 20.0
BURST_SUBMISSIONS = 20.0
# Each cleanup reads the store every 5 s for up to 10 minutes.
MAX_CLEANUPS = 50


@dataclass(frozen=True)
class TokenBucket:
    """State of the token bucket that limits submissions.

    :param tokens: tokens left at ``updated_at``
    :param updated_at: monotonic time in seconds
    """

    tokens: float
    updated_at: float


def take_token(bucket: TokenBucket, now: float) -> TokenBucket | None:
    """Take one token.

    :param now: monotonic time in seconds
    :returns: the bucket after the token was taken, None if it is empty
    """
    elapsed_s = max(0.0, now - bucket.updated_at)
    tokens = min(
        BURST_SUBMISSIONS, bucket.tokens + elapsed_s * SUBMISSIONS_PER_S
    )
    return TokenBucket(tokens - 1, now) if tokens >= 1 else None
