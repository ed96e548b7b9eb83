"""Randomized fault soak: real entries as processes, faults from outside them.

It reuses the stand-ins of the tests, and checks what callers and backend servers see.
"""
