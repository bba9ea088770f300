"""A small site of real processes, for the demo and for process tests."""
