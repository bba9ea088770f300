"""Shard maps and live searchers, as the platform lists them."""
