"""The listeners for callers and for the readiness check."""
