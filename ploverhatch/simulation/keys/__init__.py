"""Simulation of the assignment of keys by leaders, with servers and a store."""
