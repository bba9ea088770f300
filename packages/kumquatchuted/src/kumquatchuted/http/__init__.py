"""HTTP listeners for callers, operators and metrics."""
