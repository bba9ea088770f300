"""Listeners for callers, other nodes, readiness checks and metrics."""
