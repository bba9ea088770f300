"""Membership, leases and ownership of searchers."""
