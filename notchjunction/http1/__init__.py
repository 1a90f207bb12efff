"""Parses and encodes HTTP/1.1 messages; does no input or output itself."""
