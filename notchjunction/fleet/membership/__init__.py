"""Membership of the fleet: which nodes are alive, determined with SWIM's probes, gossip and digests."""
