"""Messages of the searcher stand-in: calls, results and records.

The target protocol is JSON over HTTP/1.1. The body of each response repeats
the ``attempt`` of its request, empty if the request could not be decoded.

``POST /search`` takes ``{attempt, shard, index_version, map_version, names,
limit, deadline_ms}`` and answers 200 with ``{hits: [{doc, name, score,
text}], docs, index_version, map_version, incarnation, cold, busy, attempt}``,
where ``busy`` is the number of other requests that run or wait.

``POST /submit`` takes ``{attempt, payload}`` and optionally ``deadline_ms``,
and answers 200 with ``{attempt, result, incarnation, cold, busy}``.

``POST /cancel`` takes ``{attempt}`` and answers 200 with ``{cancelled,
incarnation, attempt}`` when the attempt does not run and never will;
``cancelled`` says whether it was waiting or running before. A submission that
occupies a slot is not stopped: the response is 409 ``running``.

``GET /health`` answers ``{healthy, incarnation, index_version, map_version,
draining, attempt}``. ``GET /load`` answers ``{in_flight, queued, slots, cold,
incarnation, attempt}``. Both take the attempt from the query string.

Every other status has the body ``{status, kind, reason, not_run,
index_version, map_version, incarnation, cold, busy, attempt}``. The kinds are
400 ``malformed``, 404 ``unknown_shard``, 409 ``wrong_version``, 499
``cancelled``, 500 ``failed``, 503 ``shed`` or ``draining``, and 504
``deadline_exceeded``. The versions are those of the newest index of the
searcher. ``not_run`` is true only if no part of the request ran.
"""

from dataclasses import dataclass

from kumquatchute_model.query import Hit


@dataclass(frozen=True)
class SearchCall:
    """Search one shard.

    Result: ``SearchResult``, ``Refused`` or ``ConnectionReset``.

    :param deadline_ms: time until the deadline in milliseconds
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
    """Cancel an attempt. Result: ``Cancelled`` or ``Refused``."""

    attempt: str


@dataclass(frozen=True)
class ReadHealth:
    """Read the health of the searcher. Result: ``Health``."""

    attempt: str = ""


@dataclass(frozen=True)
class ReadLoad:
    """Read the load of the searcher. Result: ``Load``."""

    attempt: str = ""


@dataclass(frozen=True)
class ReadRecords:
    """Read the recorded calls. Result: ``Records``."""


Call = SearchCall | SubmitCall


@dataclass(frozen=True)
class SearchResult:
    """Result of a search.

    :param docs: number of documents that the search covered
    :param cold: whether the searcher is in a cold start
    :param busy: number of other calls that run or wait
    """

    hits: tuple[Hit, ...]
    docs: int
    index_version: int
    map_version: int
    incarnation: str
    cold: bool
    busy: int
    attempt: str


@dataclass(frozen=True)
class SubmitResult:
    """Result of a submission that ran."""

    attempt: str
    result: str
    incarnation: str
    cold: bool
    busy: int


@dataclass(frozen=True)
class Refused:
    """A call that was refused or failed.

    :param status: HTTP status of the response
    :param kind: kind of the error, as listed at the head of this module
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
    attempt: str = ""


@dataclass(frozen=True)
class ConnectionReset:
    """The call gets no response because its connection is reset."""


Result = SearchResult | SubmitResult | Refused | ConnectionReset


@dataclass(frozen=True)
class RepeatedResult:
    """The result of a call, of which a second copy is sent.

    :param delay_ms: time until the second copy in milliseconds
    """

    result: Result
    delay_ms: float


@dataclass(frozen=True)
class Cancelled:
    """Result of a cancellation.

    :param cancelled: whether the attempt was waiting or running
    """

    cancelled: bool
    incarnation: str
    attempt: str


@dataclass(frozen=True)
class Health:
    """Health as the searcher reports it; ``SetReport`` can falsify it."""

    healthy: bool
    incarnation: str
    index_version: int
    map_version: int
    draining: bool
    attempt: str = ""


@dataclass(frozen=True)
class Load:
    """Load as the searcher reports it; ``SetReport`` can falsify it."""

    in_flight: int
    queued: int
    slots: int
    cold: bool
    incarnation: str
    attempt: str = ""


@dataclass(frozen=True)
class CallRecord:
    """A call as the searcher recorded it.

    Times are monotonic in seconds, comparable within one machine.

    :param call: ``search`` or ``submit``
    :param arrived: when it was received
    :param started: when it started to run, None if it never ran
    :param ended: when it was answered, refused or cancelled, or its connection
        was reset
    :param peak: maximum number of running calls while it ran
    :param cold: whether the searcher was cold when the call arrived
    :param status: HTTP status of the response, 0 if the searcher restarted
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
    """Calls and totals since the start or the last ``ClearRecords``.

    :param peak: maximum number of running calls
    :param cold_peak: the same while cold, including calls over the limit
    :param executed: attempts of submissions that ran, in their order
    :param conns_opened: connections accepted
    :param conns_refused: connections reset because of ``max_conns``
    :param conns_peak: maximum number of open connections
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


# Events of connections, posted by the server to the task.


@dataclass(frozen=True)
class ConnOpened:
    """A connection was accepted.

    :param open_conns: number of connections that are now open
    """

    open_conns: int


@dataclass(frozen=True)
class ConnRefused:
    """A connection over the limit was reset."""
