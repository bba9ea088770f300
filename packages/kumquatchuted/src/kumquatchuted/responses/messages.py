"""Requests that await a response, and the verdicts on responses."""

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
