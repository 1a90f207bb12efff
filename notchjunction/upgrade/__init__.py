"""Handover from one process of a node to the next, and graceful shutdown."""
