"""Quarantine of requests that crash the servers that run them."""
