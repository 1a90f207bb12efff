"""The node on sockets: callers, servers and discovery. No decision is taken here."""
