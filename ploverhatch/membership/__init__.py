"""Membership of a cell: its voters, and the founding of a new epoch."""
