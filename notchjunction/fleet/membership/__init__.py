"""Membership of the fleet: which nodes there are, found out by SWIM's probes, gossip and digests."""
