"""Services of an entry, which find each other by name through the kernel."""
