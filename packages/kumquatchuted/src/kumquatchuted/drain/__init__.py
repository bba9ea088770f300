"""Readiness and graceful shutdown of the node."""
