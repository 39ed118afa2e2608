"""State and rules with the lifetime of a request."""
