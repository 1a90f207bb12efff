"""One node process: its components, start and shutdown."""
