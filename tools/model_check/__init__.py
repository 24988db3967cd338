"""Explores interleavings of the real acceptor and proposer, breadth first."""
