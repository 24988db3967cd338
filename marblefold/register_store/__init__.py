"""Replicated registers: stores that agree on values by ballots and keep them on disk."""
