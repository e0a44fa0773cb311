"""Simulation of leaders, servers and the store that share out keys."""
