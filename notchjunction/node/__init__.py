"""Wiring, start and shutdown of one node process."""
