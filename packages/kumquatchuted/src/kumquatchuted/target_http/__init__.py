"""HTTP client for searchers."""
