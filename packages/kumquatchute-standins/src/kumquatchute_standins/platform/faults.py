"""The faults that are set, and the token buckets of the rate limits."""

from dataclasses import dataclass
from dataclasses import replace

from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import DownMode
from kumquatchute_standins.platform.controls import ExecuteLate
from kumquatchute_standins.platform.controls import Fault
from kumquatchute_standins.platform.controls import LoseAnswers
from kumquatchute_standins.platform.controls import ServeOlder
from kumquatchute_standins.platform.controls import SetDelay
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SetEndpointLag
from kumquatchute_standins.platform.controls import SetRate
from kumquatchute_standins.platform.controls import SilenceWatches
from kumquatchute_standins.platform.messages import Loss


@dataclass(frozen=True)
class TokenBucket:
    """Token bucket that holds the calls of at most one second.

    :param rate: calls per second, None for no limit
    :param updated_at: monotonic time of the last call in seconds
    """

    rate: float | None = None
    tokens: float = 0.0
    updated_at: float = 0.0


@dataclass(frozen=True)
class Faults:
    """All faults that are set.

    :param answers_to_lose: how many more answers to writes are lost
    :param late_writes: how many more writes are carried out late
    :param silent_watches: which new watches stay unanswered, None for none
    """

    down: DownMode | None = None
    delay_s: float = 0.0
    answers_to_lose: int = 0
    loss: Loss = Loss.RESET
    late_writes: ExecuteLate = ExecuteLate(0)
    silent_watches: SilenceWatches | None = None
    endpoint_lag_s: float = 0.0
    older_state: ServeOlder = ServeOlder()
    read_bucket: TokenBucket = TokenBucket()
    write_bucket: TokenBucket = TokenBucket()


def set_fault(faults: Faults, fault: Fault, now: float) -> Faults:
    """Return the faults that apply after a control message.

    :param now: monotonic time in seconds
    """
    match fault:
        case SetDown(mode=mode):
            return replace(faults, down=mode)
        case SetDelay(delay_ms=delay_ms):
            return replace(faults, delay_s=delay_ms / 1000)
        case LoseAnswers(count=count, loss=loss):
            return replace(faults, answers_to_lose=count, loss=loss)
        case ExecuteLate():
            return replace(faults, late_writes=fault)
        case SilenceWatches():
            return replace(faults, silent_watches=fault)
        case SetEndpointLag(lag_s=lag_s):
            return replace(faults, endpoint_lag_s=lag_s)
        case ServeOlder():
            return replace(faults, older_state=fault)
        case SetRate(reads_per_s=read_rate, writes_per_s=write_rate):
            return replace(
                faults,
                read_bucket=TokenBucket(read_rate, read_rate or 0.0, now),
                write_bucket=TokenBucket(write_rate, write_rate or 0.0, now),
            )
        case ClearFaults():
            return Faults()


def is_silent(silence: SilenceWatches | None, kind: str) -> bool:
    """Return whether a watch of a kind stays unanswered."""
    return silence is not None and silence.kind in ("", kind)


def take_token(bucket: TokenBucket, now: float) -> TokenBucket | None:
    """Return the bucket with one token less, None if it has no token.

    :param now: monotonic time in seconds
    """
    if bucket.rate is None:
        return bucket
    tokens = bucket.tokens + (now - bucket.updated_at) * bucket.rate
    # Below 1/s the bucket must still be able to hold one whole token.
    tokens = min(tokens, max(bucket.rate, 1.0))
    if tokens < 1:
        return None
    return TokenBucket(bucket.rate, tokens - 1, now)
