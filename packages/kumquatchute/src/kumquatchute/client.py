"""HTTP client for the operator interface of the nodes.

A read is sent to the next node if one does not answer. A ticket is submitted
to the next node only if the previous one certainly did not record it.
"""

import asyncio
from typing import Any
from urllib.parse import quote

import aiohttp
import msgspec

from kumquatchute.connection import ConnectionOptions
from kumquatchute.results import NodeStatusResult
from kumquatchute.results import TicketDetails
from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchAnswer
from kumquatchute_model.search_codec import decode_search_answer
from kumquatchute_model.search_codec import SearchBody
from kumquatchute_model.status import NodeStatus
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket_codec import encode_draft
from kumquatchute_model.ticket_codec import ticket_from_wire
from kumquatchute_model.ticket_codec import TicketDraft
from kumquatchute_model.ticket_codec import WireTicket

CONNECT_TIMEOUT_S = 3.0
# A node answers the submission of a ticket within 17 s.
RESPONSE_TIMEOUT_S = 20.0
# A node answers with its status from memory, so only one that is paused or
# down takes longer.
STATUS_TIMEOUT_S = 2.0
# Failures caused by the state of the node and not by the request, so that
# another node may succeed.
NODE_FAILURE_KINDS = frozenset(
    {
        ErrorKind.UNAVAILABLE,
        ErrorKind.OVERLOADED,
        ErrorKind.NOT_CURRENT,
        ErrorKind.STOPPING,
        ErrorKind.TOO_FEW_NODES,
    }
)


class AcceptedBody(msgspec.Struct, frozen=True):
    """Answer to an accepted ticket."""

    number: int
    digest: str


