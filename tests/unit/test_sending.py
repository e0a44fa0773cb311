"""What may be sent to a server: any order of words, entries and lives, against a plain model."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ploverhatch.routing.sending import Exclusion, HolderGracePeriods, find_exclusion
from ploverhatch.state.incarnations import incarnation_id
from ploverhatch.state.server_notices import LEAVING_MEMORY_MS, MAX_BACKOFF_MS, ServerNotice
from ploverhatch.state.servers import ServerRecord, ServerSet

BORN = 1_764_700_000_000
TIMES = HolderGracePeriods.of(drain_ms=2000.0, evacuate_ms=5000.0)
NAMES = st.sampled_from(["i-1", "i-2", "i-3"])


class Servers(RuleBasedStateMachine):
    """Servers that say this and that; the model keeps when each life said it."""

    def __init__(self):
        super().__init__()
        self.servers = ServerSet()
        self.now_ms = 0.0
        self.births = 0
        self.life = {}  # by name; none: no entry
        self.draining = {}  # by life
        self.said_ms = {}
        self.rest_until_ms = {}

    def _record(self, name, draining):
        return ServerRecord(self.life[name], "svc", "10.0.0.1", 9000, "z1", 2, draining)

    @rule(name=NAMES)
    def start(self, name):
        """Start for the first time, or again."""
        self.births += 1
        self.life[name] = incarnation_id(name, BORN + self.births)
        self.draining[self.life[name]] = False
        self.servers.put(self._record(name, False), self.now_ms)

    @rule(name=NAMES, draining=st.booleans())
    def write_entry(self, name, draining):
        if name in self.life:
            life = self.life[name]
            draining = self.draining[life] or draining
            self.draining[life] = draining
            self.servers.put(self._record(name, draining), self.now_ms)

    @rule(name=NAMES)
    def remove(self, name):
        if name in self.life:
            life = self.life.pop(name)
            self.said_ms.pop(life, None)
            self.rest_until_ms.pop(life, None)
            self.servers.remove(name, self.now_ms)

    @rule()
    def list_all(self):
        records = [self._record(name, self.draining[life]) for name, life in self.life.items()]
        self.servers.replace_all(records, self.now_ms)

    @rule(name=NAMES)
    def say_leaving(self, name):
        if name in self.life:
            self.servers.apply_notice(self.life[name], ServerNotice(leaving=True), self.now_ms)
            self.said_ms.setdefault(self.life[name], self.now_ms)

    @rule(name=NAMES, age_ms=st.floats(min_value=0.0, max_value=LEAVING_MEMORY_MS))
    def pass_on_leaving(self, name, age_ms):
        if name in self.life:
            since_ms = self.now_ms - age_ms
            self.servers.note_reported_leaving(self.life[name], since_ms, self.now_ms)
            known_ms = self.said_ms.get(self.life[name], since_ms)
            self.said_ms[self.life[name]] = min(known_ms, since_ms)

    @rule(name=NAMES, rest_ms=st.floats(min_value=1.0, max_value=2 * MAX_BACKOFF_MS))
    def ask_for_rest(self, name, rest_ms):
        if name in self.life:
            life = self.life[name]
            self.servers.apply_notice(life, ServerNotice(backoff_ms=rest_ms), self.now_ms)
            until_ms = self.now_ms + min(rest_ms, MAX_BACKOFF_MS)
            self.rest_until_ms[life] = max(until_ms, self.rest_until_ms.get(life, 0.0))

    @rule(span_ms=st.one_of(st.floats(0.0, 3000.0), st.floats(0.0, LEAVING_MEMORY_MS)))
    def wait(self, span_ms):
        self.now_ms += span_ms
        self.servers.expire(self.now_ms)
        for life, said_ms in list(self.said_ms.items()):
            if self.now_ms - said_ms > LEAVING_MEMORY_MS:
                del self.said_ms[life]

    def _bars(self, life):
        return [
            find_exclusion(self.servers, life, keyed, (), TIMES, self.now_ms)
            for keyed in (False, True)
        ]

    @invariant()
    def what_was_said_holds(self):
        for life in self.life.values():
            plain, keyed = self._bars(life)
            if self.now_ms < self.rest_until_ms.get(life, 0.0):
                assert (plain, keyed) == (Exclusion.RESTS, Exclusion.RESTS)
                continue
            said_ms = self.said_ms.get(life)
            leaves = said_ms is not None or self.draining[life]
            assert (plain is Exclusion.LEAVES) == leaves
            if said_ms is not None and self.now_ms - said_ms > TIMES.announced_ms:
                assert keyed is Exclusion.LEAVES
            if not leaves:
                assert keyed is None

    @invariant()
    def nothing_goes_to_a_life_that_is_over(self):
        present = set(self.life.values())
        for life in self.draining.keys() - present:
            assert self._bars(life) == [Exclusion.GONE, Exclusion.GONE]
        assert set(self.servers.records) == present


TestServers = Servers.TestCase
TestServers.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
