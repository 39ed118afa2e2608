"""State and rules that live for one flow or one connection."""
