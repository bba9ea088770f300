"""Concurrency limit of a searcher through cold start and warm-up."""

from dataclasses import dataclass
from dataclasses import replace
from statistics import median

from kumquatchute_model.shards import Searcher

WARMUP_SUCCESSES = 8
SLOW_FACTOR = 5
SLOW_RESPONSES = 3
# The median of fewer latencies is too unreliable to tell a slow response.
MIN_LATENCIES = 8
MAX_LATENCIES = 32
MAX_PAST_INCARNATIONS = 8


@dataclass(frozen=True)
class Cold:
    """The limit is that of a cold start.

    :param successes: consecutive successes
    """

    successes: int = 0


@dataclass(frozen=True)
class Warming:
    """The limit rises by one after every ``WARMUP_SUCCESSES`` successes.

    :param successes: consecutive successes at this limit
    """

    limit: int
    successes: int = 0


@dataclass(frozen=True)
class Warm:
    """The searcher takes its full load.

    :param slow_responses: consecutive slow responses
    """

    slow_responses: int = 0


Phase = Cold | Warming | Warm


@dataclass(frozen=True)
class WarmupState:
    """State of the warm-up of one searcher.

    :param generation: incremented whenever the searcher turns cold or is
        reconnected to; attempts carry the generation in which they were
        sent, so that responses from an earlier one can be told apart
    :param incarnation: newest known incarnation, empty if unknown
    :param past_incarnations: previous incarnations, newest last
    :param latencies_s: most recent latencies while warm, in seconds
    :param reported_cold: True if the last load report stated a cold start
    :param unverified: no response has arrived since all connections closed
    """

    phase: Phase = Cold()
    generation: int = 0
    incarnation: str = ""
    past_incarnations: tuple[str, ...] = ()
    latencies_s: tuple[float, ...] = ()
    reported_cold: bool = False
    unverified: bool = False


@dataclass(frozen=True)
class AttemptCompleted:
    """An attempt got a complete response with a result.

    :param latency_s: time since it got its slot, in seconds
    :param cold: True if the searcher reports a cold start
    """

    generation: int
    latency_s: float
    incarnation: str
    cold: bool


@dataclass(frozen=True)
class AttemptRejected:
    """An attempt got a response without a usable result.

    :param cold: True if the searcher reports a cold start
    """

    generation: int
    incarnation: str = ""
    cold: bool = False


@dataclass(frozen=True)
class AttemptTimedOut:
    """An attempt timed out.

    :param waited_s: time since it got its slot, in seconds
    """

    generation: int
    waited_s: float


@dataclass(frozen=True)
class AttemptUnproven:
    """An attempt got a response that is not shown to be its own.

    It counts as a failure, and does not show which process runs.
    """

    generation: int


@dataclass(frozen=True)
class AttemptAborted:
    """An attempt was cancelled because its outcome was not needed.

    It does not count as a failure: under load, so many attempts are cancelled
    that targets would stay cold for as long as the load lasts.

    :param waited_s: time since it got its slot, in seconds
    """

    generation: int
    waited_s: float


@dataclass(frozen=True)
class ConnectionLost:
    """A connection was refused or reset."""


@dataclass(frozen=True)
class Reconnecting:
    """All connections are closed and a new one is about to be opened."""


@dataclass(frozen=True)
class LoadReported:
    """The searcher's load report was read."""

    generation: int
    incarnation: str
    cold: bool


@dataclass(frozen=True)
class IncarnationSeen:
    """A response identified the process and had no other information."""

    incarnation: str


@dataclass(frozen=True)
class AppearsUnhealthy:
    """The health report turned bad and is credible."""


ResponseEvent = (
    AttemptCompleted | AttemptRejected | LoadReported | IncarnationSeen
)
Event = (
    AttemptCompleted
    | AttemptRejected
    | AttemptTimedOut
    | AttemptUnproven
    | AttemptAborted
    | ConnectionLost
    | LoadReported
    | IncarnationSeen
    | AppearsUnhealthy
    | Reconnecting
)


def limit(warmup: WarmupState, searcher: Searcher) -> int:
    """Return how many attempts may be in flight."""
    match warmup.phase:
        case _ if warmup.unverified:
            return cold_limit(searcher)
        case Cold():
            return cold_limit(searcher)
        case Warming(limit=current_limit):
            return min(current_limit, searcher.slots)
        case Warm():
            return searcher.slots


def is_warm(warmup: WarmupState, searcher: Searcher) -> bool:
    """Return True once the searcher takes its full load."""
    return limit(warmup, searcher) == searcher.slots


def observe(
    warmup: WarmupState, event: Event, searcher: Searcher
) -> WarmupState:
    """Return the state after an event.

    :param warmup: state before the event
    :param searcher: its slots give the limits
    """
    match event:
        case ConnectionLost():
            return _turn_cold(warmup)
        case AppearsUnhealthy():
            return _turn_cold(warmup)
        case Reconnecting() if warmup.unverified:
            return warmup
        case Reconnecting():
            # The process may have been replaced while nothing was in flight.
            return replace(
                warmup, unverified=True, generation=warmup.generation + 1
            )
        case (
            AttemptCompleted()
            | LoadReported()
            | AttemptRejected()
            | IncarnationSeen()
        ) if _is_new_incarnation(warmup, event.incarnation):
            return _on_process_replaced(warmup, event)
        case IncarnationSeen():
            return warmup
        case (
            AttemptCompleted()
            | LoadReported()
            | AttemptRejected()
            | AttemptTimedOut()
            | AttemptUnproven()
            | AttemptAborted()
        ) if event.generation != warmup.generation:
            # Sent before the searcher turned cold, so it gives no information
            # about the present state.
            return warmup
        case AttemptCompleted():
            return _on_completed(
                _with_incarnation(warmup, event), event, searcher
            )
        case LoadReported():
            return _on_load_reported(_with_incarnation(warmup, event), event)
        case AttemptRejected():
            return _on_rejected(_with_incarnation(warmup, event), event)
        case AttemptTimedOut(waited_s=waited_s):
            return _on_timed_out(warmup, waited_s)
        case AttemptUnproven():
            return replace(warmup, phase=_without_successes(warmup.phase))
        case AttemptAborted(waited_s=waited_s):
            return _on_aborted(warmup, waited_s)


