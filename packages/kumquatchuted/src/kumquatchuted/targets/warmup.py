"""How much load a searcher can take: cold, warming or warm."""

from dataclasses import dataclass
from dataclasses import replace
from statistics import median

from kumquatchute_model.shards import Searcher

WARMUP_SUCCESSES = 8
SLOW_FACTOR = 5
SLOW_RESPONSES = 3
# The median of fewer responses than this says too little to call one slow.
MIN_LATENCIES = 8
MAX_LATENCIES = 32
MAX_PAST_INCARNATIONS = 8


@dataclass(frozen=True)
class Cold:
    """Nothing is known about the searcher since it turned cold."""

    successes: int = 0


@dataclass(frozen=True)
class Warming:
    """The limit rises with consecutive successes."""

    limit: int
    successes: int = 0


@dataclass(frozen=True)
class Warm:
    """The searcher takes its full load.

    :param slow: consecutive slow responses
    """

    slow: int = 0


Phase = Cold | Warming | Warm


@dataclass(frozen=True)
class WarmupState:
    """What is known about the state of one searcher.

    :param era: counts how often it turned cold; attempts carry the era in
        which they were sent, so that older responses are recognised
    :param past: incarnations that it had before
    :param latencies_s: newest latencies while warm, in seconds
    :param reported_cold: what its load report said last
    :param unproven: no response has arrived since all connections closed
    """

    phase: Phase = Cold()
    era: int = 0
    incarnation: str = ""
    past: tuple[str, ...] = ()
    latencies_s: tuple[float, ...] = ()
    reported_cold: bool = False
    unproven: bool = False


@dataclass(frozen=True)
class Served:
    """An attempt was answered in full.

    :param cold: True if the searcher says that it is in a cold start
    """

    era: int
    latency_s: float
    incarnation: str
    cold: bool


@dataclass(frozen=True)
class Declined:
    """An attempt was answered with an error.

    :param cold: True if the searcher says that it is in a cold start
    """

    era: int
    incarnation: str = ""
    cold: bool = False


@dataclass(frozen=True)
class Unanswered:
    """An attempt timed out."""

    era: int
    waited_s: float


@dataclass(frozen=True)
class Abandoned:
    """An attempt was cancelled because nobody waited any more.

    It is no failure: counted as one, such attempts kept targets cold for as
    long as the load lasted.
    """

    era: int
    waited_s: float


@dataclass(frozen=True)
class ConnectionLost:
    """A connection was refused or reset."""


@dataclass(frozen=True)
class Reconnecting:
    """All connections are closed and a new one is about to be opened."""


@dataclass(frozen=True)
class Reported:
    """The searcher's load report was read."""

    era: int
    incarnation: str
    cold: bool


@dataclass(frozen=True)
class Identified:
    """An answer that says nothing but which process gave it."""

    incarnation: str


@dataclass(frozen=True)
class AppearsUnhealthy:
    """The health report turned bad while most others are good."""


Answer = Served | Declined | Reported | Identified
Event = (
    Served
    | Declined
    | Unanswered
    | Abandoned
    | ConnectionLost
    | Reported
    | Identified
    | AppearsUnhealthy
    | Reconnecting
)


def limit(warmup: WarmupState, searcher: Searcher) -> int:
    """Return how many attempts may be in flight."""
    match warmup.phase:
        case _ if warmup.unproven:
            return cold_limit(searcher)
        case Cold():
            return cold_limit(searcher)
        case Warming(limit=raised):
            return min(raised, searcher.slots)
        case Warm():
            return searcher.slots


def is_warm(warmup: WarmupState, searcher: Searcher) -> bool:
    """Return True once the searcher takes its full load."""
    return limit(warmup, searcher) == searcher.slots


def observe(
    warmup: WarmupState, event: Event, searcher: Searcher
) -> WarmupState:
    """Return the state after an event.

    :param warmth: state before
    :param event: what was observed
    :param searcher: gives the limits
    """
    match event:
        case ConnectionLost():
            return _turn_cold(warmup)
        case AppearsUnhealthy():
            return _turn_cold(warmup)
        case Reconnecting() if warmup.unproven:
            return warmup
        case Reconnecting():
            # The process may have been replaced while nothing was in flight.
            return replace(warmup, unproven=True, era=warmup.era + 1)
        case Served() | Reported() | Declined() | Identified() if _is_new(
            warmup, event.incarnation
        ):
            return _replaced(warmup, event)
        case Identified():
            return warmup
        case (
            Served() | Reported() | Declined() | Unanswered() | Abandoned()
        ) if event.era != warmup.era:
            # Sent before the searcher turned cold: says nothing about it now.
            return warmup
        case Served():
            return _served(_with_incarnation(warmup, event), event, searcher)
        case Reported():
            return _reported(_with_incarnation(warmup, event), event)
        case Declined():
            return _declined(_with_incarnation(warmup, event), event)
        case Unanswered(waited_s=waited_s):
            return _unanswered(warmup, waited_s)
        case Abandoned(waited_s=waited_s):
            return _abandoned(warmup, waited_s)


