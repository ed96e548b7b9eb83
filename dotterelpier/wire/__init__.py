"""Encoding and decoding of messages, rows and files; nothing else does either."""
