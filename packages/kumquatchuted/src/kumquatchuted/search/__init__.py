"""Search queries: planning, hedged attempts, retries and merging."""
