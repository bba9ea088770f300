"""Runs described days on emulated deployments of the users' platform."""
