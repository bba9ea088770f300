"""Edges of the drain task."""

from dataclasses import dataclass

from kumquatchuted.mailbox import Post


@dataclass(frozen=True)
class DrainInboxes:
    """Where the steps of a graceful shutdown go.

    :param searches: takes ``Ask(StopSearches)``
    :param submissions: takes ``Ask(StopSubmissions)``
    :param placement: takes ``Ask(LeaveMembership, ReleaseLease)``
    :param targets: takes ``Ask(StopTargets)``
    """

    searches: Post
    submissions: Post
    placement: Post
    targets: Post
