"""When the answer to a request must leave this node."""

from dataclasses import dataclass

# The way of the request to this node and of the answer back, which the node
# cannot see: a part of the objective and a fixed time in seconds.
TRANSIT_SHARE = 0.08
TRANSIT_S = 0.006
# An answer leaves this long before the caller stops waiting, in seconds, so
# that it still arrives.
REPLY_MARGIN_S = 0.012


@dataclass(frozen=True, slots=True)
class RequestDeadlines:
    """Monotonic times of a request, in seconds.

    :param answer_at: last moment for an answer within the objective
    :param give_up_at: last moment for any answer
    """

    answer_at: float
    give_up_at: float


def plan_deadlines(
    now: float,
    objective_s: float,
    timeout_s: float,
    caller_timeout_s: float | None,
    longest_timeout_s: float,
) -> RequestDeadlines:
    """Return the times of a request that arrives now.

    The objective counts from the caller's first attempt. A later attempt
    shows in a shorter patience than the longest one seen on the route.

    :param patience_s: time for which the caller waits, None if not stated
    :param longest_patience_s: longest such time seen on the route
    """
    left_s = (
        timeout_s
        if caller_timeout_s is None
        else min(caller_timeout_s, timeout_s)
    )
    elapsed_s = 0.0
    if caller_timeout_s is not None:
        elapsed_s = max(0.0, longest_timeout_s - caller_timeout_s)
    give_up_at = now + max(0.0, left_s - REPLY_MARGIN_S)
    transit_s = TRANSIT_S + objective_s * TRANSIT_SHARE
    answer_at = now + objective_s - transit_s - elapsed_s
    return RequestDeadlines(min(answer_at, give_up_at), give_up_at)
