"""JSON encoding of searches and their answers."""

import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import Coverage
from kumquatchute_model.query import Hit
from kumquatchute_model.query import SearchAnswer
from kumquatchute_model.query import Snapshot


class SearchBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a search request.

    :param limit: maximum number of hits
    :param deadline_ms: time limit for the answer in milliseconds, None for
        the default of the service
    """

    name: str
    limit: int = 10
    deadline_ms: int | None = None


class CoverageBody(msgspec.Struct, frozen=True):
    """Wire form of ``Coverage``, with the fraction from 0 to 1."""

    documents: int
    total: int
    fraction: float
    missing: tuple[str, ...]


class SearchAnswerBody(msgspec.Struct, frozen=True):
    """Wire form of ``SearchAnswer``."""

    hits: tuple[Hit, ...]
    snapshot: Snapshot
    coverage: CoverageBody
    names: tuple[str, ...]


def encode_search_answer(answer: SearchAnswer) -> bytes:
    """Encode a search answer as JSON."""
    coverage = answer.coverage
    return msgspec.json.encode(
        SearchAnswerBody(
            answer.hits,
            answer.snapshot,
            CoverageBody(
                coverage.documents,
                coverage.total,
                coverage.fraction,
                coverage.missing,
            ),
            answer.names,
        )
    )


def decode_search_answer(body: bytes) -> SearchAnswer | Failure:
    """Decode a search answer from JSON.

    :returns: the answer, or ``MALFORMED`` if the body is not a valid one
    """
    try:
        wire = msgspec.json.decode(body, type=SearchAnswerBody)
    except DECODE_ERRORS as exc:
        return Failure(ErrorKind.MALFORMED, f"not a search answer: {exc}")
    coverage = wire.coverage
    return SearchAnswer(
        wire.hits,
        wire.snapshot,
        Coverage(coverage.documents, coverage.total, coverage.missing),
        wire.names,
    )
