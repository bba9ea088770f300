"""The notices of all searchers, as this node applies them."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from logbook import Logger

from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.notices.leaving import add_processes
from kumquatchuted.notices.leaving import LeavingProcesses
from kumquatchuted.notices.leaving import set_listed
from kumquatchuted.notices.messages import Leaving
from kumquatchuted.notices.messages import MalformedNotice
from kumquatchuted.notices.messages import Notice
from kumquatchuted.notices.messages import PauseRequested
from kumquatchuted.notices.messages import process_of
from kumquatchuted.notices.messages import ProcessId
from kumquatchuted.notices.pauses import may_send
from kumquatchuted.notices.pauses import Pause
from kumquatchuted.notices.pauses import remaining_s
from kumquatchuted.notices.pauses import start_pause

log = Logger("searchers")


class SearcherNotices:
    """Owns the processes that leave and the requested pauses."""

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        """Create it without any notice.

        :param random_fraction: returns a random number from 0 to 1
        """
        self._random_fraction = random_fraction
        self._leaving = LeavingProcesses()
        self._pauses: dict[ProcessId, Pause] = {}

    def on_notices(
        self, process: ProcessId, notices: Iterable[Notice], now: float
    ) -> bool:
        """Apply what a process stated about itself.

        :param now: monotonic time in seconds
        :returns: whether the process was not known to leave before
        """
        is_news = False
        for notice in notices:
            match notice:
                case Leaving():
                    is_news = self.add_leaving((process,), now)
                case PauseRequested(delay_s=delay_s):
                    self._start_pause(process, delay_s, now)
                case MalformedNotice(header=header, value=value):
                    log.warning(
                        "notice ignored searcher={} header={} value={!r}",
                        process.name,
                        header,
                        value,
                    )
        return is_news

    def add_leaving(
        self, processes: Collection[ProcessId], now: float
    ) -> bool:
        """Add processes that leave.

        :param now: monotonic time in seconds
        :returns: whether one of them was not known to leave before
        """
        news = [item for item in processes if item not in self._leaving]
        for process in news:
            log.info("searcher leaving searcher={}", process.name)
            self._pauses.pop(process, None)
        if news:
            self._leaving = add_processes(self._leaving, news, now)
        return bool(news)

    def set_listed(
        self, searchers: Mapping[str, RegisteredSearcher], now: float
    ) -> None:
        """Forget what processes stated that are gone.

        :param searchers: listed searchers by name
        :param now: monotonic time in seconds
        """
        listed = {
            process
            for process in (*self._leaving.listed_at, *self._pauses)
            if _is_listed(process, searchers)
        }
        if self._leaving.listed_at:
            self._leaving = set_listed(self._leaving, listed, now)
        for process in self._pauses.keys() - listed:
            if not remaining_s(self._pauses[process], now):
                del self._pauses[process]

    def on_request_run(self, process: ProcessId, now: float) -> None:
        """End the pause of a process that runs requests again.

        During the stated time, responses to earlier requests still arrive.

        :param now: monotonic time in seconds
        """
        pause = self._pauses.get(process)
        if pause is not None and now >= pause.resumes_at:
            del self._pauses[process]
            log.info("searcher pause ended searcher={}", process.name)

    def is_leaving(self, searcher: RegisteredSearcher) -> bool:
        """Return whether the process of a searcher leaves."""
        return (
            bool(self._leaving.listed_at)
            and process_of(searcher) in self._leaving
        )

    def find_leaving(
        self, searchers: Mapping[str, RegisteredSearcher]
    ) -> tuple[ProcessId, ...]:
        """Return the listed processes that leave, which are few.

        :param searchers: listed searchers by name
        """
        return tuple(
            process
            for process in self._leaving.listed_at
            if _is_listed(process, searchers)
        )

    def may_send(
        self, searcher: RegisteredSearcher, pending: int, now: float
    ) -> bool:
        """Return whether no requested pause forbids one more request.

        :param pending: number of pending attempts on the searcher
        :param now: monotonic time in seconds
        """
        if not self._pauses:
            # This is asked for each candidate of each attempt.
            return True
        pause = self._pauses.get(process_of(searcher))
        return pause is None or may_send(pause, pending, now)

    def retry_after_s(
        self, searchers: Iterable[RegisteredSearcher], now: float
    ) -> float | None:
        """Return the time until the first pause of some searchers ends.

        :param now: monotonic time in seconds
        :returns: seconds; None if none of them has requested a pause
        """
        pauses = (
            self._pauses.get(process_of(searcher)) for searcher in searchers
        )
        return min(
            (remaining_s(pause, now) for pause in pauses if pause is not None),
            default=None,
        )

    def _start_pause(
        self, process: ProcessId, delay_s: float, now: float
    ) -> None:
        former = self._pauses.get(process)
        pause = start_pause(former, delay_s, now, self._random_fraction())
        self._pauses[process] = pause
        log.info(
            "searcher pause searcher={} delay_s={} applied_s={:.2f}",
            process.name,
            delay_s,
            remaining_s(pause, now),
        )


def _is_listed(
    process: ProcessId, searchers: Mapping[str, RegisteredSearcher]
) -> bool:
    searcher = searchers.get(process.name)
    return searcher is not None and process_of(searcher) == process
