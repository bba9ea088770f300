"""Inboxes of the tasks that the drain task sends requests to."""

from dataclasses import dataclass

from kumquatchuted.mailbox import Post


@dataclass(frozen=True)
class DrainInboxes:
    """Inboxes of the tasks that perform the steps of a graceful shutdown.

    :param searches: receives ``Ask(StopSearches)``
    :param submissions: receives ``Ask(StopSubmissions)``
    :param placement: receives ``Ask(LeaveMembership)`` and
        ``Ask(ReleaseLease)``
    :param targets: receives ``Ask(StopTargets)``
    """

    searches: Post
    submissions: Post
    placement: Post
    targets: Post
