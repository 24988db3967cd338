"""A soak: real processes on loopback under random troubles, with invariants checked."""
