"""Admission of new passthrough flows: gate, queue, and what is refused."""
