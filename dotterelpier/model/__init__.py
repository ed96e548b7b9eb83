"""Data classes shared by all services."""
