"""State and logic whose lifetime is one process."""
