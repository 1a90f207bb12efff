"""A randomized soak test of real node processes under overlapping faults, checked against invariants."""
