"""Connections to searchers, their load and the choice among them."""
