"""Collects the markers of all tests without running the tests."""

from contextlib import redirect_stdout
from dataclasses import dataclass
import io
from pathlib import Path

import pytest

from kumquatchute_bench.fault_matrix.plugin import ProofCollector
from kumquatchute_bench.fault_matrix.proofs import InvalidMarker
from kumquatchute_bench.fault_matrix.proofs import Proof
from kumquatchute_bench.fault_matrix.reports import ReportTest

KNOWN_RED = "KNOWN-RED.txt"
ERRORS_TITLE = " ERRORS "


@dataclass(frozen=True)
class CollectionFailed:
    """The tests or their markers cannot be read."""

    reason: str


@dataclass(frozen=True)
class Markers:
    """What the markers of all tests state, without those in KNOWN-RED.txt."""

    proofs: frozenset[Proof]
    report_tests: frozenset[ReportTest]


def collect_proofs(root: Path) -> frozenset[Proof] | CollectionFailed:
    """Read the ``proves`` markers of all tests.

    :param root: root of the repository
    :returns: the proofs, without those of tests in KNOWN-RED.txt; or why
        the collection failed
    """
    markers = collect_markers(root)
    match markers:
        case CollectionFailed():
            return markers
    return markers.proofs


def collect_markers(root: Path) -> Markers | CollectionFailed:
    """Read the markers of all tests.

    :param root: root of the repository
    """
    collector = ProofCollector()
    output = io.StringIO()
    options = ["--collect-only", "-q", f"--rootdir={root}", str(root)]
    with redirect_stdout(output):
        status = pytest.main(options, plugins=[collector])
    if status != pytest.ExitCode.OK:
        return CollectionFailed(_extract_errors(output.getvalue()))
    if collector.invalid_markers:
        return CollectionFailed(_format_markers(collector.invalid_markers))
    known_red = (root / KNOWN_RED).read_text()
    return Markers(
        frozenset(
            proof for proof in collector.proofs if proof.test not in known_red
        ),
        frozenset(
            item
            for item in collector.report_tests
            if item.test not in known_red
        ),
    )


def _extract_errors(output: str) -> str:
    """Return the errors without the list of tests that precedes them."""
    _, title, errors = output.partition(ERRORS_TITLE)
    return title + errors if title else output


def _format_markers(markers: list[InvalidMarker]) -> str:
    lines = sorted({f"{marker.test}: {marker.reason}" for marker in markers})
    return "invalid markers:\n" + "\n".join(lines)
