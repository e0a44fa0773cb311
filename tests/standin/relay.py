"""Relays for feeds under test."""


class NoRelay:
    """Nobody tells anything."""

    first_wait_s = 0.0

    def __init__(self):
        self.told = []

    def covered_until_ms(self, kind, cursor):
        return float("-inf")

    def watch_wait_s(self, kind):
        return 25.0

    def read(self, kind, base, reached, changes):
        self.told.append((kind, base, reached, changes))
