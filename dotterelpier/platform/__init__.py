"""Adapter to the users' platform; nothing outside it knows the platform's names."""
