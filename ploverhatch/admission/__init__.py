"""Admission of requests to servers' slots, shared by all nodes."""
