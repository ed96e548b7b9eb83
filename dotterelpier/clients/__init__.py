"""Clients of the platform, of backend servers and of other entries."""
