"""Preconditions of writes, closes and starts, and run-time invariants of requests. No I/O and no clock."""
