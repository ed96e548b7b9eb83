"""Clients for the platform, backend servers and other entries."""
