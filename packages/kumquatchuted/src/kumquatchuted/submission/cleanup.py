"""How long a request without a caller looks after its record."""

CLEANUP_INTERVAL_S = 5.0
CLEANUP_TIMEOUT_S = 600.0
