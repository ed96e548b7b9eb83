"""Adapter to the users' platform; only this package uses its header and key names."""
