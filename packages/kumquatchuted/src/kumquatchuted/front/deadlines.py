"""Decides when the answer to a request must leave this node."""

from dataclasses import dataclass

# Estimated transit time of a request and its answer, which the node cannot
# measure: a share of the latency objective plus a fixed time.
TRANSIT_SHARE = 0.08
TRANSIT_S = 0.006
# Time that a caller has spent on opening a connection when the first request
# on it arrives: a round trip to a caller outside the data centre.
CONNECT_S = 0.006
# An answer leaves this long before the caller's timeout, so that it arrives in
# time.
REPLY_MARGIN_S = 0.012


@dataclass(frozen=True, slots=True)
class RequestDeadlines:
    """Deadlines of a request, in monotonic seconds.

    :param soft_deadline: when an answer must leave to meet the objective
    :param deadline: when an answer must leave at the latest
    """

    soft_deadline: float
    deadline: float


def plan_deadlines(
    now: float,
    objective_s: float,
    timeout_s: float,
    caller_timeout_s: float | None,
    longest_timeout_s: float,
    is_first_on_connection: bool = False,
) -> RequestDeadlines:
    """Return the deadlines of a request that arrives now.

    The objective counts from the caller's first attempt. Each attempt states
    the time that is left, so a later one is recognised by a timeout below the
    longest one seen on the route; the difference is the time already used.

    :param now: monotonic time in seconds
    :param objective_s: latency objective of the route, in seconds
    :param timeout_s: timeout of the route, in seconds
    :param caller_timeout_s: time for which the caller waits, in seconds; None
        if not stated
    :param longest_timeout_s: longest such time seen on the route, in seconds
    :param is_first_on_connection: whether the caller opened a connection for
        the request
    """
    remaining_s = (
        timeout_s
        if caller_timeout_s is None
        else min(caller_timeout_s, timeout_s)
    )
    elapsed_s = 0.0
    if caller_timeout_s is not None:
        elapsed_s = max(0.0, longest_timeout_s - caller_timeout_s)
    deadline = now + max(0.0, remaining_s - REPLY_MARGIN_S)
    transit_s = TRANSIT_S + objective_s * TRANSIT_SHARE
    if is_first_on_connection:
        transit_s += CONNECT_S
    soft_deadline = now + objective_s - transit_s - elapsed_s
    return RequestDeadlines(min(soft_deadline, deadline), deadline)
