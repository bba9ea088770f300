"""Attempts, limits and warm-up of the searchers that this node owns."""
