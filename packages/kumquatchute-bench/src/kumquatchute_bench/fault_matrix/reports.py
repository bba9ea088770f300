"""Failures that operators of similar systems reported, and their tests."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from kumquatchute_bench.fault_matrix.proofs import InvalidMarker


class Report(Enum):
    """The reports, by the names that the markers use."""

    LATE_COPY = "late copy of an answer"
    STOP_UNDER_LOAD = "planned stop under load"
    USED_AFTER_RESTART = "withdrawn used after a restart"
    SILENT_HOST = "silent host given up"
    LOST_ANSWER = "lost answer run again"
    PROCESS_DOWN = "one message ends a process"
    LATE_IN_GRACE = "late in the grace cut"


DESCRIPTIONS = {
    Report.LATE_COPY: "a late second copy of an answer reached another caller",
    Report.STOP_UNDER_LOAD: "a planned stop cut requests off under load",
    Report.USED_AFTER_RESTART: (
        "a server that had left was in use again after a restart"
    ),
    Report.SILENT_HOST: (
        "the running work of a silent host was started again or given up"
    ),
    Report.LOST_ANSWER: (
        "after a lost answer, work ran again or was called not run"
    ),
    Report.PROCESS_DOWN: "a message or an error took a process down",
    Report.LATE_IN_GRACE: (
        "requests late in the grace period were passed on and cut"
    ),
}


@dataclass(frozen=True)
class ReportTest:
    """A test shows that a report does not apply, or no longer."""

    test: str
    report: Report


def read_report(
    test: str, args: tuple[object, ...]
) -> ReportTest | InvalidMarker:
    """Check the argument of one ``report`` marker.

    :param test: id of the marked test
    :param args: the name of one report
    :returns: the test of the report, or why the marker is invalid
    """
    for report in Report:
        if args == (report.value,):
            return ReportTest(test, report)
    return InvalidMarker(test, f"{args!r} is no known report")


def list_reports(tests: Iterable[ReportTest]) -> list[str]:
    """Return a line of the page for each report, with its tests."""
    tests = tuple(tests)
    return [
        f"- {DESCRIPTIONS[report]}: {_tests_of(report, tests)}"
        for report in Report
    ]


def _tests_of(report: Report, tests: tuple[ReportTest, ...]) -> str:
    names = sorted(
        {
            item.test.partition("::")[2]
            for item in tests
            if item.report is report
        }
    )
    return ", ".join(f"`{name}`" for name in names) or "open"
