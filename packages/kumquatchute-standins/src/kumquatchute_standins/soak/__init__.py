"""Randomized soak: checks guarantees of real nodes under injected faults."""
