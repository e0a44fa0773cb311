"""Adapter to the platform: its wire format, settings file and metadata store.

No other package uses the field names and paths of these formats.
"""
