"""Responses that a searcher's client cannot decode."""

import asyncio

from aiohttp import web
import pytest

from kumquatchuted.target_http.client import HttpTargetClient
from kumquatchuted.target_http.tests.test_target_client import admit_always
from kumquatchuted.target_http.tests.test_target_client import SEARCH
from kumquatchuted.target_http.tests.test_target_client import Server
from kumquatchuted.target_http.tests.test_target_client import SUBMIT
from kumquatchuted.target_http.tests.test_target_client import with_client
from kumquatchuted.targets.messages import AttemptFailed

DEEP_DOCUMENT = b'{"other":' + b"[" * 5_000 + b"]" * 5_000 + b"}"


@pytest.mark.report("one message ends a process")
@pytest.mark.parametrize("status", [200, 409, 500, 503])
def test_deeply_nested_response_fails_only_its_attempt(status: int) -> None:
    """Guards against one response that ends the process of the node.

    The decoder raises ``RecursionError``, which ends the task of the target
    and with it the node and all its requests.
    """

    async def respond(req: web.Request) -> web.Response:
        await req.read()
        return web.Response(status=status, body=DEEP_DOCUMENT)

    async def body(client: HttpTargetClient, server: Server) -> None:
        for attempt in (SEARCH, SUBMIT):
            result = await client.run(attempt, 1.0, admit_always)
            assert isinstance(result.outcome, AttemptFailed)
            assert not result.outcome.not_run
        if status == 200:
            assert await client.read_report(1.0) is None
            assert await client.cancel("q1", 1.0) is None
        await asyncio.sleep(0)

    with_client(respond, body)
