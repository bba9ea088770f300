"""Task that owns the state and the records of one searcher."""

import asyncio
from collections.abc import Callable
from collections import deque
from dataclasses import replace
import math
import random
import time
from typing import Any
import uuid

from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.config import ServiceTimeDistribution
from kumquatchute_standins.searcher.controls import ClearRecords
from kumquatchute_standins.searcher.controls import LoseAnswers
from kumquatchute_standins.searcher.controls import RepeatAnswers
from kumquatchute_standins.searcher.decide import admit_call
from kumquatchute_standins.searcher.decide import apply_fault
from kumquatchute_standins.searcher.decide import cancel_attempt
from kumquatchute_standins.searcher.decide import finish_job
from kumquatchute_standins.searcher.index import Index
from kumquatchute_standins.searcher.messages import CallRecord
from kumquatchute_standins.searcher.messages import CancelCall
from kumquatchute_standins.searcher.messages import ConnectionReset
from kumquatchute_standins.searcher.messages import ConnOpened
from kumquatchute_standins.searcher.messages import ConnRefused
from kumquatchute_standins.searcher.messages import ReadHealth
from kumquatchute_standins.searcher.messages import ReadLoad
from kumquatchute_standins.searcher.messages import ReadRecords
from kumquatchute_standins.searcher.messages import Records
from kumquatchute_standins.searcher.messages import RepeatedResult
from kumquatchute_standins.searcher.messages import SearchCall
from kumquatchute_standins.searcher.messages import SubmitCall
from kumquatchute_standins.searcher.responses import report_health
from kumquatchute_standins.searcher.responses import report_load
from kumquatchute_standins.searcher.state import Action
from kumquatchute_standins.searcher.state import initial_state
from kumquatchute_standins.searcher.state import Respond
from kumquatchute_standins.searcher.state import SearcherState
from kumquatchute_standins.searcher.state import StartTimer
from kumquatchuted.mailbox import answer
from kumquatchuted.mailbox import Ask
from kumquatchuted.mailbox import ask
from kumquatchuted.mailbox import Mailbox

MAX_RECORDS = 200_000


def draw_service_time_s(
    times: ServiceTimeDistribution, rng: random.Random
) -> float:
    """Return a random service time in seconds."""
    base_s = rng.lognormvariate(math.log(times.median_ms), times.sigma) / 1000
    return base_s * (times.tail_factor if rng.random() < times.tail else 1.0)


class SearcherTask:
    """Handles the calls and controls of one searcher."""

    def __init__(
        self,
        cfg: SearcherConfig,
        index: Index,
        seed: int = 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a task that is not started.

        :param clock: monotonic time in seconds
        """
        self.mailbox = Mailbox()
        self._state: SearcherState = initial_state(
            cfg, _new_incarnation(), index
        )
        self._rng = random.Random(f"{seed}/{cfg.name}")
        self._clock = clock
        self._pending_calls: dict[int, Ask] = {}
        self._next_key = 1
        self._answers_to_lose = 0
        self._repeats = RepeatAnswers(0)
        self._records: deque[CallRecord] = deque(maxlen=MAX_RECORDS)
        self._totals = self._empty_totals()

    async def ask(self, request: Any) -> Any:
        """Post a call or control to the task and return its result."""
        return await ask(self.mailbox.post, request)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            match await self.mailbox.get():
                case Ask(request=SearchCall() | SubmitCall()) as message:
                    self._admit(message)
                case Ask(request=request) as message:
                    answer(message, self._run_request(request))
                case int(key):
                    # The timer of a running job has fired.
                    self._apply(finish_job(self._state, key, self._clock()))
                case ConnOpened(open_conns=open_conns):
                    totals = self._totals
                    self._totals = replace(
                        totals,
                        conns_opened=totals.conns_opened + 1,
                        conns_peak=max(totals.conns_peak, open_conns),
                    )
                case ConnRefused():
                    refused_count = self._totals.conns_refused + 1
                    self._totals = replace(
                        self._totals, conns_refused=refused_count
                    )

    def _admit(self, message: Ask) -> None:
        key = self._next_key
        self._next_key += 1
        self._pending_calls[key] = message
        service_s = draw_service_time_s(self._state.cfg.times, self._rng)
        was_cold = self._state.is_cold
        self._apply(
            admit_call(
                self._state, key, message.request, service_s, self._clock()
            )
        )
        in_flight = len(self._state.running)
        totals = self._totals
        self._totals = replace(
            totals,
            peak=max(totals.peak, in_flight),
            cold_peak=max(totals.cold_peak, in_flight if was_cold else 0),
        )

    def _run_request(self, request: Any) -> Any:
        match request:
            case CancelCall(attempt=attempt):
                state, result, actions = cancel_attempt(
                    self._state, attempt, self._clock()
                )
                self._apply((state, actions))
                return result
            case ReadHealth(attempt=attempt):
                return report_health(self._state, attempt)
            case ReadLoad(attempt=attempt):
                return report_load(self._state, attempt)
            case ReadRecords():
                return replace(
                    self._totals,
                    incarnation=self._state.incarnation,
                    records=tuple(self._records),
                )
            case ClearRecords():
                self._records.clear()
                self._totals = self._empty_totals()
            case LoseAnswers(count=count):
                self._answers_to_lose = count
            case RepeatAnswers():
                self._repeats = request
            case _:
                now = self._clock()
                self._apply(
                    apply_fault(self._state, request, _new_incarnation(), now)
                )
        return None

    def _apply(
        self, outcome: tuple[SearcherState, tuple[Action, ...]]
    ) -> None:
        self._state, actions = outcome
        for action in actions:
            match action:
                case StartTimer(key=key, delay_s=delay_s):
                    asyncio.get_running_loop().call_later(
                        delay_s, self.mailbox.post, key
                    )
                case Respond():
                    self._respond(action)

    def _respond(self, action: Respond) -> None:
        message = self._pending_calls.pop(action.key)
        record, result = action.record, action.result
        if record.call == "submit" and record.status == 200:
            executed = (*self._totals.executed, record.attempt)
            self._totals = replace(self._totals, executed=executed)
        if self._answers_to_lose and record.status == 200:
            self._answers_to_lose -= 1
            result = ConnectionReset()
        elif self._repeats.count and not isinstance(result, ConnectionReset):
            result = RepeatedResult(result, self._repeats.delay_ms)
            self._repeats = replace(
                self._repeats, count=self._repeats.count - 1
            )
        self._records.append(record)
        answer(message, result)

    def _empty_totals(self) -> Records:
        state = self._state
        return Records(state.cfg.name, state.incarnation, 0, 0, (), 0, 0, 0)


def _new_incarnation() -> str:
    return uuid.uuid4().hex[:12]
