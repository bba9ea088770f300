"""HTTP resource for searches."""

import falcon.asgi

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchAnswer
from kumquatchute_model.query import SearchRequest
from kumquatchute_model.search_codec import encode_search_answer
from kumquatchute_model.search_codec import SearchBody
from kumquatchute_model.settings import Role
from kumquatchuted.http.auth import ANY_ROLE
from kumquatchuted.http.calls import admit_request
from kumquatchuted.http.calls import AdmittedRequest
from kumquatchuted.http.calls import CallRoute
from kumquatchuted.http.calls import read_json
from kumquatchuted.http.calls import run_call
from kumquatchuted.http.context import HttpContext
from kumquatchuted.http.errors import send_json
from kumquatchuted.http.limits import check_deadline
from kumquatchuted.http.limits import check_limit
from kumquatchuted.http.limits import check_name
from kumquatchuted.search.messages import SearchCall

TIMEOUT_FAILURE = Failure(
    ErrorKind.DEADLINE_EXCEEDED, "the search was not answered in time"
)


class SearchResource:
    """``POST /v1/services/{service}/search``."""

    def __init__(self, context: HttpContext) -> None:
        """Create the resource with the shared dependencies."""
        self._context = context
        self._route = CallRoute(
            context.inboxes.search, TIMEOUT_FAILURE, "search"
        )

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        service: str,
    ) -> None:
        """Answer one search."""
        context = self._context
        call = await self._read_call(req, service)
        result = call
        if isinstance(call, SearchCall):
            deadline_ms = call.request.deadline_ms
            result = await run_call(context, self._route, call, deadline_ms)
        match result:
            case SearchAnswer():
                send_json(resp, encode_search_answer(result))
            case Failure():
                context.responder.send(resp, result)
            case _:
                raise TypeError(
                    "the search task returned an unexpected result"
                )

    async def _read_call(
        self, req: falcon.asgi.Request, service_name: str
    ) -> SearchCall | Failure:
        admitted = admit_request(self._context, req, service_name, ANY_ROLE)
        if isinstance(admitted, Failure):
            return admitted
        body = await read_json(req, SearchBody)
        if isinstance(body, Failure):
            return body
        request = _validate(body, admitted)
        if isinstance(request, Failure):
            return request
        return SearchCall(
            caller=admitted.identity.name,
            batch=admitted.identity.role is Role.BATCH,
            service=admitted.service.name,
            request=request,
            received_at=admitted.received_at,
        )


def _validate(
    body: SearchBody, admitted: AdmittedRequest
) -> SearchRequest | Failure:
    deadline_ms = admitted.deadline_ms(body.deadline_ms)
    failure = (
        check_name(body.name)
        or check_limit(body.limit)
        or check_deadline(deadline_ms)
    )
    return failure or SearchRequest(body.name, body.limit, deadline_ms)
