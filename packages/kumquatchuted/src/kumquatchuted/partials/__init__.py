"""Partial queries, which nodes in other data centres run and merge."""
