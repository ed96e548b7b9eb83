"""Services of an entry that finds routes and backend servers in the platform's store.

Every entry sends straight to the backend servers; what entries must agree on is in the
store or follows from it.
"""
