"""State and rules with the lifetime of a flow or a connection."""
