"""HTTP resource for submissions, which are non-idempotent requests."""

import falcon.asgi
import msgspec

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.http.auth import CALLER_ROLES
from kumquatchuted.http.calls import admit_request
from kumquatchuted.http.calls import CallRoute
from kumquatchuted.http.calls import read_json
from kumquatchuted.http.calls import run_call
from kumquatchuted.http.context import HttpContext
from kumquatchuted.http.errors import send_json
from kumquatchuted.http.limits import check_deadline
from kumquatchuted.http.limits import parse_key
from kumquatchuted.submission.messages import SubmissionCall

KEY_HEADER = "Idempotency-Key"

# The outcome of a submission without an answer is unknown, so it is never
# reported as not run.
TIMEOUT_FAILURE = Failure(
    ErrorKind.OUTCOME_UNKNOWN,
    "no outcome in time; send the request again with the same key",
)


class SubmissionBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a submission.

    :param deadline_ms: deadline in milliseconds, None for the default of the
        service
    """

    payload: str
    deadline_ms: int | None = None


class SubmissionsResource:
    """``POST /v1/services/{service}/submissions``."""

    def __init__(self, context: HttpContext) -> None:
        """Create the resource with the shared dependencies."""
        self._context = context
        self._route = CallRoute(
            context.inboxes.submission, TIMEOUT_FAILURE, "submission"
        )

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        service: str,
    ) -> None:
        """Answer one submission."""
        context = self._context
        call = await self._read_call(req, service)
        result = call
        if isinstance(call, SubmissionCall):
            result = await run_call(
                context, self._route, call, call.deadline_ms
            )
        match result:
            case SubmissionOutcome():
                send_json(resp, msgspec.json.encode(result))
            case Failure():
                context.responder.send(resp, result)
            case _:
                raise TypeError(
                    "the submission task returned an unexpected result"
                )

    async def _read_call(
        self, req: falcon.asgi.Request, service_name: str
    ) -> SubmissionCall | Failure:
        admitted = admit_request(
            self._context, req, service_name, CALLER_ROLES
        )
        if isinstance(admitted, Failure):
            return admitted
        key = parse_key(req.get_header(KEY_HEADER))
        if isinstance(key, Failure):
            return key
        body = await read_json(req, SubmissionBody)
        if isinstance(body, Failure):
            return body
        deadline_ms = admitted.deadline_ms(body.deadline_ms)
        return check_deadline(deadline_ms) or SubmissionCall(
            caller=admitted.identity.name,
            service=admitted.service.name,
            key=key,
            payload=body.payload,
            deadline_ms=deadline_ms,
            received_at=admitted.received_at,
        )
