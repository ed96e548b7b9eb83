"""Small stand-ins for what surrounds an entry."""
