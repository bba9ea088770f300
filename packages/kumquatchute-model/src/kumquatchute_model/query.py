"""Search requests and results as callers see them."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SearchRequest:
    """A search for a name.

    :param name: name in any of its spellings
    :param limit: maximum number of hits
    :param deadline_ms: time limit for the whole answer in milliseconds
    """

    name: str
    limit: int = 10
    deadline_ms: int = 1000


@dataclass(frozen=True)
class Hit:
    """A document that matches one of the spellings searched.

    :param doc: identifier of the document
    :param name: name as it is spelled in the document
    :param score: relevance; hits are sorted by it, highest first
    :param text: text of the document, may be empty
    """

    doc: str
    name: str
    score: float
    text: str = ""


@dataclass(frozen=True)
class Snapshot:
    """Versions of the index, the shard map and the tickets of an answer.

    All parts of an answer come from the same versions.

    :param ticket: number of the newest ticket in force, 0 before the first
    """

    index_version: int
    map_version: int
    ticket: int


@dataclass(frozen=True)
class Coverage:
    """How many documents of the snapshot an answer covers.

    :param documents: number of documents searched
    :param total: number of documents in the snapshot
    :param missing: identifiers of the shards without a complete result
    """

    documents: int
    total: int
    missing: tuple[str, ...] = ()

    @property
    def fraction(self) -> float:
        """Return the share of documents searched, 1.0 if there are none."""
        return self.documents / self.total if self.total else 1.0


@dataclass(frozen=True)
class SearchAnswer:
    """The merged answer to a search.

    :param hits: the best hits of all shards, highest score first
    :param names: all spellings that were searched
    """

    hits: tuple[Hit, ...]
    snapshot: Snapshot
    coverage: Coverage
    names: tuple[str, ...]


@dataclass(frozen=True)
class SubmissionOutcome:
    """Response of a target to a submission that it ran.

    :param attempt: identifier of the attempt that ran
    :param status: HTTP status of the response
    :param result: result that the target stated
    """

    attempt: str
    status: int
    result: str
