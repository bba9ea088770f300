"""Connections to searchers, load balancing and the state of attempts."""
