"""Summarises the days that were played on the users' bench."""
