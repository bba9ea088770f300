"""The task that admits submissions and routes their attempts."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import logbook

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.mailbox import answer
from kumquatchuted.mailbox import Ask
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.peers.messages import SendAttempt
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.platform.store import Store
from kumquatchuted.submission import admission
from kumquatchuted.submission.child_messages import RequestEnded
from kumquatchuted.submission.child_messages import RequestSettled
from kumquatchuted.submission.child_messages import SendRequested
from kumquatchuted.submission.keys import check_key
from kumquatchuted.submission.keys import payload_digest
from kumquatchuted.submission.messages import StopSubmissions
from kumquatchuted.submission.messages import SubmissionCall
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.request_events import CannotSend
from kumquatchuted.submission.request_task import RequestTask
from kumquatchuted.submission.routing import choose_searcher
from kumquatchuted.submission.routing import OwnedSearcher
from kumquatchuted.submission.routing import OwnerLookup
from kumquatchuted.submission.routing import RoutingState
from kumquatchuted.submission.sweep_task import SweepTask
from kumquatchuted.targets.messages import SubmitAttempt
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

# A longer deadline of a caller is shortened to this.
MAX_DEADLINE_S = 10.0

log = logbook.Logger("submission")


class SubmissionTask:
    """Runs a child task for each request and one that deletes records."""

    def __init__(
        self,
        node: str,
        incarnation: str,
        store: Store,
        post: Post,
        find_owner: OwnerLookup,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        rng: Random,
    ) -> None:
        """Create the task.

        :param post: receives ``SendAttempt``
        :param find_owner: returns the member that owns a searcher
        :param clock: returns monotonic time in seconds
        :param wall_clock: returns seconds since 1970
        :param rng: chooses searchers and the identifiers of attempts
        """
        self.mailbox = Mailbox()
        self._node = node
        self._incarnation = incarnation
        self._store = store
        self._post = post
        self._find_owner = find_owner
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng
        self._routing = RoutingState(
            Catalog(), View(), Placement(node, "", Membership(0)), clock()
        )
        self._bucket = admission.TokenBucket(
            admission.BURST_SUBMISSIONS, clock()
        )
        self._unsettled: frozenset[str] = frozenset()
        self._cleanups: frozenset[str] = frozenset()
        self._stop_requests: tuple[Ask[StopSubmissions], ...] = ()
        self._sweep_task = SweepTask(node, store, wall_clock)

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self._sweep_task.run())
            while True:
                self._handle(await self.mailbox.get())

    def _handle(self, message: Any) -> None:
        match message:
            case Ask(request=SubmissionCall()):
                self._on_call(message)
            case Ask(request=StopSubmissions()):
                self._stop_requests += (message,)
                self._answer_stop_requests()
            case SendRequested():
                self._on_send_requested(message)
            case RequestSettled(attempt=attempt):
                self._unsettled -= {attempt}
                self._cleanups |= {attempt}
                self._answer_stop_requests()
            case RequestEnded(attempt=attempt):
                self._unsettled -= {attempt}
                self._cleanups -= {attempt}
                self._answer_stop_requests()
            case PlacementChanged(placement=placement):
                self._routing = replace(self._routing, placement=placement)
                self._sweep_task.mailbox.post(message)
            case CatalogChanged(catalog=catalog):
                self._routing = replace(self._routing, catalog=catalog)
            case ViewChanged(view=view):
                self._routing = replace(self._routing, view=view)
            case CurrentUntil(until=until):
                self._routing = replace(self._routing, current_until=until)

    def _on_call(self, pending_call: Ask[SubmissionCall]) -> None:
        failure = self._check_call(pending_call.request) or self._admit()
        if failure is not None:
            answer(pending_call, failure)
            return
        self._start_request(pending_call)

    def _check_call(self, call: SubmissionCall) -> Failure | None:
        """Return why a call is refused before it is recorded, or None."""
        if self._stop_requests:
            return _not_run_failure(ErrorKind.STOPPING, "the node is stopping")
        failure = check_key(call.key, self._wall_clock())
        if failure is not None:
            return failure
        match self._choose_searcher(call.service):
            case Failure() as failure:
                return failure
        return None

    def _admit(self) -> Failure | None:
        """Take a token, or return why the node admits no submission now."""
        if len(self._cleanups) >= admission.MAX_CLEANUPS:
            return _not_run_failure(
                ErrorKind.UNAVAILABLE,
                "too many earlier requests wait for the platform",
            )
        bucket = admission.take_token(self._bucket, self._clock())
        if bucket is None:
            return _not_run_failure(
                ErrorKind.OVERLOADED,
                f"more than {admission.SUBMISSIONS_PER_S:.0f} submissions"
                " per second",
            )
        self._bucket = bucket
        return None

    def _start_request(self, pending_call: Ask[SubmissionCall]) -> None:
        call = pending_call.request
        claim = Record(
            call.caller,
            call.key,
            payload_digest(call.service, call.payload),
            self._node,
            self._incarnation,
            f"{self._rng.getrandbits(128):032x}",
        )
        timeout_s = min(call.deadline_ms / 1000, MAX_DEADLINE_S)
        request_task = RequestTask(
            pending_call,
            claim,
            call.received_at + timeout_s,
            self._store,
            self.mailbox.post,
            self._clock,
        )
        self._unsettled |= {claim.attempt}
        self._group.create_task(request_task.run())

    def _choose_searcher(self, service: str) -> OwnedSearcher | Failure:
        return choose_searcher(
            service, self._routing, self._find_owner, self._rng, self._clock()
        )

    def _on_send_requested(self, message: SendRequested) -> None:
        """Send a claimed attempt, if a searcher may still receive it.

        The searcher is chosen after the claim: meanwhile, searchers may have
        been taken out of service, or this node may not be current any longer.
        """
        match self._choose_searcher(message.service):
            case OwnedSearcher(searcher=searcher, node=node):
                log.info(
                    "attempt routed attempt={} searcher={} node={}",
                    message.attempt,
                    searcher,
                    node,
                )
                self._post(self._build_send_attempt(message, searcher, node))
            case Failure() as failure:
                message.reply(CannotSend(failure))

    def _build_send_attempt(
        self, message: SendRequested, searcher: str, node: str
    ) -> SendAttempt:
        attempt = SubmitAttempt(
            message.attempt,
            message.service,
            searcher,
            message.payload,
            (message.expires_at - self._clock()) * 1000,
        )
        return SendAttempt(node, attempt, message.expires_at, message.reply)

    def _answer_stop_requests(self) -> None:
        if not self._unsettled:
            for stop_request in self._stop_requests:
                answer(stop_request, None)


def _not_run_failure(kind: ErrorKind, reason: str) -> Failure:
    return Failure(kind, reason, not_run=True)
