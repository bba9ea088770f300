"""Runs the query tier on the users' platform."""
