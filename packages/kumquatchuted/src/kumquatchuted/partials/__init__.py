"""Partial queries: nodes near the shards query them and merge records."""
