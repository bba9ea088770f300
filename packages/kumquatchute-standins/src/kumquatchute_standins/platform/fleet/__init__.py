"""Emulator of the users' platform: store, searchers, callers, nodes.

Store and searchers speak the published protocols on loopback addresses and
can be disturbed; nodes are real processes.
"""
