"""Typed settings read from TOML files."""
