"""Timing of the work on a record after the caller has a result."""

# Interval between two reads of the record.
CLEANUP_INTERVAL_S = 5.0
# After this time the record is left as it is.
CLEANUP_TIMEOUT_S = 600.0
