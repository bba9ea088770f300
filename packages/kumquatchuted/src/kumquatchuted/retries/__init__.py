"""Allowance for requests that are sent a second time."""
