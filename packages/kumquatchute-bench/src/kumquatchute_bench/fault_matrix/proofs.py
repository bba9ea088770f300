"""Reads and validates the ``proves`` markers of tests."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from kumquatchute_bench.fault_matrix.steps_and_faults import Fault
from kumquatchute_bench.fault_matrix.steps_and_faults import Step

MAX_FAULTS = 2
"""The page shows single faults and pairs of faults only."""

Member = TypeVar("Member", bound=Enum)


@dataclass(frozen=True)
class Proof:
    """A test proves a step under one fault or a pair of faults."""

    test: str
    step: Step
    faults: tuple[Fault, ...]


@dataclass(frozen=True)
class InvalidMarker:
    """A marker that names no known step or fault, or too many."""

    test: str
    reason: str


def read_marker(test: str, args: tuple[object, ...]) -> Proof | InvalidMarker:
    """Check the arguments of one marker.

    :param test: id of the marked test
    :param args: a step and one or two faults, by their values
    :returns: the proof, or the reason why the marker is invalid
    """
    if not 2 <= len(args) <= 1 + MAX_FAULTS:
        return InvalidMarker(test, f"{len(args)} arguments instead of 2 or 3")
    step = _find_member(Step, args[0])
    faults = [_find_member(Fault, arg) for arg in args[1:]]
    for arg, member in zip(args, [step, *faults]):
        if member is None:
            return InvalidMarker(test, f"{arg!r} is no known step or fault")
    return Proof(test, step, _sort_faults(faults))


def _find_member(enum: type[Member], value: object) -> Member | None:
    return next((member for member in enum if member.value == value), None)


def _sort_faults(faults: Iterable[Fault]) -> tuple[Fault, ...]:
    """Sort faults, so that their order in a marker does not matter."""
    order = list(Fault)
    return tuple(sorted(faults, key=order.index))
