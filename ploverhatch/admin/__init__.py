"""The administration API of a node."""
