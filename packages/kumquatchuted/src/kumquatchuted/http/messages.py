"""Messages and edges of the HTTP adapter."""

from dataclasses import dataclass

from kumquatchuted.mailbox import Post


@dataclass(frozen=True)
class RequestInboxes:
    """Where requests of callers and operators go.

    :param search: takes ``Ask(SearchCall)``
    :param submission: takes ``Ask(SubmissionCall)``
    :param tickets: takes ``Ask(SubmitTicket, ShowTicket, ListTickets)``
    """

    search: Post
    submission: Post
    tickets: Post
