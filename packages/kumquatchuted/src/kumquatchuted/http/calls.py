"""Requests of callers that a task answers within a deadline."""

from dataclasses import dataclass
from typing import Any
from typing import TypeVar

import falcon.asgi
from logbook import Logger
import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import Role
from kumquatchute_model.settings import ServiceSettings
from kumquatchuted.http.auth import Identity
from kumquatchuted.http.context import ask_with_timeout
from kumquatchuted.http.context import HttpContext
from kumquatchuted.http.limits import check_time_left
from kumquatchuted.http.limits import malformed
from kumquatchuted.http.limits import read_body
from kumquatchuted.mailbox import Post
from kumquatchuted.search.messages import SearchCall
from kumquatchuted.submission.messages import SubmissionCall

log = Logger("http")

# Wait after the deadline for an answer that the task gives just at that time.
ANSWER_GRACE_S = 0.25

Body = TypeVar("Body")


@dataclass(frozen=True)
class AdmittedRequest:
    """Sender, service and time of a request after both were checked.

    :param received_at: monotonic time in seconds
    """

    identity: Identity
    service: ServiceSettings
    received_at: float

    def deadline_ms(self, requested_ms: int | None) -> int:
        """Return the deadline of the request in milliseconds.

        :param requested_ms: deadline from the caller, None for the default
        """
        if requested_ms is None:
            return self.service.default_deadline_ms
        return requested_ms


@dataclass(frozen=True)
class CallRoute:
    """Receiver and timeout failure of the calls of one resource.

    :param post: posts to the task that answers
    :param timeout_failure: result if no answer arrives in time
    :param label: kind of call, for the log
    """

    post: Post
    timeout_failure: Failure
    label: str


def admit_request(
    context: HttpContext,
    req: falcon.asgi.Request,
    service_name: str,
    roles: frozenset[Role],
) -> AdmittedRequest | Failure:
    """Check the sender and the service of a request.

    :param roles: roles that may send the request
    :returns: the request, or why it is refused
    """
    received_at = context.clock()
    identity = context.auth.authorize(req.auth, roles)
    if isinstance(identity, Failure):
        return identity
    service = context.find_service(service_name)
    if isinstance(service, Failure):
        return service
    return AdmittedRequest(identity, service, received_at)


async def read_json(
    req: falcon.asgi.Request, body_type: type[Body]
) -> Body | Failure:
    """Read the JSON body of a request.

    :param body_type: class that describes the body
    :returns: the body, ``TOO_LARGE``, or ``MALFORMED`` if it is incomplete or
        does not match the class
    """
    body = await read_body(req)
    if isinstance(body, Failure):
        return body
    try:
        return msgspec.json.decode(body, type=body_type)
    except DECODE_ERRORS as exc:
        return malformed(str(exc))


async def run_call(
    context: HttpContext,
    route: CallRoute,
    call: SearchCall | SubmissionCall,
    deadline_ms: int,
) -> Any:
    """Ask the task and wait for its answer until shortly after the deadline.

    A call whose deadline has already passed is refused, and the task does not
    receive it.

    :param deadline_ms: milliseconds since the request was received
    :returns: the answer of the task or a ``Failure``
    """
    deadline = call.received_at + deadline_ms / 1000
    remaining_s = deadline - context.clock()
    result = check_time_left(remaining_s) or await ask_with_timeout(
        route.post, call, remaining_s + ANSWER_GRACE_S, route.timeout_failure
    )
    if isinstance(result, Failure):
        log.info(
            "{} failed service={} caller={} kind={}",
            route.label,
            call.service,
            call.caller,
            result.kind.value,
        )
    return result