def cold_limit(searcher: Searcher) -> int:
    """Return how many attempts may be in flight in a cold start."""
    return max(1, min(searcher.cold_slots, searcher.slots))


def _turn_cold(warmup: WarmupState) -> WarmupState:
    return replace(warmup, phase=Cold(), generation=warmup.generation + 1)


def _is_new_incarnation(warmup: WarmupState, incarnation: str) -> bool:
    return bool(
        warmup.incarnation
        and incarnation
        and incarnation != warmup.incarnation
        and incarnation not in warmup.past_incarnations
    )


def _on_process_replaced(
    warmup: WarmupState, event: ResponseEvent
) -> WarmupState:
    past = (*warmup.past_incarnations, warmup.incarnation)[
        -MAX_PAST_INCARNATIONS:
    ]
    return replace(
        _turn_cold(warmup),
        incarnation=event.incarnation,
        past_incarnations=past,
        reported_cold=False,
        unverified=False,
    )


def _with_incarnation(
    warmup: WarmupState, event: ResponseEvent
) -> WarmupState:
    if not event.incarnation or event.incarnation in warmup.past_incarnations:
        return replace(warmup, unverified=False)
    return replace(warmup, incarnation=event.incarnation, unverified=False)


def _on_completed(
    warmup: WarmupState, event: AttemptCompleted, searcher: Searcher
) -> WarmupState:
    if event.cold:
        return _keep_cold(warmup)
    match warmup.phase:
        case Warm():
            return _record_latency(warmup, event.latency_s)
        case phase:
            return replace(warmup, phase=_count_success(phase, searcher))


def _keep_cold(warmup: WarmupState) -> WarmupState:
    match warmup.phase:
        case Cold():
            # The same cold start continues, so the generation stays.
            return replace(warmup, phase=Cold())
        case _:
            return _turn_cold(warmup)


def _on_rejected(warmup: WarmupState, event: AttemptRejected) -> WarmupState:
    if event.cold:
        return _keep_cold(warmup)
    return replace(warmup, phase=_without_successes(warmup.phase))


def _count_success(phase: Cold | Warming, searcher: Searcher) -> Phase:
    successes = phase.successes + 1
    if successes < WARMUP_SUCCESSES:
        return replace(phase, successes=successes)
    match phase:
        case Cold():
            new_limit = cold_limit(searcher) + 1
        case Warming(limit=current_limit):
            new_limit = current_limit + 1
    return Warm() if new_limit >= searcher.slots else Warming(new_limit)


def _record_latency(warmup: WarmupState, latency_s: float) -> WarmupState:
    if _is_slow(warmup, latency_s):
        return _record_slow_response(warmup)
    latencies = (*warmup.latencies_s, latency_s)[-MAX_LATENCIES:]
    return replace(warmup, phase=Warm(), latencies_s=latencies)


def _is_slow(warmup: WarmupState, latency_s: float) -> bool:
    recent = warmup.latencies_s
    return len(recent) >= MIN_LATENCIES and latency_s > SLOW_FACTOR * median(
        recent
    )


def _record_slow_response(warmup: WarmupState) -> WarmupState:
    match warmup.phase:
        case Warm(slow_responses=count) if count + 1 >= SLOW_RESPONSES:
            # Forget the latencies. If the work itself has become permanently
            # slower, the old median would turn the searcher cold again after
            # every warm-up.
            return replace(_turn_cold(warmup), latencies_s=())
        case Warm(slow_responses=count):
            return replace(warmup, phase=Warm(count + 1))
        case _:
            return warmup


def _on_timed_out(warmup: WarmupState, waited_s: float) -> WarmupState:
    match warmup.phase:
        case Warm() if _is_slow(warmup, waited_s):
            return _record_slow_response(warmup)
        case phase:
            return replace(warmup, phase=_without_successes(phase))


def _on_aborted(warmup: WarmupState, waited_s: float) -> WarmupState:
    match warmup.phase:
        case Warm() if _is_slow(warmup, waited_s):
            return _record_slow_response(warmup)
        case _:
            return warmup


def _without_successes(phase: Phase) -> Phase:
    match phase:
        case Cold() | Warming():
            return replace(phase, successes=0)
        case Warm():
            return phase


def _on_load_reported(warmup: WarmupState, event: LoadReported) -> WarmupState:
    # Load reports lag behind, so only a change to cold counts, not a repeated
    # report.
    turned_cold = event.cold and not warmup.reported_cold
    warmup = replace(warmup, reported_cold=event.cold)
    match warmup.phase:
        case Warming() | Warm() if turned_cold:
            return _turn_cold(warmup)
        case _:
            return warmup
