"""Stand-ins for the store, backend servers and clients, used by the scripts here."""
