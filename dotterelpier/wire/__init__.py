"""Codecs of messages, rows and files; no other package encodes or decodes them."""