def cold_limit(searcher: Searcher) -> int:
    """Return how many attempts may be in flight in a cold start."""
    return max(1, min(searcher.cold_slots, searcher.slots))


def _turn_cold(warmup: WarmupState) -> WarmupState:
    return replace(warmup, phase=Cold(), era=warmup.era + 1)


def _is_new(warmup: WarmupState, incarnation: str) -> bool:
    return bool(
        warmup.incarnation
        and incarnation
        and incarnation != warmup.incarnation
        and incarnation not in warmup.past
    )


def _replaced(warmup: WarmupState, event: Answer) -> WarmupState:
    past = (*warmup.past, warmup.incarnation)[-MAX_PAST_INCARNATIONS:]
    return replace(
        _turn_cold(warmup),
        incarnation=event.incarnation,
        past=past,
        reported_cold=False,
        unproven=False,
    )


def _with_incarnation(warmup: WarmupState, event: Answer) -> WarmupState:
    if not event.incarnation or event.incarnation in warmup.past:
        return replace(warmup, unproven=False)
    return replace(warmup, incarnation=event.incarnation, unproven=False)


def _served(
    warmup: WarmupState, event: Served, searcher: Searcher
) -> WarmupState:
    if event.cold:
        return _stays_cold(warmup)
    match warmup.phase:
        case Warm():
            return _judge_latency(warmup, event.latency_s)
        case phase:
            return replace(warmup, phase=_succeeded(phase, searcher))


def _stays_cold(warmup: WarmupState) -> WarmupState:
    match warmup.phase:
        case Cold():
            # The same cold start goes on, so the era stays.
            return replace(warmup, phase=Cold())
        case _:
            return _turn_cold(warmup)


def _declined(warmup: WarmupState, event: Declined) -> WarmupState:
    if event.cold:
        return _stays_cold(warmup)
    return replace(warmup, phase=_without_successes(warmup.phase))


def _succeeded(phase: Cold | Warming, searcher: Searcher) -> Phase:
    successes = phase.successes + 1
    if successes < WARMUP_SUCCESSES:
        return replace(phase, successes=successes)
    match phase:
        case Cold():
            raised = cold_limit(searcher) + 1
        case Warming(limit=old):
            raised = old + 1
    return Warm() if raised >= searcher.slots else Warming(raised)


def _judge_latency(warmup: WarmupState, latency_s: float) -> WarmupState:
    if _is_slow(warmup, latency_s):
        return _slower(warmup)
    latencies = (*warmup.latencies_s, latency_s)[-MAX_LATENCIES:]
    return replace(warmup, phase=Warm(), latencies_s=latencies)


def _is_slow(warmup: WarmupState, latency_s: float) -> bool:
    known = warmup.latencies_s
    return len(known) >= MIN_LATENCIES and latency_s > SLOW_FACTOR * median(
        known
    )


def _slower(warmup: WarmupState) -> WarmupState:
    match warmup.phase:
        case Warm(slow=slow) if slow + 1 >= SLOW_RESPONSES:
            # A lasting change of the work itself would otherwise turn the
            # searcher cold again after every warm-up.
            return replace(_turn_cold(warmup), latencies_s=())
        case Warm(slow=slow):
            return replace(warmup, phase=Warm(slow + 1))
        case _:
            return warmup


def _unanswered(warmup: WarmupState, waited_s: float) -> WarmupState:
    match warmup.phase:
        case Warm() if _is_slow(warmup, waited_s):
            return _slower(warmup)
        case phase:
            return replace(warmup, phase=_without_successes(phase))


def _abandoned(warmup: WarmupState, waited_s: float) -> WarmupState:
    match warmup.phase:
        case Warm() if _is_slow(warmup, waited_s):
            return _slower(warmup)
        case _:
            return warmup


def _without_successes(phase: Phase) -> Phase:
    match phase:
        case Cold() | Warming():
            return replace(phase, successes=0)
        case Warm():
            return phase


def _reported(warmup: WarmupState, event: Reported) -> WarmupState:
    # Load reports lag, so only a change to cold counts, not its repetition.
    turned = event.cold and not warmup.reported_cold
    warmup = replace(warmup, reported_cold=event.cold)
    match warmup.phase:
        case Warming() | Warm() if turned:
            return _turn_cold(warmup)
        case _:
            return warmup
