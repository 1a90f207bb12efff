"""An emulator that runs the real balancer in virtual time, for experiments; the node never imports it."""
