"""Stand-in of a relay, for tests of feeds."""


class NoRelay:
    """A relay without a leader, which records the changes that a feed publishes."""

    first_wait_s = 0.0
    leads = False
    store_unavailable = False

    def __init__(self):
        self.published = []

    def covered_until_ms(self, kind, cursor):
        return float("-inf")

    def watch_wait_s(self, kind):
        return 25.0

    def publish_changes(self, kind, base, through_revision, changes):
        self.published.append((kind, base, through_revision, changes))

    def await_leader(self):
        pass

    def should_ask_leader(self, kind, cursor):
        return False

    def fetch(self, kind):
        return None

    def valid_until_ms(self, current_ms):
        return current_ms
