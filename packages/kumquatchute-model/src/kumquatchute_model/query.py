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
    """A document that matches the name."""

    doc: str
    name: str
    score: float
    text: str = ""


@dataclass(frozen=True)
class Snapshot:
    """Versions of the index, the shard map and the tickets of an answer.

    All parts of an answer come from the same versions.

    :param ticket: number of the ticket in force
    """

    index_version: int
    map_version: int
    ticket: int


@dataclass(frozen=True)
class Coverage:
    """How many documents of the snapshot an answer covers.

    :param documents: number of documents searched
    :param total: number of documents in the snapshot
    :param missing: identifiers of the shards without a result
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

    :param names: all spellings that were searched
    """

    hits: tuple[Hit, ...]
    snapshot: Snapshot
    coverage: Coverage
    names: tuple[str, ...]


@dataclass(frozen=True)
class SubmissionOutcome:
    """Answer of a target to a submission that ran.

    :param status: HTTP status of the target
    """

    attempt: str
    status: int
    result: str
