"""Configuration of a node: reading, typed settings, and validation."""
