"""The decision code under virtual time and a simulated network."""
