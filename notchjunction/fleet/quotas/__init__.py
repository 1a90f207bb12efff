"""Quotas that hold for the whole fleet: each unit is owned by one node, and lent to others for a time."""
