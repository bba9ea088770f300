"""Inboxes that the HTTP listeners post requests to."""

from dataclasses import dataclass

from kumquatchuted.mailbox import Post


@dataclass(frozen=True)
class RequestInboxes:
    """Inboxes of the tasks that answer callers and operators.

    :param search: accepts ``Ask(SearchCall)``
    :param submission: accepts ``Ask(SubmissionCall)``
    :param tickets: accepts ``Ask(SubmitTicket, ShowTicket, ListTickets)``
    """

    search: Post
    submission: Post
    tickets: Post
