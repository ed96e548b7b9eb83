"""Randomized fault injection against real entry processes.

The soak injects faults from outside the entries, reuses the stand-ins of the tests, and
checks what callers and backend servers observe.
"""
