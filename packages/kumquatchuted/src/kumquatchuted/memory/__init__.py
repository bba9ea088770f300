"""Limits on the data that a node keeps for others."""
