"""Recovery of passthrough flows: what reports prove, and the search for owners."""
