"""Key maps that the store carries out late, after the next leader has read the one before."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.gateway import keymap_codec
from ploverhatch.sharding.holders import LeaseTiming
from ploverhatch.sharding.keymap import (
    Holder,
    KeyMap,
    Move,
    begin_moves,
    first_assignment,
    merge_neighbours,
    settle,
)
from ploverhatch.sharding.leader_core import LeaderCore
from ploverhatch.sharding.messages import (
    CallOutcome,
    SendGrant,
    SendRelease,
    ServiceView,
    StoreMap,
    range_id,
)
from ploverhatch.sharding.standbys import assign_standbys, with_known_holders
from ploverhatch.sharding.view import unused_from_ms
from ploverhatch.state.servers import ServerRecord
from ploverhatch.store.objects import VersionedObject

SERVICE = "svc"
COUNT = 4
RENEWABLE_MS = 5000.0  # until then the earlier leader may make grants


def holder(number):
    return Holder(f"s{number}", "10.0.0.1", 9000 + number)


def view(*leaving):
    records = [
        ServerRecord(f"s{n}", SERVICE, "10.0.0.1", 9000 + n, "zone", 2, n in leaving)
        for n in range(COUNT)
    ]
    return {SERVICE: ServiceView(records, {}, {})}


def of_kind(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def new_grants(actions):
    return [grant for grant in of_kind(actions, SendGrant) if not grant.renewal]


def assigned():
    """Return a settled map with standbys, as an earlier leader has stored it."""
    width = 65536 // COUNT
    pieces = [Move(n * width, (n + 1) * width - 1, holder(n)) for n in range(COUNT)]
    keymap = settle(first_assignment(KeyMap(SERVICE), pieces), lambda item: True)
    holders = [holder(n) for n in range(COUNT)]
    return replace(assign_standbys(keymap, keymap, holders), revision=1, writer="earlier")


def late_map():
    """Return the map that moves the keys of s0 to s2, while their standby is s1."""
    keymap = begin_moves(assigned(), [Move(0, assigned().find(0).last, holder(2))])
    holders = [holder(n) for n in range(1, COUNT)]
    return replace(assign_standbys(keymap, assigned(), holders), revision=2)


def next_leader():
    """Return the core of the next leader, which has read the map before the late one."""
    core = LeaderCore(writer="next")
    core.inherit(assigned(), RENEWABLE_MS, 0.0, same_incarnations=False)
    return core


def grant_of(call):
    return call.holder, call.range_id, call.renewal


def stored(core, now_ms, revision):
    (action,) = of_kind(core.tick(now_ms, view(0), True), StoreMap)
    core.map_stored(action.keymap, revision, now_ms)
    return action.keymap


# Guards against a grant of keys that a standby holds, which the leader before had promoted.
def test_keys_of_a_late_map_wait_for_the_standbys_that_its_leader_may_have_promoted():
    core = next_leader()
    leaving = assigned().find(0)
    standby = leaving.standby.holder
    core.map_seen(late_map(), 100.0)
    ranges = [item for item in stored(core, 150.0, 3).ranges if item.last <= leaving.last]
    elsewhere = [item for item in ranges if item.holder != standby]
    assert elsewhere
    actions = core.tick(200.0, view(0), True)
    assert new_grants(actions) == []
    asked = {call.range_id for call in of_kind(actions, SendRelease) if call.holder == standby}
    assert asked >= {range_id(SERVICE, item) for item in elsewhere}


# Guards against a grant of keys that a standby of the late map itself holds, whose leader learned
# that it was stored.
def test_keys_of_a_late_map_wait_for_its_own_standbys():
    core = next_leader()
    late = late_map()
    core.map_seen(late, 100.0)
    assert all(not item.standbys for item in core.keymap(SERVICE).ranges)
    ranges = stored(core, 150.0, 3).ranges
    releases = of_kind(core.tick(200.0, view(0), True), SendRelease)
    asked = {(call.range_id, call.holder) for call in releases}
    for item in ranges:
        standby = late.find(item.first).standby.holder
        assert standby == item.holder or (range_id(SERVICE, item), standby) in asked


# Guards against a grant at the token of a late map, whose leader may have granted it to an earlier
# incarnation of the server.
def test_no_keys_are_granted_at_the_tokens_of_a_late_map():
    core = next_leader()
    core.map_seen(late_map(), 100.0)
    tokens = {item.token for item in late_map().ranges}
    for now_ms in (150.0, 6000.0, 60_000.0):
        actions = core.tick(now_ms, view(0), False)
        for call in of_kind(actions, SendRelease):
            actions += core.release_ended(call, CallOutcome.DONE, "", now_ms)
        sent = [call for call in of_kind(actions, SendGrant) if core.may_send(*grant_of(call))]
        assert not tokens & {call.range_id.token for call in sent}


# Guards against a grant while a server that only the late map names has a lease of its leader.
def test_a_server_that_only_the_late_map_names_is_waited_for_until_earlier_leases_are_over():
    core = next_leader()
    only_late = Holder("s9", "10.0.0.1", 9009)
    late = begin_moves(assigned(), [Move(0, 100, only_late)])
    core.map_seen(replace(late, revision=2), 100.0)
    stored(core, 150.0, 3)
    actions = core.tick(200.0, view(0), True)
    for call in of_kind(actions, SendRelease):
        outcome = CallOutcome.NO_ANSWER if call.holder == only_late else CallOutcome.DONE
        actions += core.release_ended(call, outcome, "", 210.0)
    expired_ms = LeaseTiming().expiry_ms(RENEWABLE_MS)
    assert expired_ms > unused_from_ms(200.0)
    actions += core.tick(expired_ms - 1.0, view(0), False)
    assert all(grant.range_id.first > 100 for grant in new_grants(actions))
    granted = new_grants(core.tick(expired_ms, view(0), False))
    assert [grant.range_id.first for grant in granted] == [0]


# Guards against releases, and waits of up to a lease, for an answer of the store that was lost.
def test_an_own_map_that_is_read_back_adds_no_former_standbys():
    core = next_leader()
    first = stored(core, 100.0, 2)
    (action,) = of_kind(core.tick(2000.0, view(0, 1), True), StoreMap)
    core.map_not_stored(SERVICE)
    assert not core.map_seen(replace(action.keymap, revision=3), 2100.0)
    known = core.keymap(SERVICE)
    assert known.ranges == action.keymap.ranges
    named = {item.former_standbys for item in known.ranges}
    assert named <= {item.former_standbys for item in first.ranges}
    core.tick(3500.0, view(0, 1, 2), False, store_unavailable=True)
    assert core.promoted(SERVICE)  # it is known to be stored, and by whom


# Guards against asking a server again that was replaced by another one, and waiting for it.
def test_a_server_that_has_stopped_is_not_asked_again_because_of_a_late_map():
    core = next_leader()
    standby = assigned().find(0).standby.holder
    first = next(item for item in assigned().ranges if item.standby.holder == standby)
    call = SendRelease(standby, range_id(SERVICE, first))
    core.release_ended(call, CallOutcome.OTHER_INSTANCE, "", 60.0)
    core.map_seen(late_map(), 100.0)
    stored(core, 150.0, 3)
    releases = of_kind(core.tick(200.0, view(0), True), SendRelease)
    assert releases
    assert standby not in {call.holder for call in releases}


# Guards against keys that nobody is granted, since the leader has no transfers for a map that it
# did not find at the start of its term.
def test_keys_of_a_first_map_that_is_stored_after_the_listing_are_granted():
    core = LeaderCore(writer="next")
    core.note_renewable(RENEWABLE_MS)
    pieces = [Move(0, 32767, holder(0)), Move(32768, 65535, holder(1))]
    first = first_assignment(KeyMap(SERVICE), pieces)
    core.map_seen(replace(first, revision=1, writer="earlier"), 100.0)
    granted = set()
    for step in range(40):
        now_ms = 150.0 + 50.0 * step
        actions = core.tick(now_ms, view(), True)
        for action in actions:
            if isinstance(action, StoreMap):
                core.map_stored(action.keymap, 2 + step, now_ms)
            elif isinstance(action, SendRelease):
                actions += core.release_ended(action, CallOutcome.DONE, "", now_ms)
            elif isinstance(action, SendGrant):
                granted.add((action.range_id.first, action.range_id.last, action.holder))
                actions += core.grant_ended(action, CallOutcome.DONE, now_ms)
    assert granted >= {(0, 32767, holder(0)), (32768, 65535, holder(1))}


# Guards against a late map that hides that maps were lost in a restore of the store, by which any
# server may hold any key.
def test_a_first_map_that_is_met_after_a_restore_is_revoked_everywhere():
    core = LeaderCore(writer="next")
    core.invalidate_missing(RENEWABLE_MS)
    first = first_assignment(KeyMap(SERVICE), [Move(0, 65535, holder(0))])
    core.map_seen(replace(first, revision=1, writer="earlier"), 100.0)
    (item,) = stored(core, 150.0, 2).ranges
    assert {item.holder, *item.previous} == {holder(n) for n in range(COUNT)}
    asked = {call.holder for call in of_kind(core.tick(200.0, view(0), True), SendRelease)}
    assert asked == set(item.previous)


def test_the_writer_of_a_map_is_stored_with_it():
    content = keymap_codec.encode_keymap(late_map())
    assert content["writer"] == "earlier"
    assert keymap_codec.decode_keymap(VersionedObject(SERVICE, 2, content)) == late_map()
    del content["writer"]  # as an earlier version of the program wrote it
    known = keymap_codec.decode_keymap(VersionedObject(SERVICE, 2, content))
    assert known == replace(late_map(), writer="")


MOVES = st.lists(
    st.tuples(st.integers(0, 65535), st.integers(0, 65535), st.integers(0, COUNT - 1)), max_size=5
)


def moved(keymap, drawn, keep_standbys):
    moves = [Move(min(one, other), max(one, other), holder(to)) for one, other, to in drawn]
    keymap = begin_moves(keymap, moves)
    if not keep_standbys:
        ranges = tuple(replace(item, standbys=()) for item in keymap.ranges)
        keymap = replace(keymap, ranges=ranges)
    return merge_neighbours(settle(keymap, lambda item: item.token % 2 == 0))


def possible(keymap, key):
    return set(keymap.find(key).possible_holders)


# Guards against an adopted map that replaces what is known of holders, however it divides the keys.
@given(
    MOVES,
    MOVES,
    st.booleans(),
    st.sets(st.integers(0, COUNT - 1)),
    st.lists(st.integers(0, 65535), min_size=1, max_size=8),
)
def test_no_possible_holder_is_forgotten_when_a_late_map_is_adopted(
    before, late, keep, candidates, keys
):
    known = moved(assigned(), before, True)
    core = LeaderCore(writer="next")
    core.inherit(known, RENEWABLE_MS, 0.0, same_incarnations=False)
    adopted = moved(known, late, keep)
    if candidates:
        adopted = assign_standbys(adopted, known, [holder(number) for number in sorted(candidates)])
    adopted = replace(adopted, revision=2)
    assert core.map_seen(adopted, 100.0)
    result = core.keymap(SERVICE)
    for key in keys:
        item = result.find(key)
        assert possible(result, key) >= possible(known, key) | possible(adopted, key)
        assert item.holder == adopted.find(key).holder
        assert item.holder not in (*item.previous, *item.former_standbys)
        assert len(set(item.former_standbys)) == len(item.former_standbys)
    releases = of_kind(core.tick(150.0, view(), False), SendRelease)
    asked = {(call.range_id, call.holder) for call in releases}
    for item in result.moving:
        for one in (*item.previous, *item.former_standbys):
            assert (range_id(SERVICE, item), one) in asked


@given(MOVES, MOVES)
def test_holders_that_have_ended_are_left_out(before, late):
    known = moved(assigned(), before, True)
    adopted = moved(known, late, True)
    assert with_known_holders(adopted, known, lambda item, one: True) == adopted
