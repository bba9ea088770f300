"""A pytest plugin that reads the markers of the collected tests."""

import pytest

from kumquatchute_bench.fault_matrix.proofs import InvalidMarker
from kumquatchute_bench.fault_matrix.proofs import Proof
from kumquatchute_bench.fault_matrix.proofs import read_marker
from kumquatchute_bench.fault_matrix.reports import read_report
from kumquatchute_bench.fault_matrix.reports import ReportTest

MARKER = "proves"
REPORT_MARKER = "report"
EXCLUDED_MARKS = ("skip", "skipif", "xfail")
"""A test with one of these marks can pass without a check."""


class ProofCollector:
    """Holds the proofs and invalid markers of one collection."""

    def __init__(self) -> None:
        """Create an empty collector."""
        self.proofs: set[Proof] = set()
        self.report_tests: set[ReportTest] = set()
        self.invalid_markers: list[InvalidMarker] = []

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Read the markers after pytest has collected all tests."""
        for item in session.items:
            for name in (MARKER, REPORT_MARKER):
                for mark in item.iter_markers(name):
                    self._read_mark(item, mark)

    def _read_mark(self, item: pytest.Item, mark: pytest.Mark) -> None:
        # The cases of a parametrised test count as one test.
        test = item.nodeid.partition("[")[0]
        if any(item.get_closest_marker(name) for name in EXCLUDED_MARKS):
            self.invalid_markers.append(
                InvalidMarker(test, "skipped or expected to fail")
            )
            return
        read = read_marker if mark.name == MARKER else read_report
        match read(test, mark.args):
            case Proof() as proof:
                self.proofs.add(proof)
            case ReportTest() as report_test:
                self.report_tests.add(report_test)
            case InvalidMarker() as invalid:
                self.invalid_markers.append(invalid)
