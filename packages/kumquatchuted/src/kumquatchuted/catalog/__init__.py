"""Shard maps and searchers in use, as the platform lists them."""
