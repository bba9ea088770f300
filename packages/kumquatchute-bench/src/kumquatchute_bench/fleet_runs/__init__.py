"""Plays days of one's own on emulated deployments of the users' platform."""
