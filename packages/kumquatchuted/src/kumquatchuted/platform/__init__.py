"""Clients and codecs for the users' platform."""
