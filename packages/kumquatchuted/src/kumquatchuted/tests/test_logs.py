"""Tests of the log output: format, rate limit and exceptions."""

import io
import logging

from logbook import Logger

from kumquatchuted.logs import INFO_LIMIT
from kumquatchuted.logs import LibraryLogHandler
from kumquatchuted.logs import LogHandler


def capture_lines(*functions, clock=lambda: 0.0):
    """Return the lines that a handler writes while the functions log."""
    stream = io.StringIO()
    with LogHandler(clock, stream).applicationbound():
        for function in functions:
            function()
    return stream.getvalue().splitlines()


def test_record_is_one_line_that_starts_with_its_part():
    """Guards against log lines that are forged by values in a record.

    A caller's text can hold line breaks and terminal control characters.
    """
    log = Logger("placement")
    lines = capture_lines(
        lambda: log.info("owner of {} is n2", "s\n2 ERROR x: \x1b")
    )
    assert len(lines) == 1
    assert " INFO placement: owner of s\\n2 ERROR x: \\x1b is n2" in lines[0]


def test_flood_of_lines_is_counted_and_hides_no_warning():
    """Guards against warnings that are lost in a flood of other lines.

    The operator also learns how many lines the part dropped.
    """
    log = Logger("search")
    clock = iter([0.0] * 502 + [9.0]).__next__
    lines = capture_lines(
        lambda: [log.info("route {}", i) for i in range(500)],
        lambda: log.warning("late"),
        lambda: log.info("again"),
        clock=clock,
    )
    burst = int(INFO_LIMIT.burst)
    assert len(lines) == burst + 3
    assert lines[burst].endswith("WARNING search: late")
    assert f"search: dropped {500 - burst} lines" in lines[burst + 1]


def test_dropped_lines_of_a_part_without_new_lines_are_reported():
    """Guards against dropped lines of which the operator never learns.

    The part that dropped them writes no further line; a line of another part
    brings the report.
    """
    busy, other = Logger("search"), Logger("peers")
    clock = iter([0.0] * 301 + [10.0]).__next__
    lines = capture_lines(
        lambda: [busy.info("route {}", i) for i in range(300)],
        lambda: other.info("up"),
        clock=clock,
    )
    assert "search: dropped 100 lines" in lines[-2]


def test_prefix_written_by_the_part_is_not_repeated():
    """Guards against lines that name their part twice."""
    lines = capture_lines(
        lambda: Logger("placement").info("Placement: joined.")
    )
    assert lines[0].endswith("INFO placement: joined.")


def test_exception_text_stays_out_of_the_log():
    """Guards against secrets in the log.

    The text of an exception can quote a request or a token. Both the node's
    own parts and libraries log exceptions.
    """

    def log_exceptions():
        try:
            raise ValueError("SECRET9")
        except ValueError:
            Logger("http").exception("request failed")
            logging.getLogger("uvicorn.error").exception("failed")

    handler = LibraryLogHandler()
    logging.getLogger("uvicorn.error").addHandler(handler)
    lines = capture_lines(log_exceptions)
    logging.getLogger("uvicorn.error").removeHandler(handler)
    assert len(lines) == 2
    assert "SECRET9" not in "".join(lines)
    assert all("http: " in line and "test_logs.py" in line for line in lines)
