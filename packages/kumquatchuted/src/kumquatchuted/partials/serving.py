"""Serves the partial queries of other nodes."""

from collections.abc import Callable

from kumquatchute_model.errors import Failure
from kumquatchuted.gather.merge import merge_records
from kumquatchuted.gather.task import GatherTask
from kumquatchuted.mailbox import Post
from kumquatchuted.partials.messages import PartialQueryRequest
from kumquatchuted.partials.messages import PartialQueryResponse
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest

MS_PER_S = 1000


async def serve_partial_query(
    req: PartialQueryRequest, post: Post, clock: Callable[[], float]
) -> PartialQueryResponse | Failure:
    """Query the shards and return the responses that arrive in time.

    :param post: mailbox of the task of searchers
    :param clock: monotonic time in seconds
    :returns: a ``Failure`` if nothing was sent, so that the other node can
        query the searchers itself; else the response, even if it covers no
        shard
    """
    deadline = clock() + req.answer_ms / MS_PER_S
    # The other node decides whether the coverage suffices.
    shards = AllShards(req.services, req.top, min_coverage=0.0)
    route = Route(
        name=req.route,
        host="",
        prefix="/",
        idempotent=True,
        timeout_s=req.answer_ms / MS_PER_S,
        objective_s=req.objective_ms / MS_PER_S,
        priority=0,
        max_attempts=req.max_attempts,
        destination=shards,
    )
    outgoing = OutgoingRequest(req.request_id, req.method, req.head, req.body)
    task = GatherTask(route, shards, outgoing, deadline, deadline, post, clock)
    finish = await task.run()
    if finish.failure is not None and finish.failure.not_run:
        return finish.failure
    return PartialQueryResponse(
        covered=finish.shards,
        stamps=tuple(response.stamp for response in finish.responses),
        records=merge_records(
            (response.body for response in finish.responses), req.top
        ),
    )
