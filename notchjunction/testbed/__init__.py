"""Fake clients, servers and discovery on loopback for real node processes; the node never imports it."""
