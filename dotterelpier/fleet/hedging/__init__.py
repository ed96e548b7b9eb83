"""Hedged requests within a limit that operators set."""
