"""JSON bodies of the HTTP protocol of searchers.

Every response repeats the ``attempt`` of its request, in its body. This alone
shows to which request a response belongs: a searcher can send a second copy of
a response, which then arrives while another request is pending.
"""

from dataclasses import dataclass

from kumquatchute_model.query import Hit

MAX_REQUEST_BYTES = 1 << 20
MAX_RESPONSE_BYTES = 1 << 20


@dataclass(frozen=True)
class ResponseOwner:
    """The part of every response body that names its request.

    :param attempt: attempt of the request, empty if the body names none
    """

    attempt: str = ""


@dataclass(frozen=True)
class SearchRequestBody:
    """Body of ``POST /search``."""

    attempt: str
    shard: str
    index_version: int
    map_version: int
    names: tuple[str, ...]
    limit: int
    deadline_ms: float


@dataclass(frozen=True)
class SubmitRequestBody:
    """Body of ``POST /submit``."""

    attempt: str
    payload: str
    deadline_ms: float


@dataclass(frozen=True)
class CancelRequestBody:
    """Body of ``POST /cancel``."""

    attempt: str


@dataclass(frozen=True)
class CancelResponseBody:
    """Body of a response with status 200 to ``POST /cancel``.

    :param cancelled: True if the attempt was queued or running
    """

    cancelled: bool
    incarnation: str = ""


@dataclass(frozen=True)
class SearchResponseBody:
    """Body of a response with status 200 to ``POST /search``.

    :param docs: number of documents of the shard that the result covers
    """

    hits: tuple[Hit, ...]
    docs: int
    index_version: int
    map_version: int
    incarnation: str = ""
    cold: bool = False


@dataclass(frozen=True)
class SubmitResponseBody:
    """Body of a response with status 200 to ``POST /submit``."""

    result: str
    incarnation: str = ""
    cold: bool = False


@dataclass(frozen=True)
class ErrorBody:
    """Body of a response with any other status.

    Status 503 with the kind ``shed`` or ``draining`` means that the searcher
    ran no part of the attempt.

    :param index_version: newest index version of the searcher
    """

    kind: str = ""
    reason: str = ""
    index_version: int = 0
    incarnation: str = ""
    cold: bool = False


SHED_KIND = "shed"
DRAINING_KIND = "draining"


@dataclass(frozen=True)
class HealthBody:
    """Body of a response with status 200 to ``GET /health``."""

    healthy: bool


@dataclass(frozen=True)
class LoadBody:
    """Body of a response with status 200 to ``GET /load``."""

    cold: bool = False
    incarnation: str = ""
