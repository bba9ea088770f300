"""Writes the page of the fault matrix, or checks that it is current."""

from pathlib import Path

from kumquatchute_bench.fault_matrix.cells import build_matrix
from kumquatchute_bench.fault_matrix.cells import find_contradictions
from kumquatchute_bench.fault_matrix.collect import collect_markers
from kumquatchute_bench.fault_matrix.collect import CollectionFailed
from kumquatchute_bench.fault_matrix.page import render_page
from kumquatchute_bench.fault_matrix.reasons import REASONS
from kumquatchute_bench.fault_matrix.wanted_pairs import WANTED_PAIRS

PAGE = Path("docs/fault-matrix.md")


def run(root: Path, check: bool) -> str | None:
    """Write the page, or check that it matches the markers.

    :param root: root of the repository
    :param check: compare and write nothing
    :returns: an error message; None on success
    """
    markers = collect_markers(root)
    match markers:
        case CollectionFailed(reason):
            return reason
    matrix = build_matrix(markers.proofs, REASONS, WANTED_PAIRS)
    for reason in find_contradictions(matrix, REASONS):
        return f"tests prove a cell that does not apply: {reason.text}"
    text = render_page(matrix, markers.report_tests)
    page = root / PAGE
    if not check:
        page.write_text(text)
        return None
    if not page.exists() or page.read_text() != text:
        return f"{PAGE} differs from the markers; run 'make matrix'"
    return None
