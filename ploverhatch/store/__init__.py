"""Interfaces of the object stores, and a client of the platform's object store and machine list."""
