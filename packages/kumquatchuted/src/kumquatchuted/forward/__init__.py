"""Requests for one searcher of a service."""
