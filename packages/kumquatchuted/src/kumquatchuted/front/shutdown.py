"""Decides which requests a stopping node still runs, and until when.

The platform kills the process at the end of the grace period. Until shortly
before that, the node answers the requests that it has accepted. It refuses
those that it could not answer in time, because a request that is cut off may
have run, and its caller does not know.
"""

from dataclasses import dataclass
from dataclasses import replace

from kumquatchuted.front.deadlines import RequestDeadlines

# The process exits this long before the kill.
KILL_MARGIN_S = 0.4
# Answers leave this long before the exit, so that they are still sent.
ANSWER_MARGIN_S = 0.15
# Multiples of the latency objective that must be left for an idempotent
# request whose own deadline is after the last answers. Most responses arrive
# within one.
IDEMPOTENT_OBJECTIVES = 2.0


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """Times of a graceful shutdown, in monotonic seconds.

    :param answer_by: when the last answers must leave
    :param exit_by: when the process must exit
    """

    answer_by: float
    exit_by: float


def plan_shutdown(now: float, grace_s: float) -> ShutdownPlan:
    """Return the plan of a shutdown that begins now.

    :param now: monotonic time in seconds
    :param grace_s: time until the kill, in seconds
    """
    exit_by = now + max(0.0, grace_s - KILL_MARGIN_S)
    return ShutdownPlan(max(now, exit_by - ANSWER_MARGIN_S), exit_by)


def limit_deadlines(
    plan: ShutdownPlan,
    deadlines: RequestDeadlines,
    idempotent: bool,
    objective_s: float,
    now: float,
) -> RequestDeadlines | None:
    """Return the deadlines of a request that a stopping node receives.

    The deadline of an at-most-once request is not moved. Its caller can send a
    refused request to another node, but not one that was given up.

    :param idempotent: whether the request may run more than once
    :param objective_s: latency objective of its route, in seconds
    :param now: monotonic time in seconds
    :returns: None if the request must be refused
    """
    if deadlines.deadline <= plan.answer_by:
        return deadlines
    if not idempotent:
        return None
    if now + IDEMPOTENT_OBJECTIVES * objective_s > plan.answer_by:
        return None
    return replace(
        deadlines,
        soft_deadline=min(deadlines.soft_deadline, plan.answer_by),
        deadline=plan.answer_by,
    )
