"""When the answer to a request must leave this node."""

from dataclasses import dataclass

# The way of the request to this node and of the answer back, which the node
# cannot see: a part of the objective and a fixed time in seconds.
WAY_SHARE = 0.08
WAY_S = 0.006
# An answer leaves this long before the caller stops waiting, in seconds, so
# that it still arrives.
LAST_S = 0.012


@dataclass(frozen=True, slots=True)
class Times:
    """Monotonic times of a request, in seconds.

    :param answer_at: last moment for an answer within the objective
    :param give_up_at: last moment for any answer
    """

    answer_at: float
    give_up_at: float


def plan_times(
    now: float,
    objective_s: float,
    timeout_s: float,
    patience_s: float | None,
    longest_patience_s: float,
) -> Times:
    """Return the times of a request that arrives now.

    The objective counts from the caller's first attempt. A later attempt
    shows in a shorter patience than the longest one seen on the route.

    :param patience_s: time for which the caller waits, None if not stated
    :param longest_patience_s: longest such time seen on the route
    """
    left_s = timeout_s if patience_s is None else min(patience_s, timeout_s)
    spent_s = 0.0
    if patience_s is not None:
        spent_s = max(0.0, longest_patience_s - patience_s)
    give_up_at = now + max(0.0, left_s - LAST_S)
    way_s = WAY_S + objective_s * WAY_SHARE
    answer_at = now + objective_s - way_s - spent_s
    return Times(min(answer_at, give_up_at), give_up_at)
