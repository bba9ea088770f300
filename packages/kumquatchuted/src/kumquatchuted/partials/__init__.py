"""Parts of a query that nodes near the shards gather and merge."""
