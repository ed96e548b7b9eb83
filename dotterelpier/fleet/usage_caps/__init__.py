"""Usage caps of client accounts over all entries.

The home of an account counts its requests; the other entries ask it for grants. All
modules but ``service`` decide without network, threads or clocks: time is a parameter,
in seconds on the monotonic clock.
"""
