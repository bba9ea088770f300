"""The attempts of all requests: choice, connection, result."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace

from logbook import Logger

from kumquatchuted.mailbox import Post
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.platform import searcher_codec as codec
from kumquatchuted.responses.messages import Exchange
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.responses.quality import assess
from kumquatchuted.responses.quality import is_answer
from kumquatchuted.responses.quality import NotRun
from kumquatchuted.retries.service_budgets import ServiceBudgets
from kumquatchuted.searchers.balancer import LoadBalancer
from kumquatchuted.searchers.connect import OUT_OF_DESCRIPTORS
from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.connection import ConnectionClosed
from kumquatchuted.searchers.connection import ResponseReceived
from kumquatchuted.searchers.messages import AttemptAssigned
from kumquatchuted.searchers.messages import AttemptDone
from kumquatchuted.searchers.messages import AttemptKept
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal
from kumquatchuted.searchers.messages import RefusalCause
from kumquatchuted.searchers.messages import SendAttempt
from kumquatchuted.searchers.messages import WithdrawAttempt
from kumquatchuted.searchers.pending import LingerExpired
from kumquatchuted.searchers.pending import PendingAttempt
from kumquatchuted.searchers.pending import ReconnectDue
from kumquatchuted.searchers.pool import ConnectionPool
from kumquatchuted.searchers.received import ReceivedBytes
from kumquatchuted.searchers.response_log import ResponseLog
from kumquatchuted.searchers.waiting import latest_start
from kumquatchuted.searchers.waiting import WaitExpired
from kumquatchuted.searchers.waiting_attempts import WaitingAttempts

log = Logger("searchers")

CONNECTION_REFUSED = ConnectionRefusedError.__name__
# Causes of attempts that end without having been sent.
NO_TIME_LEFT = "the time limit has passed"
WITHDRAWN = "withdrawn"
# Pause before a connection is tried again for which no descriptor was left.
RECONNECT_S = 0.02


class Attempts:
    """Owns the attempts that are pending or wait for a connection."""

    def __init__(
        self,
        balancer: LoadBalancer,
        pool: ConnectionPool,
        received: ReceivedBytes,
        budgets: ServiceBudgets,
        response_log: ResponseLog,
        post: Post,
        clock: Callable[[], float],
        count_event: Callable[[str, str], None],
    ) -> None:
        """Create it without attempts.

        :param post: mailbox of the task that owns the attempts
        :param clock: monotonic time in seconds
        :param count_event: counts an event by its name and a label
        """
        self._balancer = balancer
        self._pool = pool
        self._received = received
        self._budgets = budgets
        self._response_log = response_log
        self._post = post
        self._clock = clock
        self._count_event = count_event
        self._attempts: dict[object, PendingAttempt] = {}
        self._waiting = WaitingAttempts(balancer)

    def start(self, message: SendAttempt) -> None:
        """Send an attempt to the best searcher with a free connection.

        A connection is free if it is idle or may still be opened. The attempt
        is refused if its deadline has passed, the retry budget is used up or
        no searcher is usable. If all connections are in use, it waits for one.
        """
        refusal = self._send(message)
        match refusal:
            case None:
                return
            case Refusal(cause=RefusalCause.BUSY):
                now = self._clock()
                if self._waiting.add(message, now):
                    self._count_event("waiting", message.service)
                    self._post_later(
                        latest_start(message, now) - now,
                        WaitExpired(message.key),
                    )
                    return
        self._refuse(message, refusal)

    def on_wait_expired(self, key: object) -> None:
        """Refuse an attempt that has waited for too long."""
        message = self._waiting.remove(key)
        if message is not None:
            self._refuse(message, Refusal(RefusalCause.BUSY))

    def serve_waiting(self, searcher: str, any_service: bool) -> None:
        """Send attempts that wait for a connection to a searcher.

        :param any_service: whether its descriptor is needed by others
        """
        service = self._balancer.service_of(searcher)
        for message in self._waiting.candidates(service, any_service):
            refusal = self._send(message)
            match refusal:
                case Refusal(cause=RefusalCause.BUSY):
                    continue
                case Refusal():
                    self._refuse(message, refusal)
            self._waiting.remove(message.key)

    def on_connection_opened(self, connection: Connection) -> None:
        """Send the request that waits for the connection, if any."""
        if not connection.is_open():
            # ``ConnectionClosed`` follows and ends the attempt.
            return
        key, connection.waiting_key = connection.waiting_key, None
        attempt = self._attempts.get(key)
        now = self._clock()
        if attempt is not None:
            cause = self._find_obstacle(attempt, now)
            if cause is None:
                self._write_request(key)
                return
            self._end_unsent(key, cause)
        self._pool.add_idle(connection, now)
        self._serve_waiting_for(connection)

    def on_response_received(self, event: ResponseReceived) -> None:
        """Report the response to the sender of the attempt."""
        now = self._clock()
        connection = event.connection
        attempt = self._attempts.pop(event.key, None)
        if attempt is None or attempt.is_abandoned:
            self._received.release(connection)
        else:
            self._received.keep(connection, event.key)
        if event.is_reusable:
            connection.idle_timeout_s = codec.decode_keep_alive_timeout(
                event.response
            )
            self._pool.add_idle(connection, now)
        if attempt is not None:
            self._on_response(attempt, event, now)
        self._serve_waiting_for(connection)

    def on_connection_closed(self, event: ConnectionClosed) -> None:
        """Report the loss of the request that awaited a response, if any."""
        connection = event.connection
        any_service = self._pool.is_at_total_limit()
        self._received.release(connection)
        self._pool.remove(connection)
        key = event.key if event.key is not None else connection.waiting_key
        attempt = self._attempts.get(key)
        if attempt is not None and attempt.connection is connection:
            self._on_connection_lost(key, attempt, event.reason)
        self.serve_waiting(connection.searcher, any_service)

    def on_reconnect_due(self, key: object) -> None:
        """Open the connection of an attempt for which none could be opened."""
        attempt = self._attempts.get(key)
        if attempt is None or attempt.is_sent:
            return
        now = self._clock()
        searcher = self._balancer.searcher(attempt.searcher)
        if searcher is None or now > latest_start(
            attempt.message, attempt.started_at
        ):
            self._end_unsent(key, OUT_OF_DESCRIPTORS)
            return
        connection = self._get_connection(searcher, attempt.message, now)
        if connection is None:
            self._post_later(RECONNECT_S, ReconnectDue(key))
            return
        self._attempts[key] = replace(attempt, connection=connection)
        self._use_connection(key, connection)

    def withdraw(self, message: WithdrawAttempt) -> None:
        """End an attempt that was not sent, and report whether it was.

        Only this task knows whether an attempt was sent, so that the sender of
        the attempt has to ask before it states that the request did not run.
        """
        key = message.key
        waiting = self._waiting.remove(key)
        if waiting is not None:
            self._refuse(waiting, Refusal(RefusalCause.EXPIRED))
            return
        attempt = self._attempts.get(key)
        if attempt is None:
            return
        if attempt.is_sent:
            message.reply_to(AttemptKept(key))
        else:
            self._end_unsent(key, WITHDRAWN)

    def abandon(self, key: object, linger_s: float) -> None:
        """Abandon an attempt whose result is not needed.

        It ends at once if it was not sent.

        :param linger_s: time after which its connection is closed, in seconds
        """
        self._waiting.remove(key)
        self._received.release_attempt(key)
        attempt = self._attempts.get(key)
        if attempt is None:
            return
        if not attempt.is_sent:
            self._end_unsent(key, WITHDRAWN)
        elif linger_s <= 0:
            self.close(key)
        else:
            self._attempts[key] = replace(attempt, is_abandoned=True)
            self._post_later(linger_s, LingerExpired(key))

    def on_responses_used(self, keys: Iterable[object]) -> None:
        """Stop counting responses whose request has ended."""
        for key in keys:
            self._received.release_attempt(key)

    def close(self, key: object) -> None:
        """Close the connection of a pending attempt.

        The searcher stops then, and its slot is free.
        """
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return
        self._balancer.loads.abandon(
            attempt.searcher,
            attempt.message.route,
            attempt.started_at,
            self._clock(),
        )
        attempt.connection.waiting_key = None
        attempt.connection.close()

    def _serve_waiting_for(self, connection: Connection) -> None:
        any_service = self._pool.is_at_total_limit()
        self.serve_waiting(connection.searcher, any_service)

    def _send(self, message: SendAttempt) -> Refusal | None:
        """Send an attempt; return why it was not sent, or None."""
        now = self._clock()
        if now >= message.deadline:
            return Refusal(RefusalCause.EXPIRED)
        if message.is_retry and not self._budgets.has_token(message.service):
            return Refusal(RefusalCause.NO_BUDGET)
        excluded = list(message.exclude)
        is_busy = False
        while True:
            searcher = self._balancer.choose(
                message.route, message.service, excluded, now
            )
            if searcher is None and is_busy:
                self._pool.make_room(excluded[-1])
                return Refusal(RefusalCause.BUSY)
            if searcher is None:
                return Refusal(
                    RefusalCause.NO_SEARCHER,
                    self._balancer.retry_after_s(message.service, now),
                )
            connection = self._get_connection(searcher, message, now)
            if connection is not None:
                self._assign(message, searcher.name, connection, now)
                return None
            is_busy = True
            excluded.append(searcher.name)

    def _get_connection(
        self, searcher: RegisteredSearcher, message: SendAttempt, now: float
    ) -> Connection | None:
        connection = self._pool.take_idle(
            searcher.name,
            message.outgoing.request_id,
            message.at_most_once,
            now,
        )
        if connection is not None:
            return connection
        max_connections = self._balancer.connection_limit(searcher.service)
        connection = self._pool.open(searcher, max_connections)
        if connection is not None:
            self._count_event("connections", searcher.service)
        return connection

    def _assign(
        self,
        message: SendAttempt,
        searcher: str,
        connection: Connection,
        now: float,
    ) -> None:
        if message.is_retry:
            self._budgets.take_token(message.service)
            self._count_event("repeats", message.service)
        if message.is_retry or not message.is_shard_query:
            log.info(
                "attempt sent searcher={} conn={} service={} repeat={} {}"
                " request={}",
                searcher,
                connection.number,
                message.service,
                message.is_retry,
                self._balancer.describe_load(searcher, now),
                message.outgoing.request_id.decode("latin-1"),
            )
        self._balancer.on_attempt_started(searcher, now)
        self._attempts[message.key] = PendingAttempt(
            message, searcher, now, connection, is_sent=False
        )
        hedge_delay_s = self._balancer.loads.latency_of(
            message.route
        ).hedge_delay_s
        message.reply_to(AttemptAssigned(message.key, searcher, hedge_delay_s))
        self._use_connection(message.key, connection)

    def _use_connection(self, key: object, connection: Connection) -> None:
        if connection.is_open():
            self._write_request(key)
        else:
            connection.waiting_key = key

    def _find_obstacle(
        self, attempt: PendingAttempt, now: float
    ) -> str | None:
        """Return why an attempt must not be sent any more, or None."""
        if now >= attempt.message.deadline:
            return NO_TIME_LEFT
        if not self._balancer.may_receive(attempt.searcher, now):
            return "the searcher wants no more requests"
        return None

    def _write_request(self, key: object) -> None:
        attempt = self._attempts[key] = replace(
            self._attempts[key], is_sent=True
        )
        message, connection = attempt.message, attempt.connection
        # Only the first request of a connection names the expected searcher;
        # later ones reach the same process.
        expected_searcher = attempt.searcher if connection.is_unused else None
        remaining_s = message.deadline - self._clock()
        expects_body = message.outgoing.method != b"HEAD"
        connection.send(
            Exchange(
                key,
                message.outgoing.request_id,
                expects_body,
                is_first=connection.is_unused,
            ),
            codec.encode_attempt(
                message.outgoing, remaining_s, expected_searcher
            ),
        )

    def _on_response(
        self, attempt: PendingAttempt, event: ResponseReceived, now: float
    ) -> None:
        source = f"{attempt.searcher}#{event.connection.number}"
        response = codec.decode_response(event.response, source)
        self._response_log.on_taken(attempt.message, event, response)
        self._record_outcome(attempt, response, now)
        if response.wrong_process:
            event.connection.close()
        else:
            limit_per_s = codec.decode_limit(event.response)
            self._balancer.on_limit_stated(attempt.searcher, limit_per_s, now)
        own_attempts = self._balancer.loads.pending_count(attempt.searcher)
        report = codec.decode_load(event.response, now, own_attempts)
        self._balancer.loads.report(attempt.searcher, report)
        attempt.message.reply_to(
            AttemptDone(event.key, attempt.searcher, response)
        )

    def _record_outcome(
        self, attempt: PendingAttempt, response: SearcherResponse, now: float
    ) -> None:
        name, started_at = attempt.searcher, attempt.started_at
        if is_answer(response, attempt.message.is_shard_query):
            route = attempt.message.route
            self._balancer.on_attempt_succeeded(name, route, started_at, now)
            return
        self._balancer.loads.fail(name, started_at, now)
        if response.wrong_process:
            self._balancer.loads.begin_backoff(name, now)
        log.info(
            "attempt failed searcher={} conn={} status={} ran={} request={}",
            name,
            attempt.connection.number,
            response.status,
            not isinstance(assess(response), NotRun),
            attempt.message.outgoing.request_id.decode("latin-1"),
        )

    def _on_connection_lost(
        self, key: object, attempt: PendingAttempt, reason: str
    ) -> None:
        name, now = attempt.searcher, self._clock()
        if reason == OUT_OF_DESCRIPTORS:
            # The searcher is not at fault.
            self._pool.limit_total()
            self._post_later(RECONNECT_S, ReconnectDue(key))
            return
        del self._attempts[key]
        if attempt.is_sent and attempt.connection.has_responded:
            self._balancer.loads.fail(name, attempt.started_at, now)
        elif attempt.is_sent:
            self._balancer.on_first_response_lost(
                name, attempt.started_at, now
            )
        else:
            was_refused = reason == CONNECTION_REFUSED
            self._balancer.on_connect_failed(
                name, attempt.started_at, was_refused, now
            )
        self._report_loss(key, attempt, reason)

    def _end_unsent(self, key: object, reason: str) -> None:
        """End an attempt that was not sent, without blame on the searcher.

        The connection that is being opened for it stays open for others.
        """
        attempt = self._attempts.pop(key)
        attempt.connection.waiting_key = None
        self._balancer.loads.cancel(attempt.searcher, attempt.started_at)
        self._report_loss(key, attempt, reason)

    def _report_loss(
        self, key: object, attempt: PendingAttempt, reason: str
    ) -> None:
        self._count_event("lost", attempt.message.service)
        log.info(
            "attempt lost searcher={} conn={} sent={} cause={} request={}",
            attempt.searcher,
            attempt.connection.number,
            attempt.is_sent,
            reason,
            attempt.message.outgoing.request_id.decode("latin-1"),
        )
        attempt.message.reply_to(
            AttemptDone(
                key, attempt.searcher, NoResponse(reason, attempt.is_sent)
            )
        )

    def _refuse(self, message: SendAttempt, refusal: Refusal) -> None:
        cause = refusal.cause.name.lower()
        self._count_event("refused", cause)
        log.info(
            "attempt refused service={} cause={} request={}",
            message.service,
            cause,
            message.outgoing.request_id.decode("latin-1"),
        )
        message.reply_to(AttemptDone(message.key, None, refusal))

    def _post_later(self, delay_s: float, message: object) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, delay_s), self._post, message)
