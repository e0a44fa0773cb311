"""Adapter to the platform: its wire format, settings file and metadata store.

The gateway does not depend on the platform's names: it uses interfaces that this package
implements.
"""
