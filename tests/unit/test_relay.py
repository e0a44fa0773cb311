"""The leader's relay: coverage, updates, and a model with lost and reordered messages."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec.structs import replace

from ploverhatch.gateway.feeds import Feed, FeedTask
from ploverhatch.relay import coverage, publisher
from ploverhatch.relay.coverage import Coverage, Cursor
from ploverhatch.relay.messages import Beacon, Claim, RelayedChange, RelayedUpdate
from ploverhatch.relay.publisher import FeedView, Term

KIND = "kind"
LIMIT_MS = 1000.0


def beacon(through_revision, age_ms=0.0, lease=1, sent_ms=0.0):
    return Beacon(lease, age_ms, {KIND: Claim(through_revision, age_ms)}, sent_ms)


@pytest.mark.parametrize(
    ("claimed", "age_ms", "cursor", "until_ms"),
    [
        (7, 0.0, 7, 1000.0),
        (7, 400.0, 7, 600.0),
        (7, 0.0, 9, 1000.0),  # the node has read later changes from the store
        (7, 0.0, 6, float("-inf")),  # a relayed change was lost
        (7, 5000.0, 7, -4000.0),
    ],
)
def test_coverage_ends_when_the_leaders_view_is_old(claimed, age_ms, cursor, until_ms):
    state = coverage.apply_beacon(Coverage(LIMIT_MS), beacon(claimed, age_ms))
    assert coverage.covered_until_ms(state, KIND, cursor) == until_ms


def test_a_kind_that_is_not_claimed_is_not_covered():
    state = coverage.apply_beacon(Coverage(LIMIT_MS), beacon(7))
    state = coverage.apply_beacon(state, Beacon(1, 0.0, {}, 10.0))
    assert coverage.covered_until_ms(state, KIND, 9) == float("-inf")


def test_a_beacon_of_an_earlier_leader_changes_nothing():
    state = coverage.apply_beacon(Coverage(LIMIT_MS), beacon(7, lease=5))
    assert coverage.apply_beacon(state, beacon(9, lease=4)) is state


def test_a_beacon_that_was_held_up_is_as_old_as_it_is():
    state = coverage.apply_beacon(Coverage(LIMIT_MS), beacon(7, sent_ms=500.0))
    assert coverage.covered_until_ms(state, KIND, 7) == 1500.0
    unknown = coverage.apply_beacon(Coverage(LIMIT_MS), Beacon(1, 0.0, {KIND: Claim(7, 0.0)}))
    assert coverage.covered_until_ms(unknown, KIND, 7) == float("-inf")


FOLLOWS = {
    "the next": (Cursor(5), RelayedUpdate(KIND, 5, 6, []), True),
    "overlapping": (Cursor(5), RelayedUpdate(KIND, 3, 6, []), True),
    "known": (Cursor(5), RelayedUpdate(KIND, 3, 5, []), False),
    "a gap": (Cursor(5), RelayedUpdate(KIND, 6, 7, []), False),
    "nothing known": (Cursor(), RelayedUpdate(KIND, -1, 7, []), False),
    "second part first": (Cursor(5), RelayedUpdate(KIND, 5, 6, [], 1, 2), False),
    "second part": (
        Cursor(5, RelayedUpdate(KIND, 5, 6, [], 0, 2)),
        RelayedUpdate(KIND, 5, 6, [], 1, 2),
        True,
    ),
    "part of another": (
        Cursor(5, RelayedUpdate(KIND, 4, 6, [], 0, 2)),
        RelayedUpdate(KIND, 5, 6, [], 1, 2),
        False,
    ),
    "a part is missing": (
        Cursor(5, RelayedUpdate(KIND, 5, 6, [], 0, 3)),
        RelayedUpdate(KIND, 5, 6, [], 2, 3),
        False,
    ),
}


@pytest.mark.parametrize(("cursor", "update", "expected"), FOLLOWS.values(), ids=FOLLOWS.keys())
def test_only_an_update_without_a_gap_follows(cursor, update, expected):
    assert coverage.follows(cursor, update) is expected


def test_the_cursor_moves_with_the_last_part():
    first, last = RelayedUpdate(KIND, 5, 8, [], 0, 2), RelayedUpdate(KIND, 5, 8, [], 1, 2)
    cursor = coverage.advanced(Cursor(5), first)
    assert cursor.revision == 5
    assert coverage.advanced(cursor, last) == Cursor(8)


@pytest.mark.parametrize(
    ("answered_ms", "empty", "expected"),
    [
        (500.0, True, 500.0),  # the whole wait passed without a change
        (4000.0, True, 500.0),  # the answer was read late, after the process was suspended
        (300.0, True, 100.0),  # the wait was cut short
        (300.0, False, 100.0),
        (4000.0, False, 100.0),
    ],
)
def test_only_an_answer_proves_that_a_view_is_current(answered_ms, empty, expected):
    assert publisher.confirmed_ms(100.0, answered_ms, 400.0, empty) == expected


def test_a_kind_that_has_to_be_listed_is_not_claimed():
    views = {"a": FeedView(4, 900.0), "b": FeedView(-1, 900.0)}
    sent = publisher.beacon(Term(7, 800.0), views, 1000.0)
    assert sent == Beacon(7, 200.0, {"a": Claim(4, 100.0)})


def change(revision):
    return RelayedChange("o", revision, revision)


def test_changes_are_divided_into_messages():
    sized = [(change(number), 40) for number in range(5)]
    parts = publisher.split_changes(KIND, 1, 9, sized, 100)
    assert [len(part.changes) for part in parts] == [2, 2, 1]
    assert [(part.part, part.parts) for part in parts] == [(0, 3), (1, 3), (2, 3)]
    assert publisher.split_changes(KIND, 1, 9, [], 100) == [RelayedUpdate(KIND, 1, 9, [], 0, 1)]


def test_a_change_too_long_for_a_message_leaves_a_gap():
    assert publisher.split_changes(KIND, 1, 9, [(change(2), 10), (change(3), 101)], 100) == []


# A part of an update relayed a server's earlier record again, which replaced the later record of
# the server, by which it drains.
@pytest.mark.parametrize("gone", [False, True])
def test_a_part_of_changes_told_again_leaves_what_came_later(gone):
    taken = {}
    feed = Feed(KIND, lambda items: None, lambda change: taken.update({change.object.name: change}))
    task = FeedTask(None, feed, None, lambda: None)
    task._cursor = Cursor(0)
    task.apply_update(
        RelayedUpdate(KIND, 0, 2, [RelayedChange("b", 1, "ready"), RelayedChange("b", 2, "drains")])
    )
    again = RelayedChange("b", 1, "ready", gone=gone)
    task.apply_update(RelayedUpdate(KIND, 0, 3, [again], part=0, parts=2))
    assert taken["b"].object.spec == "drains" and not taken["b"].gone
    task.apply_update(
        RelayedUpdate(KIND, 0, 3, [RelayedChange("b", 2, "drains", gone=True)], part=1, parts=2)
    )
    assert taken["b"].gone


class RelayedStore(RuleBasedStateMachine):
    """A store, a leader that reads it, and a follower that gets the leader's relay.

    Messages get lost, arrive out of order and arrive twice. Whenever the follower is covered, it
    knows every change that is older than the limit. Its objects are those of its cursor, except
    between the parts of an update. Times are milliseconds.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.history = []  # (revision, time, name, whether it was removed)
        self.leader = 0
        self.confirmed_ms = 0.0
        self.cut = False
        self.in_flight = []
        self.cursor = Cursor(0)
        self.objects = {}
        self.coverage = Coverage(LIMIT_MS)

    @property
    def revision(self):
        return self.history[-1][0] if self.history else 0

    def objects_at(self, revision):
        objects = {}
        for number, _, name, gone in self.history:
            if number <= revision:
                objects.pop(name, None)
                if not gone:
                    objects[name] = number
        return objects

    def changes(self, after):
        return [
            RelayedChange(name, number, number, gone=gone)
            for number, _, name, gone in self.history
            if number > after
        ]

    @rule(name=st.sampled_from("abc"), gone=st.booleans(), step=st.integers(1, 3))
    def store_changes(self, name, gone, step):
        self.history.append((self.revision + step, self.now_ms, name, gone))

    @precondition(lambda self: not self.cut)
    @rule(most=st.integers(1, 3))
    def leader_reads(self, most):
        """The leader's watch returns, and the leader relays the changes."""
        changes = self.changes(self.leader)
        updates = publisher.split_changes(
            KIND, self.leader, self.revision, [(item, 1) for item in changes], most
        )
        self.leader = self.revision
        self.confirmed_ms = self.now_ms
        self.in_flight += updates

    @rule()
    def leader_is_cut_off(self):
        self.cut = True

    @rule()
    def leader_returns(self):
        self.cut = False

    @rule()
    def leader_sends_a_beacon(self):
        views = {KIND: FeedView(self.leader, self.confirmed_ms)}
        sent = publisher.beacon(Term(1, 0.0), views, self.now_ms)
        self.in_flight.append(replace(sent, sent_ms=self.now_ms))

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), lost=st.booleans(), twice=st.booleans())
    def message_arrives(self, data, lost, twice):
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        message = self.in_flight[index] if twice else self.in_flight.pop(index)
        if lost:
            return
        if isinstance(message, Beacon):
            self.coverage = coverage.apply_beacon(self.coverage, message)
        elif coverage.follows(self.cursor, message):
            for item in message.changes:
                self.apply(item)
            self.cursor = coverage.advanced(self.cursor, message)

    def apply(self, item):
        if coverage.is_known(self.cursor, item, self.objects.get(item.name)):
            return
        self.objects.pop(item.name, None)
        if not item.gone:
            self.objects[item.name] = item.revision

    @rule()
    def follower_asks_the_store(self):
        if coverage.covered_until_ms(self.coverage, KIND, self.cursor.revision) <= self.now_ms:
            for item in self.changes(self.cursor.revision):
                self.apply(item)
            self.cursor = Cursor(self.revision)

    @rule(by_ms=st.sampled_from([1.0, 200.0, 900.0, 1100.0]))
    def time_passes(self, by_ms):
        self.now_ms += by_ms

    @invariant()
    def objects_are_those_of_the_cursor(self):
        if self.cursor.pending is None:
            assert self.objects == self.objects_at(self.cursor.revision)

    @invariant()
    def a_covered_follower_misses_nothing_old(self):
        until_ms = coverage.covered_until_ms(self.coverage, KIND, self.cursor.revision)
        if until_ms <= self.now_ms:
            return
        old = [row for row in self.history if row[1] < self.now_ms - LIMIT_MS]
        assert not old or old[-1][0] <= self.cursor.revision


TestRelayedStore = RelayedStore.TestCase
TestRelayedStore.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
