"""Mailboxes of the requests that this node runs."""

from collections.abc import Iterator
import contextlib

from kumquatchuted.mailbox import Mailbox
from kumquatchuted.retries.messages import DeadlineMoved


class OpenRequests:
    """Owns the list of the mailboxes of running requests."""

    def __init__(self) -> None:
        """Create an empty list."""
        self._mailboxes: set[Mailbox] = set()

    @contextlib.contextmanager
    def entry(self, mailbox: Mailbox) -> Iterator[None]:
        """List a mailbox while its request runs."""
        self._mailboxes.add(mailbox)
        try:
            yield
        finally:
            self._mailboxes.discard(mailbox)

    def limit(self, deadline: float) -> None:
        """Have all running requests answered by a time.

        :param deadline: monotonic time in seconds
        """
        for mailbox in self._mailboxes:
            mailbox.post(DeadlineMoved(deadline))
