"""Tests of berylturn."""
