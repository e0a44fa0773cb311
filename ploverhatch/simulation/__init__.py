"""Simulation of the decision code in virtual time, on a simulated network."""
