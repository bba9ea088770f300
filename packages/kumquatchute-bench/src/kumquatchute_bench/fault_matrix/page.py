"""Writes the matrix as a Markdown page."""

from collections.abc import Iterable

from kumquatchute_bench.fault_matrix.cells import Cell
from kumquatchute_bench.fault_matrix.cells import Matrix
from kumquatchute_bench.fault_matrix.cells import NotApplicable
from kumquatchute_bench.fault_matrix.cells import Open
from kumquatchute_bench.fault_matrix.cells import Proved
from kumquatchute_bench.fault_matrix.reports import list_reports
from kumquatchute_bench.fault_matrix.reports import ReportTest
from kumquatchute_bench.fault_matrix.steps_and_faults import Fault
from kumquatchute_bench.fault_matrix.steps_and_faults import Step

HEADER = """\
# Fault matrix

`make matrix` writes this page from the `proves` markers of the tests; a
change by hand is lost, and CI compares the page with the markers. A row is a
step, and a column is a fault that occurs during that step. `proved` refers to
the numbered list of tests at the end, `n/a` refers to a reason below the
table, and `open` means that no test proves the cell. A marker states what the
test checks; it does not say that the test covers every moment of the step. A
test that is skipped, expected to fail or listed in KNOWN-RED.txt proves
nothing. Pairs of faults are listed if a test proves them or if a test for them
is wanted; other pairs have no test.

docs/played-days.md lists the kinds of trouble of the users' platform, the day
files that contain them and the results of the days played."""


def render_page(
    matrix: Matrix, report_tests: Iterable[ReportTest] = ()
) -> str:
    """Return the text of the page.

    :param matrix: cells, pairs and tests
    :param report_tests: tests of the failures that operators reported
    :returns: Markdown with a final newline
    """
    reasons = _list_reasons(matrix)
    sections = (
        HEADER,
        _format_counts(matrix),
        _format_table(matrix, reasons),
        _format_section("Reasons", _reason_lines(reasons)),
        _format_section(
            "The same fault twice, and pairs of faults", _pair_lines(matrix)
        ),
        _format_section(
            "Reports of other operators", list_reports(report_tests)
        ),
        _format_section("Tests", _test_lines(matrix)),
    )
    return "\n\n".join(sections) + "\n"


def _list_reasons(matrix: Matrix) -> list[str]:
    texts = [
        cell.reason
        for cell in matrix.cells.values()
        if isinstance(cell, NotApplicable)
    ]
    return list(dict.fromkeys(texts))


def _format_counts(matrix: Matrix) -> str:
    def count(kind: type, cells: dict) -> int:
        return sum(isinstance(cell, kind) for cell in cells.values())

    return (
        f"{len(matrix.cells)} cells: {count(Proved, matrix.cells)} proved, "
        f"{count(NotApplicable, matrix.cells)} not applicable, "
        f"{count(Open, matrix.cells)} open. "
        f"Pairs: {count(Proved, matrix.pairs)} proved, "
        f"{count(Open, matrix.pairs)} open."
    )


def _format_table(matrix: Matrix, reasons: list[str]) -> str:
    lines = [
        _format_row("step", *(fault.value for fault in Fault)),
        _format_row(*("---" for _ in range(1 + len(Fault)))),
    ]
    for step in Step:
        cells = (matrix.cells[step, fault] for fault in Fault)
        texts = (_format_cell(cell, matrix, reasons) for cell in cells)
        lines.append(_format_row(step.value, *texts))
    return "\n".join(lines)


def _format_cell(cell: Cell, matrix: Matrix, reasons: list[str]) -> str:
    match cell:
        case Proved(tests):
            numbers = (str(1 + matrix.tests.index(test)) for test in tests)
            return "proved " + ", ".join(numbers)
        case NotApplicable(reason):
            return f"n/a {_reason_label(reasons.index(reason))}"
        case Open():
            return "open"


def _reason_label(index: int) -> str:
    return f"r{index + 1}"


def _format_row(*texts: str) -> str:
    return "| " + " | ".join(texts) + " |"


def _format_section(title: str, lines: list[str]) -> str:
    return f"## {title}\n\n" + "\n".join(lines)


def _reason_lines(reasons: list[str]) -> list[str]:
    return [f"- {_reason_label(i)}: {text}" for i, text in enumerate(reasons)]


def _pair_lines(matrix: Matrix) -> list[str]:
    rows = [
        _format_row("step", "faults", "tests"),
        _format_row("---", "---", "---"),
    ]
    for pair, cell in matrix.pairs.items():
        first, second = pair.faults
        faults = f"{first.value}, {second.value}"
        if first is second:
            faults = f"{first.value}, twice"
        rows.append(
            _format_row(
                pair.step.value, faults, _format_cell(cell, matrix, [])
            )
        )
    return rows


def _test_lines(matrix: Matrix) -> list[str]:
    return [f"{i}. `{test}`" for i, test in enumerate(matrix.tests, start=1)]
