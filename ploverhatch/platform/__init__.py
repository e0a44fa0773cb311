"""Adapter of the platform: its wire format, settings file and metadata store.

No other package knows the platform's names.
"""
