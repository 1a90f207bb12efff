"""A world in virtual time that hosts the real decisions, for experiments; the node never imports it."""
