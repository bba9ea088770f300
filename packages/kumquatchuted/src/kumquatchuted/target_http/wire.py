"""JSON documents of the target protocol."""

from dataclasses import dataclass

from kumquatchute_model.query import Hit

MAX_REQUEST_BYTES = 1 << 20
MAX_RESPONSE_BYTES = 1 << 20


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
    """Status 200 of ``POST /cancel``: whether it waited or ran."""

    cancelled: bool
    incarnation: str = ""


@dataclass(frozen=True)
class SearchResponseBody:
    """Status 200 of ``POST /search``."""

    hits: tuple[Hit, ...]
    docs: int
    index_version: int
    map_version: int
    incarnation: str = ""
    cold: bool = False


@dataclass(frozen=True)
class SubmitResponseBody:
    """Status 200 of ``POST /submit``."""

    result: str
    incarnation: str = ""
    cold: bool = False


@dataclass(frozen=True)
class ErrorBody:
    """Any other status.

    A searcher that answers 503 with the kind ``shed`` or ``draining`` says
    by it that it ran no part of the attempt.

    :param index_version: newest version that the searcher has
    """

    kind: str = ""
    reason: str = ""
    index_version: int = 0
    incarnation: str = ""
    cold: bool = False


SHED = "shed"
DRAINING = "draining"


@dataclass(frozen=True)
class HealthBody:
    """Status 200 of ``GET /health``."""

    healthy: bool


@dataclass(frozen=True)
class LoadBody:
    """Status 200 of ``GET /load``."""

    cold: bool = False
    incarnation: str = ""
