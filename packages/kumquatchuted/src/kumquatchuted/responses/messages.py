"""Requests that await a response, responses, and the verdicts on them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Exchange:
    """The request that awaits its response on a connection.

    :param key: attempt that the response belongs to
    :param request_id: value that the id header of the response must have;
        empty if the caller sent none
    :param expects_body: False for a method whose responses have no body
    :param is_first: whether the connection has carried no other request
    """

    key: object
    request_id: bytes
    expects_body: bool
    is_first: bool


@dataclass(frozen=True, slots=True)
class SearcherResponse:
    """A complete response of a searcher.

    :param stamp: digest of the response; empty if it has none that is valid
    :param not_executed: whether the searcher states that it did not run the
        request
    :param wrong_process: whether another process than the chosen searcher
        responded, which now has its address
    :param headers: headers that callers receive, names in lower case
    :param source: searcher and connection, or node, that it came from
    :param is_encoded: whether the body is not the one that the digest is of
    """

    status: int
    stamp: bytes
    body: bytes
    not_executed: bool
    wrong_process: bool
    headers: tuple[tuple[bytes, bytes], ...]
    source: str = ""
    is_encoded: bool = False


@dataclass(frozen=True, slots=True)
class MatchedById:
    """The response names the pending request."""


@dataclass(frozen=True, slots=True)
class MatchedAsFirst:
    """The response names no request, on a connection that carried no other.

    A copy of it would look the same, so that the connection must not carry
    another request.
    """


@dataclass(frozen=True, slots=True)
class Foreign:
    """The response names another request; that to the pending one may follow.

    :param request_id: the request that it names
    """

    request_id: bytes


@dataclass(frozen=True, slots=True)
class Unproven:
    """Nothing shows that the response is that to the pending request.

    :param reason: cause for the log and for the caller
    """

    reason: str


Verdict = MatchedById | MatchedAsFirst | Foreign | Unproven
