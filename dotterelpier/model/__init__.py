"""Immutable data classes that the services exchange."""
