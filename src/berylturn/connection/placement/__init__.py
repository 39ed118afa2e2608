"""Placement of new passthrough flows: load, measured work, and choice of an agent."""
