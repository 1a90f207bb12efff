"""The node's connections to clients, upstreams and discovery. Decisions are made in other packages."""
