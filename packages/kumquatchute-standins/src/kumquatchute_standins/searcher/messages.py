"""Messages of the searcher stand-in: calls, results and records.

The target protocol in JSON over HTTP/1.1:

``POST /search`` takes ``{attempt, shard, index_version, map_version, names,
limit, deadline_ms}`` and answers 200 with ``{hits: [{doc, name, score,
text}], docs, index_version, map_version, incarnation, cold, busy}``, where
``busy`` is the number of requests that run or wait, without this one.

``POST /submit`` takes ``{attempt, payload}``, optionally ``deadline_ms``, and
answers 200 with ``{attempt, result, incarnation, cold, busy}``.

``POST /cancel`` takes ``{attempt}`` and answers 200 with ``{cancelled}`` once
the attempt neither runs nor will run, ``cancelled`` telling whether it waited
or ran; a submission that has taken a slot is not stopped, status 409
``running``.

``GET /health`` answers ``{healthy, incarnation, index_version, map_version,
draining}``. ``GET /load`` answers ``{in_flight, queued, slots, cold,
incarnation}``.

Every other status carries ``{kind, reason, not_run, index_version,
map_version, incarnation, cold, busy}``: 400 ``malformed``, 404
``unknown_shard``, 409 ``wrong_version``, 499 ``cancelled``, 500 ``failed``,
503 ``shed`` or ``draining``, 504 ``deadline_exceeded``. The versions are those
of the newest index that the searcher has. ``not_run`` is true if no part of
the request ran.
"""

from dataclasses import dataclass

from kumquatchute_model.query import Hit


@dataclass(frozen=True)
class SearchCall:
    """Search one shard.

    Result: ``SearchResult``, ``Refused`` or ``ConnectionReset``.

    :param deadline_ms: time for the answer in milliseconds
    """

    attempt: str
    shard: str
    index_version: int
    map_version: int
    names: tuple[str, ...]
    limit: int = 10
    deadline_ms: float = 1000.0


@dataclass(frozen=True)
class SubmitCall:
    """Run a payload.

    Result: ``SubmitResult``, ``Refused`` or ``ConnectionReset``.
    """

    attempt: str
    payload: str
    deadline_ms: float = 10_000.0


@dataclass(frozen=True)
class CancelCall:
    """Withdraw an attempt. Result: ``Cancelled`` or ``Refused``."""

    attempt: str


@dataclass(frozen=True)
class ReadHealth:
    """Result: ``Health``."""


@dataclass(frozen=True)
class ReadLoad:
    """Result: ``Load``."""


@dataclass(frozen=True)
class ReadRecords:
    """Result: ``Records``."""


Call = SearchCall | SubmitCall


@dataclass(frozen=True)
class SearchResult:
    """Answer to a search."""

    hits: tuple[Hit, ...]
    docs: int
    index_version: int
    map_version: int
    incarnation: str
    cold: bool
    busy: int


@dataclass(frozen=True)
class SubmitResult:
    """Answer to a submission that ran."""

    attempt: str
    result: str
    incarnation: str
    cold: bool
    busy: int


@dataclass(frozen=True)
class Refused:
    """A call without a result.

    :param not_run: True only if no part of the call ran
    """

    status: int
    kind: str
    reason: str
    not_run: bool = True
    index_version: int = 0
    map_version: int = 0
    incarnation: str = ""
    cold: bool = False
    busy: int = 0


@dataclass(frozen=True)
class ConnectionReset:
    """The connection is reset without an answer."""


Result = SearchResult | SubmitResult | Refused | ConnectionReset


@dataclass(frozen=True)
class Cancelled:
    """Whether the attempt was waiting or running."""

    cancelled: bool
    incarnation: str


@dataclass(frozen=True)
class Health:
    """What the searcher says about itself; faults can make it untrue."""

    healthy: bool
    incarnation: str
    index_version: int
    map_version: int
    draining: bool


@dataclass(frozen=True)
class Load:
    """What the searcher says about its load; faults can make it untrue."""

    in_flight: int
    queued: int
    slots: int
    cold: bool
    incarnation: str


@dataclass(frozen=True)
class CallRecord:
    """A call as the searcher saw it.

    Times are on the machine's monotonic clock in seconds.

    :param arrived: when it was received
    :param started: when it took a slot, None if it never ran
    :param ended: when it was answered, refused, cancelled or dropped
    :param peak: most requests in flight at any time while it ran
    :param cold: whether the searcher was cold when the call arrived
    :param status: status of the answer, 0 if the connection was reset
    """

    attempt: str
    call: str
    shard: str
    arrived: float
    started: float | None
    ended: float
    peak: int
    cold: bool
    status: int
    kind: str
    incarnation: str


@dataclass(frozen=True)
class Records:
    """All calls since the start or the last ``ClearRecords``.

    :param peak: most requests in flight at any time
    :param cold_peak: the same while cold, refused ones included
    :param executed: attempts of submissions that took effect, in order
    :param conns_opened: connections accepted
    :param conns_refused: connections reset because of the cap
    :param conns_peak: most connections open at any time
    """

    searcher: str
    incarnation: str
    peak: int
    cold_peak: int
    executed: tuple[str, ...]
    conns_opened: int
    conns_refused: int
    conns_peak: int
    records: tuple[CallRecord, ...] = ()


# Events of connections, posted by the front end.


@dataclass(frozen=True)
class ConnOpened:
    """A connection was accepted.

    :param open_conns: connections that are now open
    """

    open_conns: int


@dataclass(frozen=True)
class ConnRefused:
    """A connection over the cap was reset."""
