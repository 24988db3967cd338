"""Explores interleavings of the real acceptor and proposer by breadth-first search."""
