"""Writes the matrix as a Markdown page."""

from kumquatchute_bench.fault_matrix.cells import Cell
from kumquatchute_bench.fault_matrix.cells import Matrix
from kumquatchute_bench.fault_matrix.cells import NotApplicable
from kumquatchute_bench.fault_matrix.cells import Open
from kumquatchute_bench.fault_matrix.cells import Proved
from kumquatchute_bench.fault_matrix.closed_lists import Fault
from kumquatchute_bench.fault_matrix.closed_lists import Step

HEAD = """\
# Fault matrix

`make matrix` writes this page from the `proves` markers of the tests; a
change by hand is lost, and CI compares the page with the markers. A row is a
step, a column a fault that strikes during that step. `proved` names the tests
by the numbers of the list at the end, `n/a` refers to a reason below the
table, and `open` means that no test proves the cell. A marker states what the
test checks; it does not say that the test covers every moment of the step. A
test that is skipped, expected to fail or listed in KNOWN-RED.txt proves
nothing. Pairs of faults are listed if a test proves them or if they are
wanted; other pairs have no test.

The kinds of trouble of the users' platform, the days that hold them and what
came of them are in docs/played-days.md."""


def write_page(matrix: Matrix) -> str:
    """Return the whole page.

    :param matrix: cells, pairs and tests
    :returns: Markdown with a final newline
    """
    reasons = _reasons(matrix)
    parts = (
        HEAD,
        _counts(matrix),
        _table(matrix, reasons),
        _section("Reasons", _letters(reasons)),
        _section("The same fault twice, and pairs of faults", _pairs(matrix)),
        _section("Tests", _numbers(matrix)),
    )
    return "\n\n".join(parts) + "\n"


def _reasons(matrix: Matrix) -> list[str]:
    texts = [
        cell.reason
        for cell in matrix.cells.values()
        if isinstance(cell, NotApplicable)
    ]
    return list(dict.fromkeys(texts))


def _counts(matrix: Matrix) -> str:
    def count(kind: type, cells: dict) -> int:
        return sum(isinstance(cell, kind) for cell in cells.values())

    return (
        f"{len(matrix.cells)} cells: {count(Proved, matrix.cells)} proved, "
        f"{count(NotApplicable, matrix.cells)} not applicable, "
        f"{count(Open, matrix.cells)} open. "
        f"Pairs: {count(Proved, matrix.pairs)} proved, "
        f"{count(Open, matrix.pairs)} open."
    )


def _table(matrix: Matrix, reasons: list[str]) -> str:
    lines = [
        _row("step", *(fault.value for fault in Fault)),
        _row(*("---" for _ in range(1 + len(Fault)))),
    ]
    for step in Step:
        cells = (matrix.cells[step, fault] for fault in Fault)
        texts = (_text(cell, matrix, reasons) for cell in cells)
        lines.append(_row(step.value, *texts))
    return "\n".join(lines)


def _text(cell: Cell, matrix: Matrix, reasons: list[str]) -> str:
    match cell:
        case Proved(tests):
            numbers = (str(1 + matrix.tests.index(test)) for test in tests)
            return "proved " + ", ".join(numbers)
        case NotApplicable(reason):
            return f"n/a {_letter(reasons.index(reason))}"
        case Open():
            return "open"


def _letter(index: int) -> str:
    return f"r{index + 1}"


def _row(*texts: str) -> str:
    return "| " + " | ".join(texts) + " |"


def _section(title: str, lines: list[str]) -> str:
    return f"## {title}\n\n" + "\n".join(lines)


def _letters(reasons: list[str]) -> list[str]:
    return [f"- {_letter(i)}: {text}" for i, text in enumerate(reasons)]


def _pairs(matrix: Matrix) -> list[str]:
    rows = [_row("step", "faults", "tests"), _row("---", "---", "---")]
    for pair, cell in matrix.pairs.items():
        first, second = pair.faults
        faults = f"{first.value}, {second.value}"
        if first is second:
            faults = f"{first.value}, twice"
        rows.append(_row(pair.step.value, faults, _text(cell, matrix, [])))
    return rows


def _numbers(matrix: Matrix) -> list[str]:
    return [f"{i}. `{test}`" for i, test in enumerate(matrix.tests, start=1)]
