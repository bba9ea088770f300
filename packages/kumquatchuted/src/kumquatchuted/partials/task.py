"""The task that sends partial queries to other nodes."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
import itertools
import random
from types import SimpleNamespace

import aiohttp
from logbook import Logger

from kumquatchute_model.errors import ERROR_STATUSES
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.mailbox import handle_messages
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import Node
from kumquatchuted.memory.byte_budget import ByteBudget
from kumquatchuted.memory.byte_budget import ReadStop
from kumquatchuted.notices.messages import ProcessesLeaving
from kumquatchuted.partials.codec import decode_partial_response
from kumquatchuted.partials.codec import encode_partial
from kumquatchuted.partials.codec import NUMBER_HEADER
from kumquatchuted.partials.messages import AbandonPartialQuery
from kumquatchuted.partials.messages import names_shards_once
from kumquatchuted.partials.messages import PartialQueryAssigned
from kumquatchuted.partials.messages import PartialQueryDone
from kumquatchuted.partials.messages import PartialQueryRequest
from kumquatchuted.partials.messages import PartialQueryResponse
from kumquatchuted.partials.messages import SendPartialQuery
from kumquatchuted.partials.nodes import choose_node
from kumquatchuted.partials.nodes import NodeState
from kumquatchuted.partials.nodes import record_failure
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.timeouts import wait_until_done

log = Logger("partials")

# Round trip to the other node, including its scheduling. It is subtracted from
# the time that the node is given.
ROUND_TRIP_S = 0.005
# A node counts as failed if its response is this much later than requested.
RESPONSE_GRACE_S = 0.04
CONNECT_TIMEOUT_S = 0.05
# A response holds a digest of each shard and the records of one answer.
MAX_RESPONSE_BYTES = 1024 * 1024
UNAVAILABLE_STATUS = ERROR_STATUSES[ErrorKind.UNAVAILABLE].http_status
MS_PER_S = 1000


class PartialsTask:
    """Owns the connections to other nodes and the pending queries."""

    def __init__(
        self,
        cfg: GatewaySettings,
        clock: Callable[[], float],
        rng: random.Random,
        count_event: Callable[[str, str], None],
        post_searchers: Callable[[object], None],
        messages: ByteBudget,
    ) -> None:
        """Create the task.

        :param clock: monotonic time in seconds
        :param rng: decides between nodes with equally many pending queries
        :param count_event: counts an event by its name and a label
        :param post_searchers: mailbox of the task of searchers
        :param messages: limits the responses that are kept
        """
        self.mailbox = Mailbox()
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._count_event = count_event
        self._post_searchers = post_searchers
        self._messages = messages
        self._nodes: dict[str, Node] = {}
        self._states: dict[str, NodeState] = {}
        self._query_tasks: dict[object, asyncio.Task] = {}
        self._session: aiohttp.ClientSession | None = None
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        await handle_messages(self.mailbox, self._handle, self._count_event)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def _handle(self, message: object) -> None:
        match message:
            case SendPartialQuery() as query:
                self._start_query(query)
            case AbandonPartialQuery(key=key):
                task = self._query_tasks.pop(key, None)
                if task is not None:
                    task.cancel()
            case MembersChanged(nodes=nodes):
                self._nodes = {
                    name: node
                    for name, node in nodes.items()
                    if name != self._cfg.node
                }

    def _start_query(self, query: SendPartialQuery) -> None:
        node = choose_node(
            (
                (node, self._states.get(node.name, NodeState()))
                for node in self._nodes.values()
            ),
            query.data_centre,
            self._clock(),
            self._rng.random,
        )
        if node is None:
            self._count_event("partials", "no_node")
            no_response = NoResponse(
                "no usable node in the data centre", was_sent=False
            )
            query.reply_to(PartialQueryDone(query.key, query, (), no_response))
            return
        query.reply_to(PartialQueryAssigned(query.key, query))
        self._query_tasks[query.key] = asyncio.ensure_future(
            self._run_query(node, query)
        )

    async def _run_query(self, node: Node, query: SendPartialQuery) -> None:
        started_at = self._clock()
        self._add_pending(node, 1)
        try:
            result = await self._request_partial(node, query)
        except Exception as exc:
            # Without a result, the query would wait for its shards.
            log.exception(
                "message not handled message={}", type(query).__name__
            )
            self._count_event("unhandled", type(query).__name__)
            result = NoResponse(
                f"unexpected {type(exc).__name__}", was_sent=True
            )
        finally:
            self._add_pending(node, -1)
        self._query_tasks.pop(query.key, None)
        state = self._states.get(node.name, NodeState())
        match result:
            case NoResponse(reason=reason):
                self._count_event("partials", "lost")
                self._states[node.name] = record_failure(
                    state, started_at, self._clock()
                )
                log.info(
                    "partial query lost node={} cause={} request={}",
                    node.name,
                    reason,
                    query.outgoing.request_id.decode("latin-1"),
                )
                done = PartialQueryDone(query.key, query, (), result)
            case PartialQueryResponse():
                self._count_event("partials", "answered")
                self._states[node.name] = NodeState(state.pending)
                if result.leaving:
                    self._post_searchers(ProcessesLeaving(result.leaving))
                responses = _shard_responses(node, query, result)
                done = PartialQueryDone(query.key, query, responses)
        query.reply_to(done)

    async def _request_partial(
        self, node: Node, query: SendPartialQuery
    ) -> PartialQueryResponse | NoResponse:
        now = self._clock()
        remaining_s = query.deadline - now
        latest_s = max(remaining_s, query.latest_deadline - now)
        outgoing = query.outgoing
        body = encode_partial(
            PartialQueryRequest(
                query.route.name,
                query.route.objective_s * MS_PER_S,
                query.route.max_attempts,
                query.services,
                query.top_k,
                outgoing.request_id,
                outgoing.method,
                outgoing.head,
                outgoing.body,
                max(0.0, remaining_s - ROUND_TRIP_S) * MS_PER_S,
                max(0.0, latest_s - ROUND_TRIP_S) * MS_PER_S,
                query.min_coverage,
                query.leaving,
            )
        )
        ends_at = now + max(0.0, latest_s) + RESPONSE_GRACE_S
        connected = asyncio.get_running_loop().create_future()
        exchange = asyncio.ensure_future(
            self._exchange(node, query, body, connected)
        )
        exchange.add_done_callback(lambda _: _set_done(connected))
        try:
            connect_s = min(CONNECT_TIMEOUT_S, ends_at - self._clock())
            if not await wait_until_done(connected, connect_s):
                return NoResponse(
                    aiohttp.ConnectionTimeoutError.__name__, was_sent=False
                )
            if not await wait_until_done(exchange, ends_at - self._clock()):
                return NoResponse(TimeoutError.__name__, was_sent=True)
            return exchange.result()
        finally:
            exchange.cancel()

    async def _exchange(
        self,
        node: Node,
        query: SendPartialQuery,
        body: bytes,
        connected: asyncio.Future,
    ) -> PartialQueryResponse | NoResponse:
        """Send an encoded query and read its response.

        The caller ends it at its timeouts. Those of aiohttp are not used,
        because they discard what arrived while the process was paused.

        :param connected: done once there is a connection for the query
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=None)
        url = f"http://{node.address}/partials"
        number = str(next(self._numbers))
        headers = {NUMBER_HEADER: number}
        try:
            async with self._get_session().post(
                url,
                data=body,
                headers=headers,
                timeout=timeout,
                trace_request_ctx=connected,
            ) as http_response:
                if http_response.headers.get(NUMBER_HEADER) != number:
                    http_response.close()
                    return NoResponse(
                        "the response belongs to another query", was_sent=True
                    )
                status = http_response.status
                with self._messages.reserve() as reservation:
                    data = await reservation.read(
                        http_response.content.iter_any(), MAX_RESPONSE_BYTES
                    )
        except aiohttp.ClientConnectorError as exc:
            return NoResponse(f"{type(exc).__name__} {exc}", was_sent=False)
        except (aiohttp.ClientError, OSError) as exc:
            # TimeoutError is an OSError.
            return NoResponse(f"{type(exc).__name__} {exc}", was_sent=True)
        if status == UNAVAILABLE_STATUS:
            return NoResponse(
                "the node has no usable searcher", was_sent=False
            )
        if isinstance(data, ReadStop):
            return NoResponse(data.value, was_sent=True)
        response = decode_partial_response(data)
        if isinstance(response, Failure):
            return NoResponse(
                f"status {status}: {response.reason}", was_sent=True
            )
        if not names_shards_once(response, len(query.shards)):
            return NoResponse(
                "the response names shards wrongly", was_sent=True
            )
        return response

    def _add_pending(self, node: Node, delta: int) -> None:
        state = self._states.get(node.name, NodeState())
        self._states[node.name] = replace(state, pending=state.pending + delta)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                trace_configs=[_new_connected_trace()],
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
        return self._session


def _set_done(fut: asyncio.Future) -> None:
    if not fut.done():
        fut.set_result(None)


def _new_connected_trace() -> aiohttp.TraceConfig:
    """Return a trace that ends the future in ``trace_request_ctx``.

    It is done when the request has a connection, an open or a new one.
    """

    async def on_connected(
        session: aiohttp.ClientSession, ctx: SimpleNamespace, params: object
    ) -> None:
        _set_done(ctx.trace_request_ctx)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(on_connected)
    trace.on_connection_reuseconn.append(on_connected)
    return trace


def _shard_responses(
    node: Node,
    query: SendPartialQuery,
    partial_response: PartialQueryResponse,
) -> tuple[tuple[int, SearcherResponse], ...]:
    """Return the position and a response of each covered shard.

    The first response holds the merged records of all; the others have no
    body, so that no record counts twice.
    """
    responses = []
    for position, stamp in zip(
        partial_response.covered, partial_response.stamps
    ):
        body = b"" if responses else partial_response.records
        response = SearcherResponse(
            200, stamp, body, False, False, (), source=node.name
        )
        responses.append((query.shards[position], response))
    return tuple(responses)
