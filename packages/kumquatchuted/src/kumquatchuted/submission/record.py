"""The record of a submission in the store."""

from dataclasses import dataclass
from enum import Enum

from kumquatchute_model.query import SubmissionOutcome


class RecordState(Enum):
    """State of the attempt that a record names.

    ``CLAIMED``: it may run or be running. ``DONE``: the outcome is recorded.
    ``UNKNOWN``: it may have run. ``ABANDONED``: it did not run, so that the
    request can be claimed again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class Record:
    """The attempt that may run a submission, and its outcome.

    :param digest: digest of the service and the payload
    :param node: node that claimed the submission
    :param incarnation: incarnation of that node
    :param attempt: unique; only the request task that created it may run it
    :param outcome: response of the searcher in state ``DONE``, else None
    """

    caller: str
    key: str
    digest: str
    node: str
    incarnation: str
    attempt: str
    state: RecordState = RecordState.CLAIMED
    outcome: SubmissionOutcome | None = None
