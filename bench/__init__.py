"""Measurements over the stand-ins."""
