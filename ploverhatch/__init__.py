"""Ploverhatch: a router for back ends that own keys exclusively."""

__version__ = "0.1.0"
