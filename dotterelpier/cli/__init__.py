"""Command line: parses arguments, runs commands and prints their results."""
