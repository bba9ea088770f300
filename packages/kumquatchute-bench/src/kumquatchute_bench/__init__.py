"""Experiments with real processes and cost measurements for capacity plans."""
