"""Relays for feeds under test."""


class NoRelay:
    """Nobody tells anything."""

    first_wait_s = 0.0
    leads = False
    store_unavailable = False

    def __init__(self):
        self.told = []

    def covered_until_ms(self, kind, cursor):
        return float("-inf")

    def watch_wait_s(self, kind):
        return 25.0

    def publish_changes(self, kind, base, through_revision, changes):
        self.told.append((kind, base, through_revision, changes))

    def await_leader(self):
        pass

    def should_ask_leader(self, kind, cursor):
        return False

    def fetch(self, kind):
        return None

    def valid_until_ms(self, current_ms):
        return current_ms
