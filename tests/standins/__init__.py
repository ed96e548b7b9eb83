"""Stand-ins for the services around an entry: platform, row store, backend servers."""
