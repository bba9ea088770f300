"""Decides what the response to a request is good for.

Each path uses it: first attempts, retries, hedges, parts of a query, and those
that are gathered for another node.
"""

from dataclasses import dataclass

from kumquatchuted.responses.messages import SearcherResponse


@dataclass(frozen=True, slots=True)
class Good:
    """A success that callers can verify."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """A redirection or client error: an answer, but no part of a query."""


@dataclass(frozen=True, slots=True)
class Failed:
    """The searcher failed; the request may have run."""


@dataclass(frozen=True, slots=True)
class Unusable:
    """An answer that callers could not verify or read.

    The request may have run.

    :param reason: cause for the log and for the caller
    """

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The searcher states that it did not run the request."""


Quality = Good | Rejection | Failed | Unusable | NotRun

NO_DIGEST = "a success without a digest"
ENCODED_BODY = "a success with an encoded body"
CONTRADICTION = "a success that states that the request did not run"
INVALID_STATUS = "a status that HTTP does not have"
MAX_STATUS = 599


def assess(response: SearcherResponse) -> Quality:
    """Return what a complete response is good for."""
    if response.not_executed and response.status < 300:
        return Unusable(CONTRADICTION)
    if response.not_executed:
        return NotRun()
    if not 200 <= response.status <= MAX_STATUS:
        return Unusable(INVALID_STATUS)
    if response.status >= 500:
        return Failed()
    if response.status >= 300:
        return Rejection()
    if not response.stamp:
        return Unusable(NO_DIGEST)
    if response.is_encoded:
        return Unusable(ENCODED_BODY)
    return Good()


def is_answer(response: SearcherResponse, parts_only: bool) -> bool:
    """Return whether no other searcher needs to be asked.

    A redirection or client error answers the request to a single searcher. A
    searcher that sends one in place of a part would otherwise look like the
    fastest of its shard and get most of the queries.

    :param parts_only: whether the response is merged into the answer to a
        query
    """
    match assess(response):
        case Good():
            return True
        case Rejection():
            return not parts_only
    return False
