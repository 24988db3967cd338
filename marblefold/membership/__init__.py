"""Membership of the mesh: failure detection between nodes by UDP datagrams."""
