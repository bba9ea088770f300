"""Reasons why a fault cannot affect a step.

A cell that only lacks a test has no reason here.
"""

from dataclasses import dataclass

from kumquatchute_bench.fault_matrix.steps_and_faults import Fault
from kumquatchute_bench.fault_matrix.steps_and_faults import Step


@dataclass(frozen=True)
class Reason:
    """Cells that do not apply, and the reason they share."""

    steps: tuple[Step, ...]
    faults: tuple[Fault, ...]
    text: str


TICKET_STEPS = (
    Step.TICKET_RECORD,
    Step.TICKET_SPREAD,
    Step.TICKET_APPLY,
    Step.TICKET_COMPACT,
)
TARGET_FAULTS = (
    Fault.STRAGGLER,
    Fault.REPLICA_LOST,
    Fault.REPARTITION,
    Fault.TARGET_COLD,
    Fault.TARGET_LEAVING,
)
STORE_FAULTS = (
    Fault.STORE_DOWN,
    Fault.STORE_SLOW,
    Fault.ANSWER_LOST,
    Fault.OLDER_STATE,
)

REASONS = (
    Reason(TICKET_STEPS, TARGET_FAULTS, "tickets involve no target"),
    Reason(
        (Step.SEARCH_PLAN,),
        (Fault.STRAGGLER,),
        "planning waits for no target",
    ),
    Reason(
        (Step.SEARCH_PLAN,),
        (Fault.TARGET_COLD,),
        "only the owner knows whether a searcher is warm; no plan uses it",
    ),
    Reason(
        (Step.SEARCH_PLAN,),
        (Fault.CONNECTION_SILENT,),
        "planning sends no message",
    ),
    Reason(
        (Step.SEARCH_PLAN, Step.SEARCH_SEND, Step.SEARCH_WAIT),
        (Fault.ANSWER_LOST,),
        "a search writes nothing to the store",
    ),
    Reason(
        (Step.SEARCH_MERGE,),
        STORE_FAULTS,
        "a merge uses only the pinned plan and the responses",
    ),
    Reason(
        (Step.SEARCH_MERGE,),
        (Fault.LEASE_EXPIRED, Fault.OPERATORS_RACING),
        "a merge needs no lease and reads no newer ticket",
    ),
    Reason(
        (Step.SUBMISSION_CLAIM, Step.SUBMISSION_RECORD),
        (Fault.REPARTITION,),
        "a submission belongs to no shard",
    ),
    Reason(
        (Step.SUBMISSION_SEND, Step.SUBMISSION_REPEAT),
        (Fault.REPARTITION,),
        "a submission belongs to no shard",
    ),
    Reason(
        (Step.SUBMISSION_CLAIM,),
        (Fault.STRAGGLER, Fault.REPLICA_LOST, Fault.TARGET_COLD),
        "a claim involves no target",
    ),
    Reason(
        (Step.SUBMISSION_SEND,),
        (Fault.ANSWER_LOST, Fault.OLDER_STATE),
        "between claim and record the store is not used",
    ),
    Reason(
        (Step.TICKET_SPREAD, Step.TICKET_APPLY),
        (Fault.ANSWER_LOST,),
        "spreading or applying a ticket writes nothing",
    ),
    Reason(
        (Step.TICKET_COMPACT,),
        (Fault.LEASE_EXPIRED,),
        "compacting needs no lease; a paused node has its own column",
    ),
    Reason(
        (Step.OUT_QUEUED,),
        STORE_FAULTS,
        "dropping queued work uses only the applied view",
    ),
    Reason(
        (Step.OUT_APPLY, Step.OUT_RETURN),
        (Fault.ANSWER_LOST,),
        "applying a ticket writes nothing; recording it is a ticket step",
    ),
    Reason(
        (Step.NODE_JOIN,),
        (
            Fault.STRAGGLER,
            Fault.REPLICA_LOST,
            Fault.REPARTITION,
            Fault.TARGET_COLD,
            Fault.TARGET_LEAVING,
        ),
        "joining involves no target",
    ),
)
