"""The steps and faults that a marker may name."""

from enum import Enum


class Step(Enum):
    """A step of the system's work; a row of the matrix."""

    SEARCH_PLAN = "search: plan"
    SEARCH_SEND = "search: send"
    SEARCH_WAIT = "search: wait"
    SEARCH_MERGE = "search: merge"
    SUBMISSION_CLAIM = "submission: claim"
    SUBMISSION_SEND = "submission: send"
    SUBMISSION_RECORD = "submission: record"
    SUBMISSION_REPEAT = "submission: repeat"
    TICKET_RECORD = "ticket: record"
    TICKET_SPREAD = "ticket: spread"
    TICKET_APPLY = "ticket: apply"
    TICKET_COMPACT = "ticket: compact"
    OUT_APPLY = "out of service: apply"
    OUT_QUEUED = "out of service: queued work"
    OUT_RETURN = "out of service: return"
    NODE_JOIN = "start and stop: join"
    NODE_DRAIN = "start and stop: drain"
    NODE_HAND_OVER = "start and stop: hand over"
    NODE_RESTART = "start and stop: restart"


class Fault(Enum):
    """A fault of the fault model; a column of the matrix."""

    STRAGGLER = "straggler"
    REPLICA_LOST = "replica lost"
    REPARTITION = "repartition during a query"
    TARGET_COLD = "target cold without warning"
    TARGET_LEAVING = "target leaving"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    ANSWER_LOST = "store answer lost after the write"
    OLDER_STATE = "store answers older state"
    LEASE_EXPIRED = "lease expired while its holder was paused"
    OPERATORS_RACING = "operators racing"
    CONNECTION_SILENT = "connection silent for good"
    NODE_KILLED = "node killed"
    NODE_PAUSED = "node paused and resumed"
