"""Ownership of slices by servers: placement, grants and leases."""
