"""Services of an entry, found by name through the kernel."""
