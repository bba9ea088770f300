"""A pytest plugin that reads the markers of the collected tests."""

import pytest

from kumquatchute_bench.fault_matrix.proofs import InvalidMarker
from kumquatchute_bench.fault_matrix.proofs import Proof
from kumquatchute_bench.fault_matrix.proofs import read_marker

MARKER = "proves"
EXCLUDED_MARKS = ("skip", "skipif", "xfail")
"""A test with one of these marks can pass without a check."""


class ProofCollector:
    """Holds the proofs and invalid markers of one collection."""

    def __init__(self) -> None:
        """Create an empty collector."""
        self.proofs: set[Proof] = set()
        self.invalid_markers: list[InvalidMarker] = []

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Read the markers after pytest has collected all tests."""
        for item in session.items:
            for mark in item.iter_markers(MARKER):
                self._read_mark(item, mark)

    def _read_mark(self, item: pytest.Item, mark: pytest.Mark) -> None:
        # The cases of a parametrised test count as one test.
        test = item.nodeid.partition("[")[0]
        if any(item.get_closest_marker(name) for name in EXCLUDED_MARKS):
            self.invalid_markers.append(
                InvalidMarker(test, "skipped or expected to fail")
            )
            return
        match read_marker(test, mark.args):
            case Proof() as proof:
                self.proofs.add(proof)
            case InvalidMarker() as invalid:
                self.invalid_markers.append(invalid)
