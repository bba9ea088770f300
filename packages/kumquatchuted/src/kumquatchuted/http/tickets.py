"""HTTP resources for the change tickets of operators."""

from dataclasses import dataclass

import falcon.asgi
from logbook import Logger
import msgspec

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket_codec import decode_draft
from kumquatchute_model.ticket_codec import draft_entries
from kumquatchute_model.ticket_codec import ticket_to_wire
from kumquatchute_model.ticket_codec import WireTicket
from kumquatchuted.http.auth import OPERATOR_ROLES
from kumquatchuted.http.context import ask_with_timeout
from kumquatchuted.http.context import HttpContext
from kumquatchuted.http.errors import send_json
from kumquatchuted.http.limits import malformed
from kumquatchuted.http.limits import MAX_TICKET_NUMBER
from kumquatchuted.http.limits import parse_ticket_number
from kumquatchuted.http.limits import read_body
from kumquatchuted.tickets.messages import ListTickets
from kumquatchuted.tickets.messages import ShowTicket
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketAccepted
from kumquatchuted.tickets.messages import TicketShown

log = Logger("http")

# An accepted change takes effect on all nodes within 17 s. An operator without
# an answer by then reads the outcome with "ticket show".
SUBMIT_TIMEOUT_S = 17.0
READ_TIMEOUT_S = 5.0

# New tickets are refused as soon as a stop is requested, so that those in
# progress can end while the node waits for the load balancer.
STOPPING_FAILURE = Failure(
    ErrorKind.STOPPING, "this node is shutting down", not_run=True
)
SUBMIT_TIMEOUT_FAILURE = Failure(
    ErrorKind.OUTCOME_UNKNOWN, "no outcome in time; read the ticket log"
)
READ_TIMEOUT_FAILURE = Failure(
    ErrorKind.UNAVAILABLE, "the ticket log was not read in time", not_run=True
)


@dataclass(frozen=True)
class TicketBody:
    """A ticket, the nodes known to hold it and whether it is accepted."""

    ticket: WireTicket
    held_by: tuple[str, ...]
    accepted: bool


@dataclass(frozen=True)
class TicketListBody:
    """Tickets ordered by number."""

    tickets: tuple[WireTicket, ...]


class TicketsResource:
    """``POST /v1/tickets`` and ``GET /v1/tickets?after=N``."""

    def __init__(self, context: HttpContext) -> None:
        """Create the resource with the shared dependencies."""
        self._context = context

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Submit a ticket."""
        submit = await self._read_submit(req)
        result = submit
        if isinstance(submit, SubmitTicket):
            result = await self._submit(submit)
        match result:
            case TicketAccepted():
                send_json(resp, msgspec.json.encode(result))
            case Failure():
                self._context.responder.send(resp, result)
            case _:
                raise TypeError(
                    "the ticket task returned an unexpected result"
                )

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return the tickets after a number."""
        result = await self._list(req)
        match result:
            case tuple():
                tickets = tuple(map(ticket_to_wire, result))
                send_json(resp, msgspec.json.encode(TicketListBody(tickets)))
            case Failure():
                self._context.responder.send(resp, result)
            case _:
                raise TypeError(
                    "the ticket task returned an unexpected result"
                )

    async def _submit(self, submit: SubmitTicket) -> TicketAccepted | Failure:
        result = await ask_with_timeout(
            self._context.inboxes.tickets,
            submit,
            SUBMIT_TIMEOUT_S,
            SUBMIT_TIMEOUT_FAILURE,
        )
        match result:
            case TicketAccepted(number=number):
                log.info(
                    "ticket accepted number={} author={}",
                    number,
                    submit.author,
                )
            case Failure(kind=kind):
                log.info(
                    "ticket failed author={} kind={}",
                    submit.author,
                    kind.value,
                )
        return result

    async def _list(
        self, req: falcon.asgi.Request
    ) -> tuple[Ticket, ...] | Failure:
        context = self._context
        identity = context.auth.authorize(req.auth, OPERATOR_ROLES)
        if isinstance(identity, Failure):
            return identity
        after = parse_ticket_number(req.get_param("after") or "0")
        if isinstance(after, Failure):
            return after
        return await ask_with_timeout(
            context.inboxes.tickets,
            ListTickets(after),
            READ_TIMEOUT_S,
            READ_TIMEOUT_FAILURE,
        )

    async def _read_submit(
        self, req: falcon.asgi.Request
    ) -> SubmitTicket | Failure:
        identity = self._context.auth.authorize(req.auth, OPERATOR_ROLES)
        if isinstance(identity, Failure):
            return identity
        if self._context.state().ready.stopping:
            return STOPPING_FAILURE
        body = await read_body(req)
        if isinstance(body, Failure):
            return body
        draft = decode_draft(body)
        if isinstance(draft, Failure):
            return draft
        number = draft.number
        if number is not None and not 1 <= number <= MAX_TICKET_NUMBER:
            return malformed(
                f"a new ticket number must be 1 to {MAX_TICKET_NUMBER}"
            )
        return SubmitTicket(identity.name, draft_entries(draft), number)


class TicketResource:
    """``GET /v1/tickets/{number}``."""

    def __init__(self, context: HttpContext) -> None:
        """Create the resource with the shared dependencies."""
        self._context = context

    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        number: str,
    ) -> None:
        """Return a ticket."""
        result = await self._show(req, number)
        match result:
            case TicketShown(
                ticket=ticket, held_by=held_by, accepted=is_accepted
            ):
                body = TicketBody(ticket_to_wire(ticket), held_by, is_accepted)
                send_json(resp, msgspec.json.encode(body))
            case Failure():
                self._context.responder.send(resp, result)
            case _:
                raise TypeError(
                    "the ticket task returned an unexpected result"
                )

    async def _show(
        self, req: falcon.asgi.Request, text: str
    ) -> TicketShown | Failure:
        context = self._context
        identity = context.auth.authorize(req.auth, OPERATOR_ROLES)
        if isinstance(identity, Failure):
            return identity
        number = parse_ticket_number(text)
        if isinstance(number, Failure):
            return number
        return await ask_with_timeout(
            context.inboxes.tickets,
            ShowTicket(number),
            READ_TIMEOUT_S,
            READ_TIMEOUT_FAILURE,
        )
