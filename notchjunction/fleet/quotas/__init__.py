"""Quotas for the whole fleet: each unit is owned by one node, which can lend it to others for a time."""
