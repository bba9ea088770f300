"""Processor time of each part of the path of a search attempt."""

from kumquatchute_bench.client_slopes import client_slope
from kumquatchute_bench.client_slopes import StartSearcher
from kumquatchute_bench.codec_slopes import codec_slopes
from kumquatchute_bench.dispatch_slopes import dispatch_in_slope
from kumquatchute_bench.dispatch_slopes import dispatch_out_slope
from kumquatchute_bench.entry_slopes import query_slopes
from kumquatchute_bench.entry_slopes import search_task_slope
from kumquatchute_bench.fit import Slope
from kumquatchute_bench.link_slopes import curve_keys
from kumquatchute_bench.link_slopes import link_slope
from kumquatchute_bench.owner_slopes import cancellation_slope
from kumquatchute_bench.owner_slopes import limiter_slope
from kumquatchute_bench.owner_slopes import target_task_slope


def decision_slopes() -> list[Slope]:
    """Measure the decision modules of a query, the codec and the limiter."""
    return [*query_slopes(), *codec_slopes(), limiter_slope()]


async def task_slopes(start_searcher: StartSearcher) -> list[Slope]:
    """Measure whole tasks with their mailboxes, sockets and threads.

    :param start_searcher: starts a searcher in a process of its own
    """
    return [
        await search_task_slope(),
        await dispatch_out_slope(),
        await dispatch_in_slope(),
        await target_task_slope(),
        await cancellation_slope(),
        await client_slope(start_searcher),
        await link_slope(None),
        await link_slope(curve_keys()),
    ]
