"""The settings as types, and what is wrong with a configuration."""
