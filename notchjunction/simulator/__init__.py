"""The host side of the simulator's line protocol. The balancer makes all decisions."""
