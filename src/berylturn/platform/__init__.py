"""Adapter for the users' platform: names, formats and calls, but no decisions."""
