"""Inboxes that the HTTP listeners post requests to."""

from dataclasses import dataclass

from kumquatchuted.mailbox import Post


@dataclass(frozen=True)
class RequestInboxes:
    """Inboxes of the tasks that answer callers and operators.

    :param search: receives ``Ask(SearchCall)``
    :param submission: receives ``Ask(SubmissionCall)``
    :param tickets: receives ``Ask(SubmitTicket, ShowTicket, ListTickets)``
    """

    search: Post
    submission: Post
    tickets: Post
