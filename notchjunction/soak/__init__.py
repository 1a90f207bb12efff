"""A randomized fault soak: real node processes, overlapping faults, and invariants as the oracle."""