class TicketBody(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/tickets/{n}``."""

    ticket: WireTicket
    held_by: tuple[str, ...]
    accepted: bool


class TicketLogBody(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/tickets?after=N``."""

    tickets: tuple[WireTicket, ...]


class ErrorBody(msgspec.Struct, frozen=True):
    """Answer that reports a failure."""

    kind: ErrorKind
    reason: str
    not_run: bool = False


class Client:
    """Client for the given nodes, to be used with ``async with``."""

    def __init__(self, options: ConnectionOptions) -> None:
        """Create the client without opening a connection."""
        self._options = options
        self._nodes = options.nodes
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {self._options.token}"}
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the HTTP session."""
        await self._session.close()

    async def submit(self, draft: TicketDraft) -> AcceptedBody | Failure:
        """Submit a ticket.

        :returns: the answer, or a failure whose ``not_run`` is False if the
            ticket may have been recorded
        """
        body = encode_draft(draft)
        result = _no_node_given()
        for node in self._nodes:
            response = await self._send("POST", f"{node}/v1/tickets", body)
            result = _decode(response, AcceptedBody, outcome_unknown=True)
            match result:
                case Failure(kind=kind, not_run=True) if (
                    kind in NODE_FAILURE_KINDS
                ):
                    continue
                case _:
                    return result
        return result

    async def read_ticket(self, number: int) -> TicketDetails | Failure:
        """Read one ticket."""
        response = await self._read_from_any(f"/v1/tickets/{number}")
        body = _decode(response, TicketBody)
        if isinstance(body, Failure):
            return body
        ticket = ticket_from_wire(body.ticket)
        if isinstance(ticket, Failure):
            return ticket
        return TicketDetails(ticket, body.held_by, body.accepted)

    async def list_tickets(self, after: int) -> tuple[Ticket, ...] | Failure:
        """Read the tickets after a number, at most one page of them."""
        response = await self._read_from_any(f"/v1/tickets?after={after}")
        body = _decode(response, TicketLogBody)
        if isinstance(body, Failure):
            return body
        tickets = tuple(map(ticket_from_wire, body.tickets))
        failures = (t for t in tickets if isinstance(t, Failure))
        return next(failures, tickets)

    async def read_statuses(self) -> tuple[NodeStatusResult, ...]:
        """Read the status of all nodes concurrently."""
        nodes = self._options.nodes
        return tuple(await asyncio.gather(*map(self._read_status, nodes)))

    async def read_newest_number(self) -> int | Failure:
        """Return the highest number of a ticket in force on any node.

        Later calls first try the nodes that answered, so that a paused node
        does not delay the submission of a ticket as well.

        :returns: the number, or the failure of a node if none answered
        """
        results = sorted(await self.read_statuses(), key=_has_failed)
        self._nodes = tuple(result.url for result in results)
        statuses = [result.status for result in results]
        numbers = [s.ticket for s in statuses if isinstance(s, NodeStatus)]
        return max(numbers) if numbers else statuses[-1]

    async def search(
        self, service: str, body: SearchBody
    ) -> SearchAnswer | Failure:
        """Search a service for a name."""
        path = f"/v1/services/{quote(service, safe='')}/search"
        response = await self._read_from_any(
            path, "POST", msgspec.json.encode(body)
        )
        if isinstance(response, Failure):
            return response
        return decode_search_answer(response)

    async def _read_status(self, node: str) -> NodeStatusResult:
        url = f"{node}/v1/status"
        response = await self._send("GET", url, timeout_s=STATUS_TIMEOUT_S)
        return NodeStatusResult(node, _decode(response, NodeStatus))

    async def _read_from_any(
        self, path: str, method: str = "GET", body: bytes | None = None
    ) -> bytes | Failure:
        """Call one node after another until one answers the request."""
        result = _no_node_given()
        for node in self._nodes:
            result = await self._send(method, node + path, body)
            match result:
                case Failure(kind=kind) if kind in NODE_FAILURE_KINDS:
                    continue
                case Failure(kind=ErrorKind.OUTCOME_UNKNOWN):
                    continue
                case _:
                    return result
        return result

    async def _send(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> bytes | Failure:
        """Send one request.

        :param timeout_s: time limit for the whole exchange in seconds
        :returns: the body of a response with status 200, the failure that
            the node sent, ``UNAVAILABLE`` if no connection was made, or
            ``OUTCOME_UNKNOWN`` if no response arrived or it was not valid
        """
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                headers=headers,
                # A redirect must not pass the token on to another server.
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as resp:
                content = await resp.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return Failure(
                ErrorKind.UNAVAILABLE, f"cannot connect to {url}", not_run=True
            )
        except (aiohttp.ClientError, TimeoutError) as exc:
            return _unknown_outcome(
                f"no answer from {url}: {type(exc).__name__}"
            )
        if resp.status == 200:
            return content
        return _decode_error(url, resp.status, content)


def _has_failed(result: NodeStatusResult) -> bool:
    return isinstance(result.status, Failure)


def _decode_error(url: str, status: int, content: bytes) -> Failure:
    try:
        error = msgspec.json.decode(content, type=ErrorBody)
    except DECODE_ERRORS:
        return _unknown_outcome(
            f"{url} answered HTTP status {status} without a reason"
        )
    return Failure(error.kind, error.reason, error.not_run)


def _decode(
    response: bytes | Failure, body_type: type, outcome_unknown: bool = False
) -> Any:
    """Decode the body of a successful response.

    :param outcome_unknown: whether an invalid body is reported as
        ``OUTCOME_UNKNOWN`` in place of ``INTERNAL``
    """
    if isinstance(response, Failure):
        return response
    try:
        return msgspec.json.decode(response, type=body_type)
    except DECODE_ERRORS as exc:
        reason = f"the answer of the node is not valid: {exc}"
        return (
            _unknown_outcome(reason)
            if outcome_unknown
            else Failure(ErrorKind.INTERNAL, reason)
        )


def _unknown_outcome(reason: str) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)


def _no_node_given() -> Failure:
    return Failure(ErrorKind.UNAVAILABLE, "no node was given", not_run=True)
