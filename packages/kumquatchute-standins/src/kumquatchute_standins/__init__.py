"""Test doubles of the platform and the searchers, the demo and the soak."""
