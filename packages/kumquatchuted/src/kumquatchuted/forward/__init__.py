"""Requests to one searcher of a service."""
