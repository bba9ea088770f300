"""Serves the partial queries of other nodes."""

from collections.abc import Callable
from collections.abc import Collection

from kumquatchute_model.errors import Failure
from kumquatchuted.front.open_requests import OpenRequests
from kumquatchuted.gather.merge import merge_records
from kumquatchuted.gather.task import GatherTask
from kumquatchuted.mailbox import Post
from kumquatchuted.notices.messages import ProcessesLeaving
from kumquatchuted.notices.messages import ProcessId
from kumquatchuted.partials.messages import PartialQueryRequest
from kumquatchuted.partials.messages import PartialQueryResponse
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest

MS_PER_S = 1000


async def serve_partial_query(
    req: PartialQueryRequest,
    post: Post,
    leaving_processes: Callable[[Collection[str]], tuple[ProcessId, ...]],
    open_requests: OpenRequests,
    clock: Callable[[], float],
) -> PartialQueryResponse | Failure:
    """Query the shards and return the responses that arrive in time.

    :param post: mailbox of the task of searchers
    :param leaving_processes: returns the processes of some services that leave
    :param open_requests: lists the query while it runs
    :param clock: monotonic time in seconds
    :returns: a ``Failure`` if nothing was sent, so that the other node can
        query the searchers itself; else the response, even if it covers no
        shard
    """
    if req.leaving:
        post(ProcessesLeaving(req.leaving))
    now = clock()
    due_at = now + req.answer_ms / MS_PER_S
    deadline = max(due_at, now + req.latest_ms / MS_PER_S)
    # The other node decides whether the coverage suffices.
    shards = AllShards(req.services, req.top, min_coverage=0.0)
    route = Route(
        name=req.route,
        host="",
        prefix="/",
        idempotent=True,
        timeout_s=deadline - now,
        objective_s=req.objective_ms / MS_PER_S,
        priority=0,
        max_attempts=req.max_attempts,
        destination=shards,
    )
    outgoing = OutgoingRequest(req.request_id, req.method, req.head, req.body)
    task = GatherTask(
        route,
        shards,
        outgoing,
        due_at,
        deadline,
        post,
        clock,
        due_coverage=req.min_coverage,
    )
    with open_requests.entry(task.mailbox):
        finish = await task.run()
    if finish.failure is not None and finish.failure.not_run:
        return finish.failure
    return PartialQueryResponse(
        covered=finish.shards,
        stamps=tuple(response.stamp for response in finish.responses),
        records=merge_records(
            (response.body for response in finish.responses), req.top
        ),
        leaving=leaving_processes(req.services),
    )
