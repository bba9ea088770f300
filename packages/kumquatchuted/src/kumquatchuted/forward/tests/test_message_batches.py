"""Messages that a request handles together."""

import asyncio

from kumquatchuted.forward.decide import ForwardResult
from kumquatchuted.forward.task import ForwardTask
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import AttemptAssigned
from kumquatchuted.searchers.messages import AttemptDone
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.messages import SendAttempt

SERVICE = "console"


def test_no_retry_is_sent_beside_a_response() -> None:
    """Guards against a needless retry, which uses up the retry budget.

    The failure of the first attempt and the response to its hedge are in the
    mailbox together.
    """
    posted: list[object] = []

    def list_sent() -> list[SendAttempt]:
        return [item for item in posted if isinstance(item, SendAttempt)]

    async def main() -> ForwardResult:
        loop = asyncio.get_running_loop()
        service = OneService(SERVICE)
        route = Route("r", "h", "/", True, 2.0, 0.3, 0, 3, service)
        task = ForwardTask(
            route,
            SERVICE,
            OutgoingRequest(b"r1", b"GET", b"", b""),
            loop.time() + 2.0,
            posted.append,
            loop.time,
        )
        running = asyncio.ensure_future(task.run())
        while not list_sent():
            await asyncio.sleep(0)
        first = list_sent()[0].key
        task.mailbox.post(AttemptAssigned(first, "i-1", 0.0))
        while len(list_sent()) < 2:
            await asyncio.sleep(0)
        hedge = list_sent()[1].key
        response = SearcherResponse(
            200, b"s", b"x", False, False, (), source="i-2"
        )
        task.mailbox.post(AttemptAssigned(hedge, "i-2", 1.0))
        task.mailbox.post(
            AttemptDone(first, "i-1", NoResponse("reset", was_sent=True))
        )
        task.mailbox.post(AttemptDone(hedge, "i-2", response))
        return await running

    assert asyncio.run(main()).failure is None
    assert len(list_sent()) == 2
