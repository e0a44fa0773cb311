"""Emulators of the platform and the back ends."""
