"""A soak test: real processes on loopback under random faults, with invariants checked."""
