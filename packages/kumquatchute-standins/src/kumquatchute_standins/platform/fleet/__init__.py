"""Emulator of the users' platform: store, searchers, callers and nodes.

Store and searchers speak the published protocols on loopback addresses, with
faults that can be injected. Nodes are real processes.
"""
