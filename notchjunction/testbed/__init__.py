"""Stand-ins on loopback that play a scenario against real node processes; the node never imports it."""
