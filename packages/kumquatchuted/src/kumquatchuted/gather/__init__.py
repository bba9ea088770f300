"""Queries over all shards of a route."""
