"""Whether requests may be sent to a server after notices, entries and starts in any order.

The result is compared with a simple model.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ploverhatch.routing.sending import Exclusion, HolderGracePeriods, find_exclusion
from ploverhatch.state.incarnations import incarnation_id
from ploverhatch.state.server_notices import LEAVING_MEMORY_MS, MAX_BACKOFF_MS, ServerNotice
from ploverhatch.state.servers import ServerRecord, ServerSet

FIRST_START_MS = 1_764_700_000_000
GRACE_PERIODS = HolderGracePeriods.of(drain_ms=2000.0, evacuate_ms=5000.0)
NAMES = st.sampled_from(["i-1", "i-2", "i-3"])


class Servers(RuleBasedStateMachine):
    """Servers that send notices; the model keeps when each incarnation sent them."""

    def __init__(self):
        super().__init__()
        self.servers = ServerSet()
        self.now_ms = 0.0
        self.starts = 0
        self.incarnation = {}  # by registered name; absent: no entry
        self.draining = {}  # by incarnation
        self.announced_ms = {}
        self.backoff_until_ms = {}

    def _record(self, name, draining):
        return ServerRecord(self.incarnation[name], "svc", "10.0.0.1", 9000, "z1", 2, draining)

    @rule(name=NAMES)
    def start(self, name):
        """Start a server for the first time, or again."""
        self.starts += 1
        self.incarnation[name] = incarnation_id(name, FIRST_START_MS + self.starts)
        self.draining[self.incarnation[name]] = False
        self.servers.put(self._record(name, False), self.now_ms)

    @rule(name=NAMES, draining=st.booleans())
    def write_entry(self, name, draining):
        if name in self.incarnation:
            incarnation = self.incarnation[name]
            draining = self.draining[incarnation] or draining
            self.draining[incarnation] = draining
            self.servers.put(self._record(name, draining), self.now_ms)

    @rule(name=NAMES)
    def remove(self, name):
        if name in self.incarnation:
            incarnation = self.incarnation.pop(name)
            self.announced_ms.pop(incarnation, None)
            self.backoff_until_ms.pop(incarnation, None)
            self.servers.remove(name, self.now_ms)

    @rule()
    def list_all(self):
        records = [
            self._record(name, self.draining[incarnation])
            for name, incarnation in self.incarnation.items()
        ]
        self.servers.replace_all(records, self.now_ms)

    @rule(name=NAMES)
    def announce_leaving(self, name):
        if name in self.incarnation:
            self.servers.apply_notice(
                self.incarnation[name], ServerNotice(leaving=True), self.now_ms
            )
            self.announced_ms.setdefault(self.incarnation[name], self.now_ms)

    @rule(name=NAMES, age_ms=st.floats(min_value=0.0, max_value=LEAVING_MEMORY_MS))
    def report_leaving(self, name, age_ms):
        if name in self.incarnation:
            since_ms = self.now_ms - age_ms
            self.servers.note_reported_leaving(self.incarnation[name], since_ms, self.now_ms)
            known_ms = self.announced_ms.get(self.incarnation[name], since_ms)
            self.announced_ms[self.incarnation[name]] = min(known_ms, since_ms)

    @rule(name=NAMES, backoff_ms=st.floats(min_value=1.0, max_value=2 * MAX_BACKOFF_MS))
    def ask_for_backoff(self, name, backoff_ms):
        if name in self.incarnation:
            incarnation = self.incarnation[name]
            self.servers.apply_notice(incarnation, ServerNotice(backoff_ms=backoff_ms), self.now_ms)
            until_ms = self.now_ms + min(backoff_ms, MAX_BACKOFF_MS)
            self.backoff_until_ms[incarnation] = max(
                until_ms, self.backoff_until_ms.get(incarnation, 0.0)
            )

    @rule(span_ms=st.one_of(st.floats(0.0, 3000.0), st.floats(0.0, LEAVING_MEMORY_MS)))
    def wait(self, span_ms):
        self.now_ms += span_ms
        self.servers.expire(self.now_ms)
        for incarnation, announced_ms in list(self.announced_ms.items()):
            if self.now_ms - announced_ms > LEAVING_MEMORY_MS:
                del self.announced_ms[incarnation]

    def _exclusions(self, incarnation):
        return [
            find_exclusion(self.servers, incarnation, keyed, (), GRACE_PERIODS, self.now_ms)
            for keyed in (False, True)
        ]

    @invariant()
    def notices_are_in_force(self):
        for incarnation in self.incarnation.values():
            plain, keyed = self._exclusions(incarnation)
            if self.now_ms < self.backoff_until_ms.get(incarnation, 0.0):
                assert (plain, keyed) == (Exclusion.RESTS, Exclusion.RESTS)
                continue
            announced_ms = self.announced_ms.get(incarnation)
            leaving = announced_ms is not None or self.draining[incarnation]
            assert (plain is Exclusion.LEAVES) == leaving
            if announced_ms is not None and self.now_ms - announced_ms > GRACE_PERIODS.announced_ms:
                assert keyed is Exclusion.LEAVES
            if not leaving:
                assert keyed is None

    @invariant()
    def nothing_is_sent_to_an_earlier_incarnation(self):
        present = set(self.incarnation.values())
        for incarnation in self.draining.keys() - present:
            assert self._exclusions(incarnation) == [Exclusion.GONE, Exclusion.GONE]
        assert set(self.servers.records) == present


TestServers = Servers.TestCase
TestServers.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
