"""How many submissions a node admits."""

from dataclasses import dataclass

# Each costs the platform two writes and a delete.
SUBMISSIONS_PER_S = 20.0
BURST_SUBMISSIONS = 20.0
# Each reads the store every five seconds, for up to ten minutes.
MAX_CLEANUPS = 50


@dataclass(frozen=True)
class TokenBucket:
    """Tokens left at an instant.

    :param at: monotonic time in seconds
    """

    tokens: float
    updated_at: float


def take_token(bucket: TokenBucket, now: float) -> TokenBucket | None:
    """Take a token.

    :returns: the bucket without it, None if there is no token
    """
    elapsed_s = max(0.0, now - bucket.updated_at)
    tokens = min(
        BURST_SUBMISSIONS, bucket.tokens + elapsed_s * SUBMISSIONS_PER_S
    )
    return TokenBucket(tokens - 1, now) if tokens >= 1 else None
