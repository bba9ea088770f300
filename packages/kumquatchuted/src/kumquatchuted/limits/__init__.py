"""Limits that hold for all nodes together, and this node's shares."""
