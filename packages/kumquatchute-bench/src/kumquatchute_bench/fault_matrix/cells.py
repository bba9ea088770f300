"""Decides the content of each cell of the matrix."""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatchute_bench.fault_matrix.proofs import Proof
from kumquatchute_bench.fault_matrix.reasons import Reason
from kumquatchute_bench.fault_matrix.steps_and_faults import Fault
from kumquatchute_bench.fault_matrix.steps_and_faults import Step


@dataclass(frozen=True)
class Proved:
    """At least one test proves the cell."""

    tests: tuple[str, ...]


@dataclass(frozen=True)
class NotApplicable:
    """The fault cannot affect the step."""

    reason: str


@dataclass(frozen=True)
class Open:
    """No test proves the cell."""


Cell = Proved | NotApplicable | Open


@dataclass(frozen=True)
class Pair:
    """Two faults, or one fault twice, at a step."""

    step: Step
    faults: tuple[Fault, Fault]


@dataclass(frozen=True)
class Matrix:
    """All cells, the pairs of faults, and the tests by number."""

    cells: dict[tuple[Step, Fault], Cell]
    pairs: dict[Pair, Proved | Open]
    tests: tuple[str, ...]


def build_matrix(
    proofs: Iterable[Proof],
    reasons: Iterable[Reason],
    wanted_pairs: Iterable[Pair],
) -> Matrix:
    """Build the matrix from the proofs and reasons.

    :param proofs: steps and faults from the markers of the tests
    :param reasons: why cells do not apply
    :param wanted_pairs: pairs that are listed even without a test
    """
    proofs = sorted(proofs, key=lambda proof: proof.test)
    reasons = tuple(reasons)
    cells = {
        (step, fault): _build_cell(step, fault, proofs, reasons)
        for step in Step
        for fault in Fault
    }
    proved_pairs = {
        Pair(proof.step, proof.faults)
        for proof in proofs
        if len(proof.faults) == 2
    }
    pairs = {
        pair: _find_tests(proofs, pair.step, pair.faults)
        for pair in sorted(proved_pairs | set(wanted_pairs), key=_sort_key)
    }
    tests = tuple(sorted({proof.test for proof in proofs}))
    return Matrix(cells, pairs, tests)


def find_contradictions(
    matrix: Matrix, reasons: Iterable[Reason]
) -> tuple[Reason, ...]:
    """Return the reasons that cover a cell which a test proves."""
    return tuple(
        reason
        for reason in reasons
        if any(
            isinstance(matrix.cells[step, fault], Proved)
            for step in reason.steps
            for fault in reason.faults
        )
    )


def _build_cell(
    step: Step,
    fault: Fault,
    proofs: list[Proof],
    reasons: tuple[Reason, ...],
) -> Cell:
    match _find_tests(proofs, step, (fault,)):
        case Proved() as proved:
            return proved
    for reason in reasons:
        if step in reason.steps and fault in reason.faults:
            return NotApplicable(reason.text)
    return Open()


def _find_tests(
    proofs: list[Proof], step: Step, faults: tuple[Fault, ...]
) -> Proved | Open:
    tests = tuple(
        proof.test
        for proof in proofs
        if (proof.step, proof.faults) == (step, faults)
    )
    return Proved(tests) if tests else Open()


def _sort_key(pair: Pair) -> tuple[int, ...]:
    steps, faults = list(Step), list(Fault)
    return (steps.index(pair.step), *map(faults.index, pair.faults))
