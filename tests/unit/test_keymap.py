"""Key maps: every key is in exactly one range, and tokens only rise."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ploverhatch.gateway.keymap_codec import decode_keymap, encode_keymap
from ploverhatch.sharding.keymap import (
    KEY_COUNT,
    LAST_KEY,
    Holder,
    KeyMap,
    Move,
    begin_moves,
    first_assignment,
    merge_neighbours,
    settle,
)
from ploverhatch.sharding.messages import range_id
from ploverhatch.sharding.planner import Candidate, initial_pieces
from ploverhatch.store.objects import VersionedObject

HOLDERS = [Holder(f"s{number}", "10.0.0.1", 9000 + number) for number in range(4)]
KEYS = st.integers(0, LAST_KEY)


class KeyMapMachine(RuleBasedStateMachine):
    @initialize(slots=st.lists(st.integers(1, 4), min_size=1, max_size=4))
    def assign_all(self, slots):
        candidates = [
            Candidate(holder, slot, 100.0) for holder, slot in zip(HOLDERS, slots, strict=False)
        ]
        self.map = first_assignment(KeyMap("svc"), initial_pieces(candidates))
        self.tokens = {key: 0 for key in range(0, KEY_COUNT, 1021)}
        self.holders = {}

    @rule(first=KEYS, width=st.integers(0, 9000), receiver=st.sampled_from(HOLDERS))
    def move(self, first, width, receiver):
        before = self.map
        last = min(first + width, LAST_KEY)
        self.map = begin_moves(before, [Move(first, last, receiver)])
        for key in (first, last, (first + last) // 2):
            item = self.map.find(key)
            assert item.holder == receiver
            assert item.token == self.map.token > before.token
            earlier = before.find(key)
            former = {holder.server_id for holder in (earlier.holder, *earlier.previous)}
            assert former - {receiver.server_id} <= {h.server_id for h in item.previous}

    @rule(part=st.integers(0, 3))
    def settle_some(self, part):
        self.map = merge_neighbours(settle(self.map, lambda item: item.token % 4 >= part))

    @rule()
    def store_and_read(self):
        item = VersionedObject("svc", 7, encode_keymap(self.map))
        read = decode_keymap(item)
        assert read.ranges == self.map.ranges
        assert (read.token, read.revision, read.service) == (self.map.token, 7, "svc")

    @invariant()
    def covers_all_keys_in_order(self):
        position = 0
        for item in self.map.ranges:
            assert item.first == position <= item.last
            assert item.token <= self.map.token
            position = item.last + 1
        assert position == KEY_COUNT

    @invariant()
    def tokens_of_a_key_never_fall(self):
        for key, token in self.tokens.items():
            item = self.map.find(key)
            assert item.token >= token
            if self.holders.get(key, item.holder) != item.holder:
                assert item.token > token
            self.tokens[key] = item.token
            self.holders[key] = item.holder


TestKeyMap = KeyMapMachine.TestCase
TestKeyMap.settings = settings(max_examples=60, stateful_step_count=20, deadline=None)


def test_find_without_ranges():
    assert KeyMap("svc").find(5) is None


def test_settled_ranges_forget_their_previous_holders():
    keymap = first_assignment(KeyMap("svc"), [Move(0, LAST_KEY, HOLDERS[0])])
    keymap = begin_moves(keymap, [Move(10, 20, HOLDERS[1])])
    name = range_id("svc", keymap.find(15))
    keymap = settle(keymap, lambda item: range_id("svc", item) == name)
    assert keymap.find(15).settled
    assert keymap.find(15).previous == ()
    assert not keymap.find(9).settled
