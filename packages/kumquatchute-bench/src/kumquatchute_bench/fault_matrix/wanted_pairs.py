"""Pairs of faults that the page lists even if no test proves them."""

from kumquatchute_bench.fault_matrix.cells import Pair
from kumquatchute_bench.fault_matrix.steps_and_faults import Fault
from kumquatchute_bench.fault_matrix.steps_and_faults import Step

WANTED_PAIRS = (
    Pair(Step.SEARCH_SEND, (Fault.STORE_DOWN, Fault.NODE_KILLED)),
    Pair(Step.SEARCH_SEND, (Fault.TARGET_COLD, Fault.NODE_KILLED)),
    Pair(Step.SEARCH_SEND, (Fault.TARGET_COLD, Fault.TARGET_COLD)),
    Pair(Step.SEARCH_SEND, (Fault.TARGET_COLD, Fault.NODE_PAUSED)),
    Pair(Step.SEARCH_MERGE, (Fault.STRAGGLER, Fault.REPARTITION)),
    Pair(Step.SEARCH_MERGE, (Fault.REPARTITION, Fault.REPARTITION)),
    Pair(Step.SUBMISSION_CLAIM, (Fault.ANSWER_LOST, Fault.ANSWER_LOST)),
    Pair(Step.SUBMISSION_RECORD, (Fault.ANSWER_LOST, Fault.NODE_KILLED)),
    Pair(Step.SUBMISSION_SEND, (Fault.STORE_DOWN, Fault.CONNECTION_SILENT)),
    Pair(Step.TICKET_RECORD, (Fault.ANSWER_LOST, Fault.ANSWER_LOST)),
    Pair(Step.TICKET_RECORD, (Fault.OPERATORS_RACING, Fault.NODE_KILLED)),
    Pair(Step.TICKET_SPREAD, (Fault.STORE_DOWN, Fault.NODE_KILLED)),
    Pair(Step.OUT_APPLY, (Fault.OPERATORS_RACING, Fault.NODE_PAUSED)),
    Pair(Step.OUT_RETURN, (Fault.OPERATORS_RACING, Fault.OPERATORS_RACING)),
    Pair(Step.NODE_HAND_OVER, (Fault.STORE_DOWN, Fault.NODE_PAUSED)),
    Pair(Step.NODE_HAND_OVER, (Fault.NODE_KILLED, Fault.NODE_KILLED)),
)
