"""Log output: one line per record, with a prefix and a rate limit per part.

Modules log with ``logbook.Logger`` and the name of their part, such as
``Logger("placement")``. Each process installs one ``LogHandler``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime
from datetime import timezone
import logging
from pathlib import Path
import sys
from typing import TextIO

from logbook import get_level_name
from logbook import Handler
from logbook import INFO
from logbook import Logger
from logbook import LogRecord
from logbook import WARNING

MAX_LINE_CHARS = 2_000
DROPPED_REPORT_INTERVAL_S = 10.0


@dataclass(frozen=True)
class RateLimit:
    """Rate limit of log lines.

    :param per_s: sustained rate, in lines per second
    :param burst: number of lines that may be written at once
    """

    per_s: float
    burst: float


# A node that routes 47,000 sub-queries/s would otherwise spend its processor
# time on log lines. Warnings have a limit of their own, so that lines of lower
# levels cannot displace them.
INFO_LIMIT = RateLimit(per_s=50, burst=200)
WARNING_LIMIT = RateLimit(per_s=10, burst=50)


class TokenBucket:
    """Token bucket for the lines of one part; counts dropped lines."""

    def __init__(self, limit: RateLimit, now: float) -> None:
        """Create a full bucket.

        :param limit: rate limit
        :param now: monotonic time in seconds
        """
        self._limit = limit
        self._tokens = limit.burst
        self._updated_at = now
        self._dropped = 0

    def take_token(self, now: float) -> bool:
        """Return True if a line may be written; count it as dropped if not."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(
            self._limit.burst, self._tokens + elapsed * self._limit.per_s
        )
        if self._tokens < 1:
            self._dropped += 1
            return False
        self._tokens -= 1
        return True

    def collect_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped


class LogHandler(Handler):
    """Writes one line per record, within the rate limit of its part.

    The application is single-threaded, so the handler needs no lock.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        stream: TextIO | None = None,
        level: int = INFO,
    ) -> None:
        """Create a handler.

        :param clock: monotonic time in seconds
        :param stream: where to write, by default stderr
        :param level: lowest logbook level that is written
        """
        super().__init__(level=level, bubble=False)
        self._clock = clock
        self._stream = stream or sys.stderr
        self._last_report_at = clock()
        self._buckets: dict[tuple[str, bool], TokenBucket] = {}

    def emit(self, record: LogRecord) -> None:
        """Write a record, or count it as dropped."""
        now = self._clock()
        if now - self._last_report_at >= DROPPED_REPORT_INTERVAL_S:
            self._last_report_at = now
            self.report_dropped()
        part = str(record.channel)
        bucket = self._get_bucket(part, record.level >= WARNING, now)
        if not bucket.take_token(now):
            return
        self._write_dropped(part, bucket)
        message = _strip_part_prefix(record.message, part)
        message += _describe_exception(record.exc_info)
        self._write(get_level_name(record.level), part, message)

    def report_dropped(self) -> None:
        """Write how many lines each part dropped since the last report."""
        for (part, _), bucket in self._buckets.items():
            self._write_dropped(part, bucket)

    def _get_bucket(
        self, part: str, is_warning: bool, now: float
    ) -> TokenBucket:
        key = (part, is_warning)
        if key not in self._buckets:
            limit = WARNING_LIMIT if is_warning else INFO_LIMIT
            self._buckets[key] = TokenBucket(limit, now)
        return self._buckets[key]

    def _write_dropped(self, part: str, bucket: TokenBucket) -> None:
        if dropped := bucket.collect_dropped():
            self._write(
                "WARNING", part, f"dropped {dropped} lines over the rate limit"
            )

    def _write(self, level: str, part: str, message: str) -> None:
        timestamp = datetime.now(timezone.utc).isoformat(
            timespec="milliseconds"
        )
        line = _escape_line(f"{timestamp} {level} {part}: {message}")
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # A closed stderr must not stop the node.
            pass


class LibraryLogHandler(logging.Handler):
    """Forwards warnings of libraries to logbook, without exception texts."""

    PARTS = {"uvicorn": "http", "falcon": "http"}

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record under the part that uses the library."""
        library = record.name.partition(".")[0]
        part = self.PARTS.get(library, library)
        exception = _describe_exception(record.exc_info)
        # Library messages can quote requests; only the first line is logged.
        message = record.getMessage().partition("\n")[0]
        Logger(part).warning("{}{}", message, exception)


def install_logs(handler: LogHandler) -> None:
    """Send all log records of the process to the handler."""
    handler.push_application()
    logging.basicConfig(
        level=logging.WARNING, handlers=[LibraryLogHandler()], force=True
    )


def _strip_part_prefix(message: str, part: str) -> str:
    """Remove the name of the part, since each line starts with it anyway."""
    prefix = f"{part}:"
    if message[: len(prefix)].lower() == prefix.lower():
        return message[len(prefix) :].lstrip()
    return message


def _describe_exception(exc_info: object) -> str:
    """Describe an exception without its text, which can contain a secret."""
    if not isinstance(exc_info, tuple) or exc_info[0] is None:
        return ""
    exc_type, _, trace = exc_info
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return f" ({exc_type.__name__})"
    file = Path(trace.tb_frame.f_code.co_filename).name
    return f" ({exc_type.__name__} at {file}:{trace.tb_lineno})"


def _escape_line(text: str) -> str:
    """Truncate a line and escape line breaks and control characters."""
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1]
        for char in text[:MAX_LINE_CHARS]
    )
