"""Stand-ins of the platform, backend servers and clients for the cases 6 to 10."""
