"""The loop that hands the messages of a mailbox to a task."""

import asyncio

import logbook
import pytest

from kumquatchuted.mailbox import handle_messages
from kumquatchuted.mailbox import Mailbox


@pytest.mark.report("one message ends a process")
def test_unexpected_error_does_not_end_a_task() -> None:
    """Guards against one message that takes the whole process down.

    The end of a task ends the process, and every node that gets such a
    message.
    """
    handled = []
    counted = []

    def handle(message: object) -> None:
        if message == "odd":
            raise ValueError("unexpected")
        handled.append(message)

    async def run() -> None:
        mailbox = Mailbox()
        task = asyncio.ensure_future(
            handle_messages(
                mailbox, handle, lambda *event: counted.append(event)
            )
        )
        for message in ("a", "odd", "b"):
            mailbox.post(message)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not task.done()
        task.cancel()

    with logbook.TestHandler().applicationbound() as records:
        asyncio.run(run())
    assert handled == ["a", "b"]
    assert counted == [("unhandled", "str")]
    assert records.has_error("message not handled message=str")
