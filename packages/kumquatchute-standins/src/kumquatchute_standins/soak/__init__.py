"""Randomized soak: real nodes, faults from outside, promises checked."""
