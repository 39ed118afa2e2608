"""State and rules that live for one request."""
