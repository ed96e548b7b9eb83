"""Services of an entry that reads routes and backend servers from the platform's store.

Each entry sends requests directly to the backend servers. Whatever the entries must
agree on is in the store or computed from its contents.
"""
