"""Guards against a page that claims more than the tests state."""

from kumquatchute_bench.fault_matrix.cells import build_matrix
from kumquatchute_bench.fault_matrix.cells import find_contradictions
from kumquatchute_bench.fault_matrix.cells import Open
from kumquatchute_bench.fault_matrix.cells import Pair
from kumquatchute_bench.fault_matrix.cells import Proved
from kumquatchute_bench.fault_matrix.collect import collect_proofs
from kumquatchute_bench.fault_matrix.collect import CollectionFailed
from kumquatchute_bench.fault_matrix.page import render_page
from kumquatchute_bench.fault_matrix.proofs import InvalidMarker
from kumquatchute_bench.fault_matrix.proofs import Proof
from kumquatchute_bench.fault_matrix.proofs import read_marker
from kumquatchute_bench.fault_matrix.reasons import Reason
from kumquatchute_bench.fault_matrix.reports import list_reports
from kumquatchute_bench.fault_matrix.reports import read_report
from kumquatchute_bench.fault_matrix.reports import Report
from kumquatchute_bench.fault_matrix.steps_and_faults import Fault
from kumquatchute_bench.fault_matrix.steps_and_faults import Step

PAIR = (Fault.STORE_DOWN, Fault.NODE_KILLED)


def test_marker_with_an_unknown_step_or_fault_is_invalid():
    """Guards against a misspelt marker that is accepted as a proof."""
    for args in (
        (),
        ("search: send",),
        ("search: sned", "straggler"),
        ("search: send", "bad weather"),
        ("search: send", "straggler", "store down", "node killed"),
    ):
        assert isinstance(read_marker("t", args), InvalidMarker), args


def test_pair_is_the_same_in_either_order():
    """Guards against a proved pair shown as open due to the fault order."""
    in_order = read_marker("t", ("search: send", "store down", "node killed"))
    reversed_order = read_marker(
        "t", ("search: send", "node killed", "store down")
    )
    assert in_order == reversed_order == Proof("t", Step.SEARCH_SEND, PAIR)


def test_proof_of_a_pair_leaves_the_single_cells_open():
    """Guards against a cell shown as proved that no test covers.

    A test of two faults together does not show what one of them does alone.
    A wanted pair without a test must be listed as open.
    """
    proof = Proof("t", Step.SEARCH_SEND, PAIR)
    wanted = Pair(Step.NODE_JOIN, PAIR)
    matrix = build_matrix((proof,), (), (wanted,))
    assert set(matrix.cells.values()) == {Open()}
    assert matrix.pairs == {
        Pair(Step.SEARCH_SEND, PAIR): Proved(("t",)),
        wanted: Open(),
    }


def test_cell_that_a_test_proves_contradicts_its_reason():
    """Guards against an outdated reason that a cell is not applicable."""
    reason = Reason((Step.SEARCH_PLAN,), (Fault.STRAGGLER,), "never")
    proof = Proof("t", Step.SEARCH_PLAN, (Fault.STRAGGLER,))
    matrix = build_matrix((proof,), (reason,), ())
    assert find_contradictions(matrix, (reason,)) == (reason,)


def test_page_numbers_the_tests_and_counts_the_cells():
    """Guards against cells that cite the wrong test, and wrong totals."""
    proofs = (
        Proof("t2", Step.SEARCH_PLAN, (Fault.STRAGGLER,)),
        Proof("t1", Step.SEARCH_SEND, (Fault.STRAGGLER,)),
    )
    reason = Reason((Step.SEARCH_WAIT,), (Fault.STRAGGLER,), "never")
    text = render_page(build_matrix(proofs, (reason,), ()))
    assert "| search: plan | proved 2 |" in text
    assert "| search: wait | n/a r1 |" in text
    assert "2 proved, 1 not applicable, 263 open." in text
    assert "1. `t1`\n2. `t2`\n" in text


def collect_from(folder, decorators, known_red=""):
    body = f"import pytest\n\n{decorators}\ndef test_it():\n    pass\n"
    # pytest caches modules by name, so each test needs its own file name.
    (folder / f"test_of_{folder.name}.py").write_text(body)
    (folder / "KNOWN-RED.txt").write_text(known_red)
    (folder / "pytest.ini").write_text(
        "[pytest]\naddopts = --import-mode=importlib -p no:cacheprovider\n"
        "markers =\n    proves: test\n"
    )
    return collect_proofs(folder)


MARKER = '@pytest.mark.proves("search: plan", "store down")'


def test_marked_test_is_collected_unless_it_is_known_to_fail(tmp_path):
    """Guards against a cell shown as proved although its only test fails.

    Tests in KNOWN-RED.txt fail and CI passes over them, so they prove nothing.
    """
    test = f"test_of_{tmp_path.name}.py::test_it"
    proof = Proof(test, Step.SEARCH_PLAN, PAIR[:1])
    assert collect_from(tmp_path, MARKER) == {proof}
    assert collect_from(tmp_path, MARKER, f"{test}: red") == set()


def test_skipped_test_proves_nothing(tmp_path):
    """Guards against a cell shown as proved by a test that never runs.

    The collection fails and names the test, so that its author sees it.
    """
    result = collect_from(tmp_path, f"@pytest.mark.skip\n{MARKER}")
    assert isinstance(result, CollectionFailed)
    assert f"test_of_{tmp_path.name}.py::test_it" in result.reason


def test_report_without_a_test_is_listed_as_open():
    """Guards against a reported failure that the page leaves out."""
    assert isinstance(read_report("t", ("no such report",)), InvalidMarker)
    marked = read_report("a.py::t", ("late copy of an answer",))
    first, *others = list_reports([marked])
    assert first.endswith(": `t`")
    assert len(others) == len(Report) - 1
    assert all(line.endswith(": open") for line in others)
