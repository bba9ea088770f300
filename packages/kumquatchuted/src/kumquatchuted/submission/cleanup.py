"""Timing of the work on a record after the caller has a result."""

CLEANUP_INTERVAL_S = 5.0
CLEANUP_TIMEOUT_S = 600.0
