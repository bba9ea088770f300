"""Conditions under which an attempt may be sent to a searcher now."""

from dataclasses import dataclass

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Searcher
from kumquatchuted.tickets.messages import View


@dataclass(frozen=True)
class Eligibility:
    """State of the conditions under which attempts may go to a searcher.

    :param searcher: newest entry of the platform, None if it is not listed
    :param current_until: monotonic time in seconds until which the node is
        current
    :param is_owner: this node owns the searcher
    :param may_send: no previous owner can still be sending to it
    :param is_out_of_service: operators took its host or its data centre out
        of service
    :param expected_s: time that an attempt is expected to take, in seconds
    :param is_unhealthy: its health report is bad and credible
    :param draining_until: monotonic time in seconds before which nothing is
        sent, because the searcher reported that it is draining
    """

    searcher: Searcher | None = None
    current_until: float = 0.0
    is_owner: bool = False
    may_send: bool = False
    is_out_of_service: bool = False
    expected_s: float = 0.0
    is_unhealthy: bool = False
    draining_until: float = 0.0


def is_out_of_service(searcher: Searcher, view: View) -> bool:
    """Return True if its host or data centre is out of service."""
    return searcher.host in view.hosts_out or searcher.dc in view.dcs_out


def refusal(eligibility: Eligibility, now: float) -> Failure | None:
    """Return why no attempt may be sent, None if one may.

    :param now: monotonic time in seconds
    """
    if not eligibility.is_owner:
        return _not_run_failure(
            ErrorKind.NOT_OWNER, "this node is not the owner"
        )
    if not eligibility.may_send:
        return _not_run_failure(
            ErrorKind.NOT_OWNER, "the previous owner has not released it"
        )
    if now >= eligibility.current_until:
        return _not_run_failure(
            ErrorKind.NOT_CURRENT, "this node is not current"
        )
    if eligibility.searcher is None:
        return _not_run_failure(
            ErrorKind.TARGET_OUT, "the searcher is not listed"
        )
    if eligibility.searcher.leaving:
        return _not_run_failure(
            ErrorKind.TARGET_OUT, "the searcher is leaving"
        )
    if now < eligibility.draining_until:
        return _not_run_failure(
            ErrorKind.TARGET_OUT, "the searcher is draining"
        )
    if eligibility.is_out_of_service:
        return _not_run_failure(
            ErrorKind.TARGET_OUT, "its host or data centre is out of service"
        )
    return None


def deadline_failure(
    eligibility: Eligibility, expires_at: float, now: float
) -> Failure | None:
    """Return a failure if an attempt sent now cannot finish in time.

    :param expires_at: monotonic time in seconds at which the attempt expires
    :param now: monotonic time in seconds
    """
    if expires_at - now <= 0 or expires_at - now < eligibility.expected_s:
        return _not_run_failure(
            ErrorKind.DEADLINE_EXCEEDED, "too little time left to run it"
        )
    return None


def _not_run_failure(kind: ErrorKind, reason: str) -> Failure:
    return Failure(kind, reason, not_run=True)
