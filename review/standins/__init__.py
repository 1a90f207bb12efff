"""Stand-ins for the platform, discovery, servers, clients and the network; standard library only."""
