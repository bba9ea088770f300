"""Shares of limits that all nodes have to keep together."""
