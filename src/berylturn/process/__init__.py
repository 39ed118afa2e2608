"""State and rules that live for one process."""
